//! Command-line interface of `pimento-load`.

use std::process::ExitCode;

use eyre::Result;
use pimento_load::experiment;

mod flags {
    xflags::xflags! {
        /// Simulates the state machines of pimentoflow.
        cmd pimento-load {
            /// Runs one scenario on a virtual clock and prints its report as one line of JSON.
            cmd experiment {
                /// Name of the scenario (see --list).
                optional name: String
                /// Prints the names and descriptions of all scenarios.
                optional --list
                /// Seed of the random number generator (default 1).
                optional --seed seed: u64
                /// Setting of the scenario as key=value; may be repeated.
                repeated --set setting: String
            }
            /// Prints the version.
            cmd version {}
        }
    }
}

const DEFAULT_SEED: u64 = 1;

fn main() -> ExitCode {
    let flags = flags::PimentoLoad::from_env_or_exit();
    match run(flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(flags: flags::PimentoLoad) -> Result<()> {
    match flags.subcommand {
        flags::PimentoLoadCmd::Experiment(command) => run_experiment(&command),
        flags::PimentoLoadCmd::Version(_) => {
            println!("pimento-load {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}

fn run_experiment(command: &flags::Experiment) -> Result<()> {
    if command.list {
        for scenario in experiment::SCENARIOS {
            println!("{:<22} {}", scenario.name, scenario.description);
        }
        return Ok(());
    }
    let Some(name) = &command.name else {
        eyre::bail!("no scenario given; use --list to see the names");
    };
    let options = experiment::Options::parse(command.seed.unwrap_or(DEFAULT_SEED), &command.set)?;
    let report = experiment::run(name, &options)?;
    println!("{}", report.to_line());
    Ok(())
}
