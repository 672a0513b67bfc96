//! Entry point of the serving programs: runs a process until a signal requests a planned stop.

use std::path::PathBuf;
use std::process::ExitCode;

use eyre::Context;
use eyre::Result;
use eyre::bail;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::process::drain::Outcome;
use crate::process::log;
use crate::process::program;
use crate::process::program::StartOptions;
use crate::process::settings::Role;
use crate::process::settings::Settings;

/// Exit code of a program that could not start.
const EXIT_START_FAILED: u8 = 2;

/// Exit code of a planned stop that reached its hard limit and aborted requests.
const EXIT_HARD_LIMIT: u8 = 3;

/// Options of a serving program.
#[derive(Debug)]
pub struct Options {
    /// Name of the program.
    pub program: &'static str,
    /// Role that the settings must have.
    pub role: Role,
    /// Path of the settings file.
    pub settings: Option<PathBuf>,
    /// Whether to print the version and exit.
    pub version: bool,
}

/// Runs the program and returns its exit code: 0 after a clean stop, 2 if it could not start, 3 if a planned stop
/// reached its hard limit.
#[must_use]
pub fn main(options: &Options) -> ExitCode {
    if options.version {
        println!("{} {}", options.program, env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match run(options) {
        Ok(Outcome::Clean) => ExitCode::SUCCESS,
        Ok(Outcome::HardLimit { .. }) => ExitCode::from(EXIT_HARD_LIMIT),
        Err(error) => {
            eprintln!("error: {error:#}");
            eprintln!("hint: `pimento-check settings FILE` checks settings without starting anything");
            ExitCode::from(EXIT_START_FAILED)
        }
    }
}

fn run(options: &Options) -> Result<Outcome> {
    let Some(path) = &options.settings else {
        bail!("no settings given; use --settings FILE");
    };
    let settings = Settings::load(path).with_context(|| format!("{} cannot start", options.program))?;
    if settings.role != options.role {
        bail!(
            "the role in {} does not match {}; pass a settings file with the matching role",
            path.display(),
            options.program
        );
    }
    let role = match settings.role {
        Role::Entry => "entry",
        Role::Leaf => "leaf",
    };
    let (logger, _guard) = log::init(settings.log_level.to_slog(), &settings.instance, role);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context("cannot start the runtime; check the limit on the number of threads")?;
    runtime.block_on(serve(&settings, StartOptions::new(logger)))
}

async fn serve(settings: &Settings, options: StartOptions) -> Result<Outcome> {
    // Installed before the process serves requests, because by default these signals end it without a planned stop.
    let mut terminate = signal(SignalKind::terminate()).context("cannot handle SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("cannot handle SIGINT")?;
    let running = program::start(settings, options).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(running.stop().await)
}
