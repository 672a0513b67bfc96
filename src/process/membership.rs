//! Tracks which instances are usable and which searchers are leaving.
//!
//! The platform's list is delayed, so local observations correct it in both directions. Instances pass the state of
//! leaving searchers on to each other. The result is an immutable [`View`], which the process replaces as a whole. See
//! "Membership" in `docs/design.md` and `docs/design/membership.md`.

mod gossip;
mod instance;
mod searchers;
mod state;
mod view;

pub use instance::RECOVERY_HOLD;
pub use instance::SILENCE_TIMEOUT;
pub use instance::SUSPECT_TIMEOUT;
pub use searchers::MAX_SEARCHERS;
pub use searchers::RETURN_HOLD;
pub use state::Action;
pub use state::Membership;
pub use state::Settings;
pub use view::Instance;
pub use view::ItemKind;
pub use view::ListItem;
pub use view::PlatformList;
pub use view::Role;
pub use view::State;
pub use view::View;
