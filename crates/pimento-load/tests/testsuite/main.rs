//! Bounds on the figures of the scenarios, at fixed seeds.

mod config_redial;
mod dissemination;
mod lanes;
mod search;
mod submissions;
