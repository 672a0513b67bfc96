//! A fleet of processes that disseminate the configuration, on fakes of the network and the platform.

mod check;
mod content;
mod driver;
mod network;
mod platform;
mod reads;

pub use check::Checker;
pub use content::Publication;
pub use content::make_publication;
pub use driver::Fleet;
pub use driver::FleetConfig;
pub use network::Network;
pub use platform::Platform;
