//! Regenerates `src/wire/pimento.rs` from `proto/pimento.proto`.
//!
//! The generated code is committed, so that a normal build does not run the generator. After a change of the schema,
//! run `cargo run -p wire-gen` in the workspace root.

use std::path::Path;

use eyre::Context;
use eyre::Result;

const SCHEMA: &str = "proto/pimento.proto";
const OUTPUT: &str = "src/wire";

fn main() -> Result<()> {
    let files = protox::compile([SCHEMA], ["."])
        .with_context(|| format!("cannot compile {SCHEMA}; run wire-gen in the workspace root"))?;
    prost_build::Config::new()
        .bytes(["."])
        // Much larger than the others, and rare.
        .boxed(".pimento.Frame.body.roster")
        .out_dir(Path::new(OUTPUT))
        .compile_fds(files)
        .with_context(|| format!("cannot write generated code to {OUTPUT}"))
}
