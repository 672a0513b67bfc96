//! Type aliases for identifiers.
//!
//! Processes exchange names as text, so that their meaning does not depend on the configuration version. Dense indexes
//! are valid only within one configuration version (see [`crate::version`]).

/// Name of a pimentoflow instance, as listed by the platform.
pub type InstanceId = Box<str>;

/// Name of a data centre.
pub type DataCentreId = Box<str>;

/// Name of a searcher: a backend server that holds a replica of a shard.
pub type SearcherId = Box<str>;

/// Name of a service.
pub type ServiceId = Box<str>;

/// Name of an index: the set of services that share snapshot numbers.
pub type IndexId = Box<str>;

/// Name of a shard, unique within its index.
pub type ShardId = Box<str>;

/// Identifier of a request, which callers may choose. Every log line about the request contains it.
pub type RequestId = Box<str>;

/// Number that identifies one run of a process: the wall-clock time of its start in microseconds, so that a restart
/// never reuses a number.
pub type Incarnation = u64;

/// Revision number of a configuration document. A higher revision replaces a lower one.
pub type Revision = u64;

/// Number of an index snapshot. A higher number is newer.
pub type SnapshotId = u64;

/// Number that associates replies with requests within one session.
pub type CorrelationId = u64;

/// Content digest (SHA-256).
pub type Digest = [u8; 32];

/// Dense index of a searcher within one configuration version.
pub type SearcherIndex = u32;

/// Dense index of a shard within one configuration version.
pub type ShardIndex = u32;
