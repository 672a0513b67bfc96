//! Rules that a history must satisfy.
//!
//! The rules are deterministic: the same history yields the same findings in the same order.

mod programs;
mod searches;
mod servers;
mod submissions;

pub use crate::check::servers::DRAIN_REACTION_LIMIT;

use crate::finding::Finding;
use crate::history::History;

/// Checks all rules and returns the violations.
#[must_use]
pub fn check(history: &History) -> Vec<Finding> {
    let mut findings = Vec::new();
    searches::check(history, &mut findings);
    submissions::check(history, &mut findings);
    servers::check(history, &mut findings);
    programs::check(history, &mut findings);
    findings
}
