//! Tests the rules on hand-written histories, and the histories of runs with injected faults against the rules.

mod fixtures;
mod rules;
mod runs;
