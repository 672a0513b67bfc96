//! `pimento-check diff OLD NEW`: prints the difference between two documents.

use std::path::PathBuf;

use super::CommandResult;
use super::Outcome;
use super::Output;
use super::load_valid;
use super::print;
use crate::version::diff;

/// Options of `pimento-check diff`.
#[derive(Debug, Clone)]
pub struct Options {
    /// Directory of the document in effect.
    pub old: PathBuf,
    /// Directory of the document to publish.
    pub new: PathBuf,
}

/// Prints the difference between two valid documents and its effect on connections. A difference is not a finding.
///
/// # Errors
///
/// Returns an error if a file cannot be read or the output cannot be written.
pub fn run(options: &Options, out: Output<'_>) -> CommandResult {
    let old = load_valid(&options.old, out)?;
    let new = load_valid(&options.new, out)?;
    let (Some(old), Some(new)) = (old, new) else {
        return Ok(Outcome::Findings);
    };
    print(out, &diff::diff(&old, &new).to_string())?;
    Ok(Outcome::Clean)
}
