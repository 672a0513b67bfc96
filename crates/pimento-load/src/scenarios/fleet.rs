//! Simulated processes that disseminate the configuration over a fake network and a fake platform.

mod checker;
mod content;
mod driver;
mod network;
mod platform;
mod reads;

pub use checker::Checker;
pub use content::Publication;
pub use content::make_publication;
pub use driver::Fleet;
pub use driver::FleetConfig;
pub use network::Network;
pub use platform::Platform;
