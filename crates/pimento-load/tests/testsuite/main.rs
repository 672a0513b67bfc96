//! Checks that the figures of the scenarios stay within their bounds at fixed seeds.

mod config_redial;
mod dissemination;
mod lanes;
mod search;
mod submissions;
