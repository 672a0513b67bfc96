//! `pimento-check seal DIR`: writes the digests of the parts to the root.

use std::path::PathBuf;

use bytes::Bytes;
use eyre::Report;

use super::CommandResult;
use super::Failure;
use super::Outcome;
use super::Output;
use super::load;
use super::print;
use super::print_findings;
use crate::process::document_files;
use crate::process::document_files::DocumentFiles;
use crate::version::finding::Findings;

/// Options of `pimento-check seal`.
#[derive(Debug, Clone)]
pub struct Options {
    /// Directory of the document.
    pub dir: PathBuf,
    /// Revision to write. The current revision is kept if this is `None`.
    pub revision: Option<u64>,
}

/// Rewrites the root with the names and digests of all files in `parts`. If the resulting document is not valid, prints
/// the findings and leaves the root unchanged.
///
/// # Errors
///
/// Returns an error if a file cannot be read or written, or the output cannot be written.
pub fn run(options: &Options, out: Output<'_>) -> CommandResult {
    let files = load(&options.dir)?;
    let sealed = match seal(files, options.revision) {
        Ok(sealed) => sealed,
        Err(findings) => {
            print_findings(out, &findings)?;
            return Ok(Outcome::Findings);
        }
    };
    document_files::write_root(&options.dir, &sealed.text).map_err(|error| {
        let hint = error.hint();
        Failure::new(Report::new(error), hint)
    })?;
    let summary = format!(
        "{}: sealed, revision={} parts={}",
        options.dir.display(),
        sealed.revision,
        sealed.parts,
    );
    print(out, &summary)?;
    Ok(Outcome::Clean)
}

/// Root with updated digests, ready to be written.
struct SealedRoot {
    text: String,
    revision: u64,
    parts: usize,
}

fn seal(files: DocumentFiles, revision: Option<u64>) -> Result<SealedRoot, Findings> {
    let text = files.seal(revision)?;
    let sealed = DocumentFiles {
        root: Bytes::from(text.clone()),
        ..files
    };
    let document = sealed.document()?;
    Ok(SealedRoot {
        text,
        revision: document.root.revision,
        parts: document.parts.len(),
    })
}
