//! Dissemination of the configuration.
//!
//! The configuration in effect is the highest accepted one and never falls. Two readers in each data centre watch the
//! platform; all processes exchange digests with random peers and fetch what they lack from the peer that has it. See
//! "Configuration" in `docs/design.md` and `docs/design/configuration-spread.md`.
//!
//! The content is opaque here. The caller reads the part digests out of a root ([`Action::Parse`]) and validates a
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
pub use types::PlatformReply;
pub use types::Report;
pub use types::Settings;
