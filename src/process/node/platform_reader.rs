//! Reads the platform for the control task.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use slog::debug;

use crate::ids::Digest;
use crate::process::dissemination::PlatformResponse;
use crate::process::dissemination::list_interval;
use crate::process::dissemination::start_delay;
use crate::process::membership::ItemKind;
use crate::process::membership::ListItem;
use crate::process::membership::PlatformList;
use crate::process::membership::Role;
use crate::process::node::Node;
use crate::process::node::control::ControlInput;
use crate::process::platform::ListedInstance;
use crate::process::platform::ListedRole;
use crate::process::platform::ListedState;
use crate::process::platform::PlatformClient;
use crate::process::platform::PlatformError;
use crate::process::platform::Versioned;

/// Name of the platform value that holds the document root.
const ROOT_NAME: &str = "root";

/// Reads values of the platform and sends the results to the control task.
#[derive(Debug, Clone)]
pub struct PlatformReader {
    node: Arc<Node>,
    platform: PlatformClient,
    fleet_size: Arc<AtomicUsize>,
}

impl PlatformReader {
    /// Creates a reader. `fleet_size` is the number of processes that share the read rate of the platform.
    #[must_use]
    pub fn new(node: Arc<Node>, platform: PlatformClient, fleet_size: usize) -> Self {
        Self {
            node,
            platform,
            fleet_size: Arc::new(AtomicUsize::new(fleet_size)),
        }
    }

    /// Sets the number of processes that share the read rate of the platform.
    pub fn set_fleet_size(&self, fleet_size: usize) {
        self.fleet_size.store(fleet_size, Ordering::Relaxed);
    }

    /// Spawns a read of the root. With `after`, the read waits up to `wait` for a later version.
    pub fn read_root(&self, after: Option<u64>, wait: Duration) {
        let reader = self.clone();
        tokio::spawn(async move {
            reader.node.metrics.platform_reads.inc();
            let read = reader.platform.value(ROOT_NAME, after, wait).await;
            reader.node.notify(ControlInput::RootRead(root_response(read))).await;
        });
    }

    /// Spawns a read of the part with this digest.
    pub fn read_part(&self, digest: Digest) {
        let reader = self.clone();
        tokio::spawn(async move {
            reader.node.metrics.platform_reads.inc();
            let read = reader.platform.value(&part_name(&digest), None, Duration::ZERO).await;
            let body = read.ok().flatten().map(|versioned| versioned.value);
            reader.node.notify(ControlInput::PartRead(digest, body)).await;
        });
    }

    /// Polls the list of instances until the process ends, at an interval that grows with the fleet size.
    pub async fn poll_list(self, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut version = None;
        tokio::time::sleep(start_delay(self.fleet_size.load(Ordering::Relaxed), &mut rng)).await;
        loop {
            self.node.metrics.platform_reads.inc();
            match self.platform.instances(version, Duration::ZERO).await {
                Ok(Some(versioned)) => {
                    version = Some(versioned.version);
                    self.node
                        .notify(ControlInput::InstanceList(platform_list(versioned)))
                        .await;
                }
                Ok(None) => {}
                Err(error) => debug!(self.node.log, "list_unread"; "error" => %error),
            }
            let fleet_size = self.fleet_size.load(Ordering::Relaxed);
            tokio::time::sleep(list_interval(fleet_size, &mut rng)).await;
        }
    }
}

fn root_response(read: Result<Option<Versioned<bytes::Bytes>>, PlatformError>) -> PlatformResponse {
    match read {
        Ok(Some(versioned)) => PlatformResponse::Value {
            version: versioned.version,
            body: versioned.value,
        },
        Ok(None) => PlatformResponse::Unchanged,
        Err(PlatformError::Refused { retry_after, .. }) => PlatformResponse::Failed { retry_after },
        Err(_unreachable) => PlatformResponse::Failed { retry_after: None },
    }
}

fn part_name(digest: &Digest) -> String {
    let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("part-{hex}")
}

fn platform_list(versioned: Versioned<Vec<ListedInstance>>) -> PlatformList {
    PlatformList {
        version: versioned.version,
        entries: versioned.value.into_iter().map(listed_entry).collect(),
    }
}

fn listed_entry(instance: ListedInstance) -> ListItem {
    let kind = match instance.role {
        ListedRole::Entry => ItemKind::Instance(Role::Entry),
        ListedRole::Leaf => ItemKind::Instance(Role::Leaf),
        ListedRole::Searcher => ItemKind::Searcher,
    };
    ListItem {
        id: instance.id,
        kind,
        data_centre: instance.data_centre,
        address: instance.address,
        leaving: instance.state == ListedState::Leaving,
    }
}
