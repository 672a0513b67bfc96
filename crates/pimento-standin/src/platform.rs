//! Stand-in for the platform: a read-only configuration service with watches, and the list of instances.
//!
//! Each data centre has its own listener, so a test can cut off one data centre without any change to its clients.

pub mod faults;

mod handler;
mod values;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

use crate::http1;
use crate::platform::faults::Faults;
use crate::platform::values::ValueStore;

/// Name under which the list of instances is stored. The space keeps it distinct from the names of values: clients read
/// these by URL path, which contains no space.
const INSTANCES_NAME: &str = "instances list";

/// Role of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Process that serves callers.
    Entry,
    /// Process that sends requests to backend servers.
    Leaf,
    /// Backend server.
    Searcher,
}

/// State of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The platform assumes that the instance runs.
    Live,
    /// The instance announced that it will stop.
    Leaving,
}

/// Entry of the list of instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the instance.
    pub id: Box<str>,
    /// Kind of process.
    pub role: Role,
    /// Data centre of the instance.
    pub data_centre: Box<str>,
    /// Address for peers, or address of the HTTP interface of a searcher.
    pub address: SocketAddr,
    /// Whether the instance runs or is about to stop.
    pub state: InstanceState,
}

/// List of instances in its wire format.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instances {
    /// Instances in the order of publication.
    pub instances: Vec<Instance>,
}

/// Number of calls since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// All calls. Each counts towards the read limit, a watch as one call.
    pub total: u64,
    /// Reads of values without a watch.
    pub reads: u64,
    /// Watches of values.
    pub watches: u64,
    /// Reads and watches of the list of instances.
    pub lists: u64,
    /// Calls refused by the read limit.
    pub limited: u64,
    /// Watches that are waiting now.
    pub waiting: u64,
    /// Calls by data centre; the empty name stands for the first listener.
    pub by_centre: IndexMap<Box<str>, u64>,
}

/// State shared by all listeners.
#[derive(Debug)]
pub(crate) struct State {
    pub values: Mutex<ValueStore>,
    /// Incremented by every change after which waiting watches check their value again.
    pub changed: watch::Sender<u64>,
    pub faults: watch::Sender<Faults>,
    pub calls: watch::Sender<CallCounts>,
    /// Start of the current period of the read limit, and the calls in it.
    pub limit_window: Mutex<(Instant, u32)>,
}

impl State {
    pub fn values(&self) -> MutexGuard<'_, ValueStore> {
        self.values.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Publishes bytes under a name and returns the version. Readers see it after [`Faults::lag_ms`].
    pub fn publish(&self, name: &str, bytes: Bytes) -> u64 {
        let lag = Duration::from_millis(self.faults.borrow().lag_ms);
        let version = self.values().publish(name, bytes, Instant::now() + lag);
        self.changed.send_modify(|count| *count += 1);
        version
    }

    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        self.faults.send_modify(change);
        let stale = self.faults.borrow().stale;
        self.values().set_stale(stale, Instant::now());
        self.changed.send_modify(|count| *count += 1);
    }
}

/// Handle of a running platform. Dropping it stops the platform.
#[derive(Debug)]
pub struct Platform {
    address: SocketAddr,
    state: Arc<State>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl Platform {
    /// Binds to `listen` (port 0 for any free port) and serves clients without a data centre.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(listen: SocketAddr) -> io::Result<Self> {
        let (changed, _) = watch::channel(0);
        let (faults, _) = watch::channel(Faults::default());
        let (calls, _) = watch::channel(CallCounts::default());
        let state = State {
            values: Mutex::new(ValueStore::new()),
            changed,
            faults,
            calls,
            limit_window: Mutex::new((Instant::now(), 0)),
        };
        let mut platform = Self {
            address: listen,
            state: Arc::new(state),
            tasks: Mutex::new(Vec::new()),
        };
        platform.set_instances(&[]);
        platform.address = platform.listen_for_centre("", listen).await?;
        Ok(platform)
    }

    /// Opens an additional listener for the clients of one data centre and returns its address.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn listen_for_centre(&self, data_centre: &str, listen: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, data_centre.into(), Arc::clone(&self.state)));
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner).push(task);
        Ok(address)
    }

    /// Returns the address of the first listener.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Publishes bytes under a name and returns the version.
    pub fn publish(&self, name: &str, bytes: impl Into<Bytes>) -> u64 {
        self.state.publish(name, bytes.into())
    }

    /// Publishes the list of instances and returns its version.
    pub fn set_instances(&self, instances: &[Instance]) -> u64 {
        let list = Instances {
            instances: instances.to_vec(),
        };
        let text = serde_json::to_vec(&list).unwrap_or_default();
        self.state.publish(INSTANCES_NAME, text.into())
    }

    /// Changes the fault switches. The change takes effect at once, also for waiting watches.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        self.state.set_faults(change);
    }

    /// Cuts off a data centre: closes its connections, and every new one when it is accepted.
    pub fn cut_off(&self, data_centre: &str) {
        self.set_faults(|faults| {
            faults.cut_off.insert(data_centre.into());
        });
    }

    /// Reverts [`Platform::cut_off`].
    pub fn reconnect(&self, data_centre: &str) {
        self.set_faults(|faults| {
            faults.cut_off.shift_remove(data_centre);
        });
    }

    /// Returns the number of calls since the start.
    #[must_use]
    pub fn calls(&self) -> CallCounts {
        self.state.calls.borrow().clone()
    }

    /// Waits until the call counts satisfy `condition`, so that tests need not sleep.
    pub async fn wait_for(&self, condition: impl FnMut(&CallCounts) -> bool) {
        let mut calls = self.state.calls.subscribe();
        let met = calls.wait_for(condition).await;
        drop(met);
    }

    /// Waits forever. The listeners run until the handle is dropped.
    pub async fn run(&self) {
        std::future::pending::<()>().await;
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        let tasks = self.tasks.get_mut().unwrap_or_else(PoisonError::into_inner);
        for task in tasks {
            task.abort();
        }
    }
}

/// Accepts connections of one data centre until the task is aborted, which also closes the connections.
async fn accept(listener: TcpListener, data_centre: Box<str>, state: Arc<State>) {
    let mut connections = JoinSet::new();
    let mut faults = state.faults.subscribe();
    loop {
        while connections.try_join_next().is_some() {}
        let cut = faults.borrow_and_update().cut_off.contains(&data_centre);
        if cut {
            connections.abort_all();
        }
        let stream = tokio::select! {
            changed = faults.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => continue,
            },
        };
        if cut {
            continue;
        }
        let state = Arc::clone(&state);
        let centre = data_centre.clone();
        connections.spawn(async move {
            http1::serve(stream, |request| {
                handler::handle(Arc::clone(&state), centre.clone(), request)
            })
            .await;
        });
    }
}
