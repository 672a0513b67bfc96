//! Program `pimento-leaf`, which manages the connections to backend servers.

#![forbid(unsafe_code)]

use std::process::ExitCode;

use pimentoflow::commands::serve;
use pimentoflow::process::settings::Role;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Manages connections and slots of backend servers. SIGTERM and SIGINT start a planned stop.
        cmd pimento-leaf {
            /// Settings file of the process; see docs/configuration.md.
            optional --settings file: PathBuf
            /// Prints the version.
            optional -V, --version
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::PimentoLeaf::from_env_or_exit();
    let options = serve::Options {
        program: "pimento-leaf",
        role: Role::Leaf,
        settings: flags.settings,
        version: flags.version,
    };
    serve::main(&options)
}
