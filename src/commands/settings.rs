//! `pimento-check settings FILE`: checks the settings of a process.

use std::path::PathBuf;

use eyre::Report;

use super::CommandResult;
use super::Failure;
use super::Outcome;
use super::Output;
use super::print;
use super::print_findings;
use crate::process::settings::Settings;
use crate::process::settings::SettingsError;

/// Options of `pimento-check settings`.
#[derive(Debug, Clone)]
pub struct Options {
    /// Path of the settings file.
    pub file: PathBuf,
}

/// Checks settings, and prints a summary or the findings.
///
/// # Errors
///
/// Returns an error if the file cannot be read or the output cannot be written.
pub fn run(options: &Options, out: Output<'_>) -> CommandResult {
    match Settings::load(&options.file) {
        Ok(settings) => {
            let summary = format!(
                "{}: valid, instance={} data_centre={} seeds={}",
                options.file.display(),
                settings.instance,
                settings.data_centre,
                settings.seeds.len(),
            );
            print(out, &summary)?;
            Ok(Outcome::Clean)
        }
        Err(SettingsError::Invalid(findings)) => {
            print_findings(out, &findings)?;
            Ok(Outcome::Findings)
        }
        Err(error) => Err(Failure::new(
            Report::new(error),
            "pass the path of a settings file, such as samples/settings/entry.yaml",
        )),
    }
}
