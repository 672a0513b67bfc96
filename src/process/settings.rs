//! Settings of one process, read from a YAML file when the process starts.
//!
//! Settings hold the values that differ between processes: names, addresses and memory limits. The configuration of
//! services is in the document, which is distributed to all processes. Both roles share one type, since they differ
//! only in `listen.callers`.

pub mod check;

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::DataCentreId;
use crate::ids::InstanceId;
use crate::version::finding::Findings;
use crate::version::units::Address;
use crate::version::units::ByteSize;
use crate::version::units::Period;
use crate::version::yaml;

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Serves the requests of callers.
    Entry,
    /// Sends sub-queries and submissions to backend servers.
    Leaf,
}

/// Minimum severity of the records that are logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Failures that an operator must resolve.
    Error,
    /// Failures from which the process recovers by itself.
    Warn,
    /// Lifecycle events of the process, such as sessions that open or close.
    #[default]
    Info,
    /// Events of single requests and connection attempts.
    Debug,
}

impl LogLevel {
    /// Returns the corresponding level of `slog`.
    #[must_use]
    pub const fn to_slog(self) -> slog::Level {
        match self {
            Self::Error => slog::Level::Error,
            Self::Warn => slog::Level::Warning,
            Self::Info => slog::Level::Info,
            Self::Debug => slog::Level::Debug,
        }
    }
}

/// Contents of the settings file of one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Role of the process.
    pub role: Role,
    /// Unique name of the process, under which the platform lists it.
    pub instance: InstanceId,
    /// Data centre in which the process runs.
    pub data_centre: DataCentreId,
    /// Addresses on which the process listens.
    pub listen: Listen,
    /// Address of the platform.
    pub platform: Address,
    /// Peers to connect to at the start, to get the document and the list of members.
    #[serde(default)]
    pub seeds: Vec<Seed>,
    /// Minimum severity of the records that are logged.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Limits on memory and time.
    #[serde(default)]
    pub limits: Limits,
}

/// Addresses on which a process listens. With port 0 the operating system chooses a port, which the `started` log line
/// shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// HTTP interface for callers. Required for the role `entry` and not allowed for the role `leaf`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub callers: Option<Address>,
    /// Interface for peers. Peers connect to this address, so it must be a specific IP address.
    pub peers: Address,
    /// HTTP interface for metrics and health checks.
    pub admin: Address,
}

/// A peer to connect to before the list of members is known.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Seed {
    /// Instance name of the peer.
    pub instance: InstanceId,
    /// `listen.peers` address of the peer.
    pub address: Address,
}

/// Limits on memory and time. A missing key has the value from [`Limits::default`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of the body of a caller's request.
    pub body: ByteSize,
    /// Maximum number of callers' requests that an entry processes concurrently.
    pub in_flight: u32,
    /// Maximum number of parts that a leaf queues for one searcher.
    pub queue: u32,
    /// Maximum number of tickets that a leaf stores.
    pub tickets: u32,
    /// Maximum time that a planned stop waits for requests in flight.
    pub drain: Period,
}

impl Limits {
    /// Returns the body limit in bytes, capped at `usize::MAX`.
    #[must_use]
    pub fn body_bytes(&self) -> usize {
        usize::try_from(self.body.0).unwrap_or(usize::MAX)
    }

    /// Returns the maximum duration of a planned stop.
    #[must_use]
    pub const fn drain_limit(&self) -> Duration {
        self.drain.0
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: ByteSize(64 << 10),
            in_flight: 4_096,
            queue: 256,
            tickets: 65_536,
            drain: Period::from_millis(30_000),
        }
    }
}

/// Error of [`Settings::load`].
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("cannot read settings {}", path.display())]
    Unreadable {
        /// Path of the settings file.
        path: PathBuf,
        /// Error of the operating system.
        #[source]
        source: io::Error,
    },
    /// The contents are invalid. Each finding names the file, the field or the line, and a remedy.
    #[error("settings are not valid\n{0}")]
    Invalid(Findings),
}

impl Settings {
    /// Reads and validates the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be read or its contents are invalid.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let bytes = fs::read(path).map_err(|source| SettingsError::Unreadable {
            path: path.into(),
            source,
        })?;
        Self::parse(&path.display().to_string(), &bytes).map_err(SettingsError::Invalid)
    }

    /// Parses and validates the contents of a settings file. Findings refer to the file as `name`.
    ///
    /// # Errors
    ///
    /// Returns all findings. A syntax or type error is reported alone, since no further check is possible.
    pub fn parse(name: &str, bytes: &[u8]) -> Result<Self, Findings> {
        let settings: Self = yaml::parse(name, bytes)?;
        Findings(check::check(name, &settings)).into_result(settings)
    }

    /// Returns the address on which an entry serves callers, or `None` for a leaf.
    #[must_use]
    pub fn caller_address(&self) -> Option<SocketAddr> {
        self.listen.callers.map(|address| address.0)
    }
}
