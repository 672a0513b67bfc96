//! Messages between the processes of the tier and their framing.
//!
//! The schema is `proto/pimento.proto`. The generated code in [`proto`] is committed; `cargo run -p wire-gen`
//! regenerates it. See section 6 of `docs/design.md`.

pub mod codec;

/// Generated message types.
#[path = "wire/pimento.rs"]
#[allow(missing_docs, reason = "generated code has only the comments of the schema")]
#[allow(clippy::all, clippy::pedantic, reason = "generated code")]
pub mod proto;
