//! Settings of one process, in YAML, read once at its start.
//!
//! Settings say what differs between processes: names, addresses and bounds on memory. Everything about services is in
//! the document, which reaches all processes. One type serves both roles, since they differ in a single address.

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

/// Program that reads the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Faces callers.
    Entry,
    /// Faces backend servers.
    Leaf,
}

/// Least severity that is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Faults that need an operator.
    Error,
    /// Faults that the process handles.
    Warn,
    /// Events of the life of the process.
    #[default]
    Info,
    /// Events of each request.
    Debug,
}

impl LogLevel {
    /// Returns the level of the logging library.
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

/// Settings of one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Program that reads the settings.
    pub role: Role,
    /// Name of the process in the platform's list; no other process has it.
    pub instance: InstanceId,
    /// Data centre in which the process runs.
    pub data_centre: DataCentreId,
    /// Addresses on which it listens.
    pub listen: Listen,
    /// Address of the platform.
    pub platform: Address,
    /// Peers that it asks for the document and the members at its start.
    #[serde(default)]
    pub seeds: Vec<Seed>,
    /// Least severity that is logged.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Bounds on memory and time.
    #[serde(default)]
    pub limits: Limits,
}

/// Addresses on which a process listens. Port 0 lets the system choose; the log names the port.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// HTTP interface for callers. The role `entry` needs it, the role `leaf` has none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub callers: Option<Address>,
    /// Interface for peers. Other processes connect to this address, so it names one IP number.
    pub peers: Address,
    /// HTTP interface for metrics and health.
    pub admin: Address,
}

/// A peer that is known at the start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Seed {
    /// Name of the peer.
    pub instance: InstanceId,
    /// Address of its interface for peers.
    pub address: Address,
}

/// Bounds on memory and time. A key that is left out has its default.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Body of a request of a caller, in bytes.
    pub body: ByteSize,
    /// Requests of callers that an entry works on at one time.
    pub in_flight: u32,
    /// Parts that a leaf queues for one searcher.
    pub queue: u32,
    /// Tickets that a leaf remembers.
    pub tickets: u32,
    /// Time that a planned stop waits for requests in flight.
    pub drain: Period,
}

impl Limits {
    /// Returns the body limit as a number of bytes in memory.
    #[must_use]
    pub fn body_bytes(&self) -> usize {
        usize::try_from(self.body.0).unwrap_or(usize::MAX)
    }

    /// Returns the time that a planned stop waits.
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

/// Settings that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read settings {}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        #[source]
        source: io::Error,
    },
    /// The contents are not valid. Each finding names the file, the field or the line, and the remedy.
    #[error("settings are not valid\n{0}")]
    Invalid(Findings),
}

impl Settings {
    /// Reads and checks the file `path`.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or is not valid.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let bytes = fs::read(path).map_err(|source| SettingsError::Unreadable {
            path: path.into(),
            source,
        })?;
        Self::parse(&path.display().to_string(), &bytes).map_err(SettingsError::Invalid)
    }

    /// Parses and checks the contents of the file `name`.
    ///
    /// # Errors
    ///
    /// Returns every finding. When the contents do not parse, that is the only one.
    pub fn parse(name: &str, bytes: &[u8]) -> Result<Self, Findings> {
        let settings: Self = yaml::parse(name, bytes)?;
        Findings(check::check(name, &settings)).into_result(settings)
    }

    /// Returns the address on which an entry serves callers.
    #[must_use]
    pub fn caller_address(&self) -> Option<SocketAddr> {
        self.listen.callers.map(|address| address.0)
    }
}
