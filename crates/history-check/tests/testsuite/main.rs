//! Tests of the checker on hand-made histories, and runs with injected faults whose histories must be clean.

mod fixtures;
mod rules;
mod runs;
