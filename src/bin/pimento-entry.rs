//! Program `pimento-entry`, which serves callers.

#![forbid(unsafe_code)]

use std::process::ExitCode;

use pimentoflow::commands::serve;
use pimentoflow::process::settings::Role;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Serves searches and submissions of callers. SIGTERM and SIGINT start a planned stop.
        cmd pimento-entry {
            /// Settings file of the process; see docs/configuration.md.
            optional --settings file: PathBuf
            /// Prints the version.
            optional -V, --version
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::PimentoEntry::from_env_or_exit();
    let options = serve::Options {
        program: "pimento-entry",
        role: Role::Entry,
        settings: flags.settings,
        version: flags.version,
    };
    serve::main(&options)
}
