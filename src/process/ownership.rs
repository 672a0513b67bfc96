//! Assigns searchers to leaves.
//!
//! Searchers are ranked by rendezvous hashing over the live leaves of their data centre, so processes with equal views
//! compute equal ranks without coordination. The leaves of ranks 0 and 1 hold connections. See "Why a leaf owns a
//! searcher" in `docs/design.md`.
//!
//! * [`rank`]: the hash, and the ranking of a list of names,
//! * [`placement`]: the ranks for all searchers, updated incrementally when the view changes,
//! * [`roles`]: the roles of one leaf, with their start times.

pub mod placement;
pub mod rank;
pub mod roles;
