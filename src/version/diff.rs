//! Comparison of two documents, and the effect of the changes on running processes.

mod text;

use indexmap::IndexMap;

use crate::ids::DataCentreId;
use crate::ids::Digest;
use crate::ids::Revision;
use crate::ids::SearcherId;
use crate::ids::ServiceId;
use crate::ids::ShardId;
use crate::version::build;
use crate::version::document::ClaimsSection;
use crate::version::document::Document;
use crate::version::document::PolicySection;
use crate::version::document::ReplicaSection;
use crate::version::document::ShardSection;
use crate::version::keys::KeyRange;

/// Differences between two documents.
///
/// Lists are in the order of the new document, followed by items that only the old document has.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Diff {
    /// Revisions of the two documents.
    pub revisions: Change<Revision>,
    /// Division of connection caps, if it changed. A change redistributes the cap of every searcher.
    pub claims: Option<Change<ClaimsSection>>,
    /// Services that only the new document has.
    pub services_added: Vec<ServiceId>,
    /// Services that only the old document has.
    pub services_removed: Vec<ServiceId>,
    /// Searchers that only the new document has. Connections to them are opened.
    pub searchers_added: Vec<SearcherId>,
    /// Searchers that only the old document has. Their connections are closed once requests in flight have finished.
    pub searchers_removed: Vec<SearcherId>,
    /// Searchers whose transport digest changed. Their connections are replaced.
    pub redialled: Vec<Redialled>,
    /// Searchers that moved to another data centre. Leaves of that data centre become their owners.
    pub relocated: Vec<Relocated>,
    /// Shards that were added or removed, or whose key range or replicas changed.
    pub shards: Vec<ShardChange>,
    /// Policy fields that changed. Connections are not affected.
    pub policies: Vec<PolicyChange>,
}

/// Old and new value of a compared item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Change<T> {
    /// Value in the old document.
    pub old: T,
    /// Value in the new document.
    pub new: T,
}

/// A searcher whose connections are replaced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Redialled {
    /// Name of the searcher.
    pub searcher: SearcherId,
    /// Names of the fields that changed.
    pub fields: Vec<&'static str>,
}

/// A searcher that moved to another data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relocated {
    /// Name of the searcher.
    pub searcher: SearcherId,
    /// Data centre of the searcher.
    pub data_centre: Change<DataCentreId>,
}

/// A changed shard.
///
/// The range is `None` and the replicas are empty for a document that does not have the shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardChange {
    /// Service that the shard belongs to.
    pub service: ServiceId,
    /// Name of the shard.
    pub shard: ShardId,
    /// Key range of the shard.
    pub range: Change<Option<KeyRange>>,
    /// Searchers that hold replicas of the shard, in document order.
    pub replicas: Change<Vec<SearcherId>>,
}

/// A changed field of the policy that applies to a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PolicyChange {
    /// Name of the service.
    pub service: ServiceId,
    /// Path of the field, such as `objectives.latency`.
    pub field: Box<str>,
    /// Values in the notation of the document.
    pub value: Change<Box<str>>,
}

/// Compares two valid documents and returns their differences.
#[must_use]
pub fn diff(old: &Document, new: &Document) -> Diff {
    let before = SectionsByName::new(old);
    let after = SectionsByName::new(new);
    let claims = Change {
        old: old.root.claims,
        new: new.root.claims,
    };
    Diff {
        revisions: Change {
            old: old.root.revision,
            new: new.root.revision,
        },
        claims: (claims.old != claims.new).then_some(claims),
        services_added: missing_in(&before.policies, &after.policies),
        services_removed: missing_in(&after.policies, &before.policies),
        searchers_added: missing_in(&before.searchers, &after.searchers),
        searchers_removed: missing_in(&after.searchers, &before.searchers),
        redialled: redialled(&before, &after),
        relocated: relocated(&before, &after),
        shards: shards(&before, &after),
        policies: policies(&before, &after),
    }
}

impl Diff {
    /// Returns whether the documents are equal apart from the revision.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        let same_revision = Self {
            revisions: Change::default(),
            ..self.clone()
        };
        same_revision == Self::default()
    }
}

/// Service and name of a shard. A shard that moves to another service holds different keys, so the name alone is not
/// enough.
type ShardKey<'a> = (&'a str, &'a str);

/// Sections of a document, indexed by the names that the comparison uses.
struct SectionsByName<'a> {
    policies: IndexMap<&'a str, &'a PolicySection>,
    shards: IndexMap<ShardKey<'a>, &'a ShardSection>,
    searchers: IndexMap<&'a str, &'a ReplicaSection>,
}

impl<'a> SectionsByName<'a> {
    fn new(document: &'a Document) -> Self {
        let mut sections = Self {
            policies: IndexMap::new(),
            shards: IndexMap::new(),
            searchers: IndexMap::new(),
        };
        for part in &document.parts {
            for service in &part.services {
                let policy = service.policy.as_ref().unwrap_or(&part.policy);
                sections.policies.insert(&*service.name, policy);
                for shard in &service.shards {
                    sections.shards.insert((&*service.name, &*shard.name), shard);
                    let replicas = shard.replicas.iter();
                    sections
                        .searchers
                        .extend(replicas.map(|replica| (&*replica.searcher, replica)));
                }
            }
        }
        sections
    }
}

/// Returns the keys of `present` that are missing in `other`.
fn missing_in<T>(other: &IndexMap<&str, T>, present: &IndexMap<&str, T>) -> Vec<Box<str>> {
    let missing = present.keys().filter(|name| !other.contains_key(**name));
    missing.map(|name| Box::from(*name)).collect()
}

fn redialled(before: &SectionsByName<'_>, after: &SectionsByName<'_>) -> Vec<Redialled> {
    let mut list = Vec::new();
    for (name, new) in &after.searchers {
        let Some(old) = before.searchers.get(name) else {
            continue;
        };
        if transport_digest(old) != transport_digest(new) {
            list.push(Redialled {
                searcher: Box::from(*name),
                fields: transport_fields(old, new),
            });
        }
    }
    list
}

fn transport_digest(replica: &ReplicaSection) -> Digest {
    build::searcher(replica).transport_digest
}

fn transport_fields(old: &ReplicaSection, new: &ReplicaSection) -> Vec<&'static str> {
    let changed = [
        ("address", old.address != new.address),
        ("slots", old.slots != new.slots),
        ("connections", old.connections != new.connections),
        ("connect_cost", old.connect_cost != new.connect_cost),
    ];
    let fields = changed.into_iter().filter(|(_, differs)| *differs);
    fields.map(|(field, _)| field).collect()
}

fn relocated(before: &SectionsByName<'_>, after: &SectionsByName<'_>) -> Vec<Relocated> {
    let mut list = Vec::new();
    for (name, new) in &after.searchers {
        let Some(old) = before.searchers.get(name) else {
            continue;
        };
        if old.data_centre != new.data_centre {
            list.push(Relocated {
                searcher: Box::from(*name),
                data_centre: Change {
                    old: old.data_centre.clone(),
                    new: new.data_centre.clone(),
                },
            });
        }
    }
    list
}

fn shards(before: &SectionsByName<'_>, after: &SectionsByName<'_>) -> Vec<ShardChange> {
    let removed = before.shards.keys().filter(|key| !after.shards.contains_key(*key));
    let keys = after.shards.keys().chain(removed);
    let changes = keys.map(|key| shard_change(*key, before.shards.get(key), after.shards.get(key)));
    changes
        .filter(|change| change.range.old != change.range.new || change.replicas.old != change.replicas.new)
        .collect()
}

fn shard_change(key: ShardKey<'_>, old: Option<&&ShardSection>, new: Option<&&ShardSection>) -> ShardChange {
    let (service, shard) = key;
    ShardChange {
        service: service.into(),
        shard: shard.into(),
        range: Change {
            old: old.map(|shard| shard.range),
            new: new.map(|shard| shard.range),
        },
        replicas: Change {
            old: replica_names(old),
            new: replica_names(new),
        },
    }
}

fn replica_names(shard: Option<&&ShardSection>) -> Vec<SearcherId> {
    let replicas = shard.map(|shard| &shard.replicas[..]).unwrap_or_default();
    replicas.iter().map(|replica| replica.searcher.clone()).collect()
}

fn policies(before: &SectionsByName<'_>, after: &SectionsByName<'_>) -> Vec<PolicyChange> {
    let mut list = Vec::new();
    for (service, new) in &after.policies {
        let Some(old) = before.policies.get(service) else {
            continue;
        };
        let fields = text::policy_fields(old).into_iter().zip(text::policy_fields(new));
        let changed = fields.filter(|(old, new)| old.value != new.value);
        list.extend(changed.map(|(old, new)| PolicyChange {
            service: Box::from(*service),
            field: new.name.into(),
            value: Change {
                old: old.value,
                new: new.value,
            },
        }));
    }
    list
}
