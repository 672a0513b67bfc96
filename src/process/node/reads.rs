//! Reads of the platform on behalf of the control task.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use slog::debug;

use crate::ids::Digest;
use crate::process::dissemination::PlatformReply;
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
use crate::process::platform::Platform;
use crate::process::platform::PlatformError;
use crate::process::platform::Versioned;

/// Name of the root on the platform.
const ROOT: &str = "root";

/// Reads the platform and reports to the control task.
#[derive(Debug, Clone)]
pub struct Reader {
    node: Arc<Node>,
    platform: Platform,
    fleet: Arc<AtomicUsize>,
}

impl Reader {
    /// Makes a reader.
    #[must_use]
    pub fn new(node: Arc<Node>, platform: Platform, fleet: usize) -> Self {
        Self {
            node,
            platform,
            fleet: Arc::new(AtomicUsize::new(fleet)),
        }
    }

    /// Sets the number of processes that share the platform's rate.
    pub fn set_fleet(&self, fleet: usize) {
        self.fleet.store(fleet, Ordering::Relaxed);
    }

    /// Reads the root, and waits for a later version when `after` is given.
    pub fn read_root(&self, after: Option<u64>, wait: Duration) {
        let reader = self.clone();
        tokio::spawn(async move {
            reader.node.metrics.platform_reads.inc();
            let read = reader.platform.value(ROOT, after, wait).await;
            reader.node.report(ControlInput::Root(root_reply(read))).await;
        });
    }

    /// Reads a part by its digest.
    pub fn read_part(&self, digest: Digest) {
        let reader = self.clone();
        tokio::spawn(async move {
            reader.node.metrics.platform_reads.inc();
            let read = reader.platform.value(&part_name(&digest), None, Duration::ZERO).await;
            let body = read.ok().flatten().map(|found| found.value);
            reader.node.report(ControlInput::Part(digest, body)).await;
        });
    }

    /// Reads the list of instances again and again, until the process ends.
    pub async fn poll_list(self, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut version = None;
        tokio::time::sleep(start_delay(self.fleet.load(Ordering::Relaxed), &mut rng)).await;
        loop {
            self.node.metrics.platform_reads.inc();
            match self.platform.instances(version, Duration::ZERO).await {
                Ok(Some(found)) => {
                    version = Some(found.version);
                    self.node.report(ControlInput::List(platform_list(found))).await;
                }
                Ok(None) => {}
                Err(error) => debug!(self.node.log, "list_unread"; "error" => %error),
            }
            let fleet = self.fleet.load(Ordering::Relaxed);
            tokio::time::sleep(list_interval(fleet, &mut rng)).await;
        }
    }
}

fn root_reply(read: Result<Option<Versioned<bytes::Bytes>>, PlatformError>) -> PlatformReply {
    match read {
        Ok(Some(found)) => PlatformReply::Value {
            version: found.version,
            body: found.value,
        },
        Ok(None) => PlatformReply::Unchanged,
        Err(PlatformError::Refused { retry_after, .. }) => PlatformReply::Failed { retry_after },
        Err(_unreachable) => PlatformReply::Failed { retry_after: None },
    }
}

fn part_name(digest: &Digest) -> String {
    let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("part-{hex}")
}

fn platform_list(found: Versioned<Vec<ListedInstance>>) -> PlatformList {
    PlatformList {
        version: found.version,
        entries: found.value.into_iter().map(listed).collect(),
    }
}

fn listed(item: ListedInstance) -> ListItem {
    let kind = match item.role {
        ListedRole::Entry => ItemKind::Instance(Role::Entry),
        ListedRole::Leaf => ItemKind::Instance(Role::Leaf),
        ListedRole::Searcher => ItemKind::Searcher,
    };
    ListItem {
        id: item.id,
        kind,
        data_centre: item.data_centre,
        address: item.address,
        leaving: item.state == ListedState::Leaving,
    }
}
