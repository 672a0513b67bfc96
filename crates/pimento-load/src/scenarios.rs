//! Scenarios, one module each, and the fakes and drivers that several of them share.

pub mod capacity_halves;
pub mod config_churn;
pub mod config_redial;
pub mod fleet;
pub mod hot_server;
pub mod lane_fifo;
pub mod lane_fleet;
pub mod lane_server;
pub mod lane_setup;
pub mod leaving_server;
pub mod new_connections;
pub mod overload_precedence;
pub mod owner_change;
pub mod owner_compare;
pub mod partition;
pub mod platform_down;
pub mod repartition;
pub mod restart_all;
pub mod rolling_versions;
pub mod search;
pub mod stragglers;
pub mod submissions;
