//! Tests of the properties of the stand-ins that other tests rely on.

mod client;
mod platform;
mod searcher;
