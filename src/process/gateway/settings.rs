//! Settings of a gateway, as the adapter of a platform decodes them.

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
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address at which the balancer asks for readiness.
    pub readiness: SocketAddr,
    /// Path at which the balancer asks for readiness.
    pub ready_path: Box<str>,
    /// Address of metrics.
    pub metrics: SocketAddr,
    /// Address for other instances.
    pub peers: SocketAddr,
    /// Addresses of other instances to begin with; they may be wrong or down.
    pub seeds: Vec<SocketAddr>,
    /// Number of instances that is assumed until another one was heard of.
    pub assumed_instances: InstanceCount,
    /// Bound on extra attempts of all instances.
    pub extra: ExtraLimits,
    /// Times that the platform sets for what is read from it.
    pub freshness: Freshness,
    /// Time between the signal to stop and the end of the process by force.
    pub grace: Duration,
}
