//! Settings of a gateway, as decoded by the adapter of a platform.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::DataCentreId;
use crate::ids::InstanceId;
use crate::process::discovery::Freshness;
use crate::process::extra::ExtraLimits;
use crate::process::gossip::InstanceCount;

/// Settings of a gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Data centre of this instance.
    pub data_centre: DataCentreId,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for readiness checks of the load balancer.
    pub readiness: SocketAddr,
    /// Path of the readiness check.
    pub ready_path: Box<str>,
    /// Listen address for metrics.
    pub metrics: SocketAddr,
    /// Listen address for other instances.
    pub peers: SocketAddr,
    /// Addresses of other instances for the first contact. They may be wrong or down.
    pub seeds: Vec<SocketAddr>,
    /// Number of instances that is assumed until another instance is known.
    pub assumed_instances: InstanceCount,
    /// Limits on the extra attempts of all instances together.
    pub extra: ExtraLimits,
    /// Time limits that the platform sets for reads.
    pub freshness: Freshness,
    /// Time without a heartbeat of a backend server after which the platform removes its entry.
    pub entry_ttl: Duration,
    /// Time from the stop signal until the process is killed.
    pub grace: Duration,
}
