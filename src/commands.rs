//! Commands of `pimento-check`, and the common entry point of the serving programs.
//!
//! Each command is a module with an options struct. The binaries only parse arguments.

pub mod diff;
pub mod revisions;
pub mod seal;
pub mod serve;
pub mod settings;
pub mod validate;

use std::path::Path;

use eyre::Report;
use eyre::WrapErr;

use crate::process::document_files::DocumentFiles;
use crate::version::document::Document;
use crate::version::finding::Findings;

/// Outcome of a command that ran to its end. It determines the exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// No findings. The exit code is 0.
    Clean,
    /// There were findings, which have been printed. The exit code is 1.
    Findings,
}

/// Error of a command that could not run to its end. The exit code is 2.
#[derive(Debug)]
pub struct Failure {
    /// Chain of errors.
    pub report: Report,
    /// How to resolve the error.
    pub hint: Box<str>,
}

impl Failure {
    fn new(report: Report, hint: &str) -> Self {
        Self {
            report,
            hint: hint.into(),
        }
    }
}

/// Result of a command.
pub type CommandResult = Result<Outcome, Failure>;

/// Writer for the text that a command prints.
pub type Output<'a> = &'a mut dyn std::fmt::Write;

fn load(dir: &Path) -> Result<DocumentFiles, Failure> {
    DocumentFiles::load(dir).map_err(|error| {
        let hint = error.hint();
        let report = Report::new(error).wrap_err(format!("cannot load the document {}", dir.display()));
        Failure::new(report, hint)
    })
}

/// Loads and validates a document. If it is not valid, prints the findings and returns `None`.
fn load_valid(dir: &Path, out: Output<'_>) -> Result<Option<Document>, Failure> {
    match load(dir)?.document() {
        Ok(document) => Ok(Some(document)),
        Err(findings) => {
            print(out, &format!("{}: not valid", dir.display()))?;
            print_findings(out, &findings)?;
            Ok(None)
        }
    }
}

fn print_findings(out: Output<'_>, findings: &Findings) -> Result<(), Failure> {
    let count = findings.0.len();
    for finding in &findings.0 {
        print(out, &finding.to_string())?;
    }
    print(out, &format!("{count} finding{}", if count == 1 { "" } else { "s" }))
}

fn print(out: Output<'_>, text: &str) -> Result<(), Failure> {
    writeln!(out, "{text}")
        .wrap_err("cannot write to standard output")
        .map_err(|report| Failure::new(report, "check that standard output is writable"))
}
