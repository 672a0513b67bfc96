//! Command line of `pimento-check`: checks documents and settings before they are published.

#![forbid(unsafe_code)]

use std::io::Write;
use std::process::ExitCode;

use pimentoflow::commands;
use pimentoflow::commands::CommandResult;
use pimentoflow::commands::Failure;
use pimentoflow::commands::Outcome;

mod flags {
    use std::net::SocketAddr;
    use std::path::PathBuf;

    xflags::xflags! {
        /// Checks documents and settings. Exit codes: 0 no finding, 1 findings, 2 usage or unreadable file.
        cmd pimento-check {
            /// Prints the version.
            optional -V, --version
            /// Checks a document: root.yaml and parts/NAME.yaml in a directory.
            cmd validate {
                /// Directory of the document.
                required dir: PathBuf
            }
            /// Checks the settings of a process.
            cmd settings {
                /// Path of the settings file.
                required file: PathBuf
            }
            /// Prints the difference between two documents and its effect on connections.
            cmd diff {
                /// Directory of the document in effect.
                required old: PathBuf
                /// Directory of the document to publish.
                required new: PathBuf
            }
            /// Prints the revision in effect on each process. A process that is behind or unreachable is a finding.
            cmd revisions {
                /// Admin addresses of the processes.
                repeated addresses: SocketAddr
            }
            /// Writes the digests of all files in parts/ to root.yaml.
            cmd seal {
                /// Directory of the document.
                required dir: PathBuf
                /// Revision to write (default: the current one).
                optional --revision revision: u64
            }
        }
    }
}

const EXIT_FINDINGS: u8 = 1;
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    if is_version_request() {
        println!("pimento-check {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let flags = flags::PimentoCheck::from_env_or_exit();
    let mut text = String::new();
    let result = run(flags, &mut text);
    // A failed write is not an error, because the reader of a pipe may close it early.
    let _ = std::io::stdout().write_all(text.as_bytes());
    exit_code(result)
}

/// Returns whether the first argument is `--version` or `-V`. The parser would reject it because it requires a command.
fn is_version_request() -> bool {
    std::env::args_os()
        .nth(1)
        .is_some_and(|arg| arg == "--version" || arg == "-V")
}

fn run(flags: flags::PimentoCheck, out: &mut String) -> CommandResult {
    match flags.subcommand {
        flags::PimentoCheckCmd::Validate(command) => {
            let options = commands::validate::Options { dir: command.dir };
            commands::validate::run(&options, out)
        }
        flags::PimentoCheckCmd::Settings(command) => {
            let options = commands::settings::Options { file: command.file };
            commands::settings::run(&options, out)
        }
        flags::PimentoCheckCmd::Diff(command) => {
            let options = commands::diff::Options {
                old: command.old,
                new: command.new,
            };
            commands::diff::run(&options, out)
        }
        flags::PimentoCheckCmd::Revisions(command) => {
            let options = commands::revisions::Options {
                addresses: command.addresses,
            };
            commands::revisions::run(&options, out)
        }
        flags::PimentoCheckCmd::Seal(command) => {
            let options = commands::seal::Options {
                dir: command.dir,
                revision: command.revision,
            };
            commands::seal::run(&options, out)
        }
    }
}

fn exit_code(result: CommandResult) -> ExitCode {
    match result {
        Ok(Outcome::Clean) => ExitCode::SUCCESS,
        Ok(Outcome::Findings) => ExitCode::from(EXIT_FINDINGS),
        Err(Failure { report, hint }) => {
            eprintln!("error: {report:#}");
            eprintln!("hint: {hint}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}
