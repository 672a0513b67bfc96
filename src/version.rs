//! Values that belong to one version of the configuration.
//!
//! They are immutable and shared by read-copy-update.

pub mod build;
pub mod bundle;
pub mod diff;
pub mod digest;
pub mod document;
pub mod finding;
pub mod keys;
pub mod routing;
pub mod tables;
pub mod units;
pub mod validate;
pub mod yaml;
