//! `pimento-check validate DIR`: checks a document.

use std::path::PathBuf;

use super::CommandResult;
use super::Outcome;
use super::Output;
use super::load_valid;
use super::print;
use crate::version::build;

/// Options of `pimento-check validate`.
#[derive(Debug, Clone)]
pub struct Options {
    /// Directory of the document.
    pub dir: PathBuf,
}

/// Checks a document, and prints a summary or the findings.
///
/// # Errors
///
/// Returns an error if a file cannot be read or the output cannot be written.
pub fn run(options: &Options, out: Output<'_>) -> CommandResult {
    let Some(document) = load_valid(&options.dir, out)? else {
        return Ok(Outcome::Findings);
    };
    let tables = build::tables(&document);
    let services: usize = tables.indexes.values().map(|index| index.services.len()).sum();
    let summary = format!(
        "{}: valid, revision={} indexes={} services={services} searchers={}",
        options.dir.display(),
        tables.revision,
        tables.indexes.len(),
        tables.searchers.len(),
    );
    print(out, &summary)?;
    Ok(Outcome::Clean)
}
