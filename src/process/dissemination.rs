//! Gossip-based dissemination of the configuration.
//!
//! The document in effect is the highest valid one that this process has received; its key never decreases. Two readers
//! in each data centre watch the platform. All processes exchange digests with random peers and fetch missing content
//! from the peer that announced it. See "Configuration" in `docs/design.md` and `docs/design/configuration-spread.md`.
//!
//! Content is opaque to this module. The caller parses the part digests of a root ([`Action::Parse`]) and validates a
//! complete document ([`Action::Validate`]).

mod assembly;
mod budget;
mod exchange;
pub mod patch;
mod platform;
mod serve;
mod startup_check;
mod state;
mod types;

pub use budget::FLEET_READS_PER_SECOND;
pub use budget::ReadBudget;
pub use budget::list_interval;
pub use budget::start_delay;
pub use startup_check::START_TIMEOUT;
pub use state::Dissemination;
pub use types::Action;
pub use types::Document;
pub use types::DocumentKey;
pub use types::Outline;
pub use types::PlatformResponse;
pub use types::Report;
pub use types::Settings;
