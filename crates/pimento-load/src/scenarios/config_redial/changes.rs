//! Sequence of documents with random changes.

use std::sync::Arc;

use eyre::Result;
use pimentoflow::ids::Digest;
use pimentoflow::version::digest;
use pimentoflow::version::digest::HexDigest;
use pimentoflow::version::document::ClaimsSection;
use pimentoflow::version::document::Document;
use pimentoflow::version::document::Part;
use pimentoflow::version::document::PartRef;
use pimentoflow::version::document::ReplicaSection;
use pimentoflow::version::document::Root;
use pimentoflow::version::document::SCHEMA_VERSION;
use pimentoflow::version::document::ServiceSection;
use pimentoflow::version::units::Percentage;
use pimentoflow::version::units::Period;
use rand::Rng;
use rand::rngs::SmallRng;
use serde::Serialize;

const SAMPLES: [(&str, &str); 4] = [
    (
        "planportal",
        include_str!("../../../../../samples/fraser/parts/planportal.yaml"),
    ),
    (
        "busnotice",
        include_str!("../../../../../samples/fraser/parts/busnotice.yaml"),
    ),
    (
        "archivedesk",
        include_str!("../../../../../samples/fraser/parts/archivedesk.yaml"),
    ),
    (
        "gymbook",
        include_str!("../../../../../samples/fraser/parts/gymbook.yaml"),
    ),
];

/// Number of parts to which firms are added. A firm is a service with one shard and three replicas.
const FIRM_PARTS: usize = 2;

/// First port that no address in the samples uses.
const FIRST_FREE_PORT: u16 = 30_000;

/// Share of policy changes, in percent. Limits and budgets are tuned far more often than servers move.
const POLICY_PERCENT: u32 = 70;

/// Share of address changes, in percent. All other changes add a firm.
const ADDRESS_PERCENT: u32 = 25;

/// Kind of change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ChangeKind {
    /// Change of one field in the policy of a part.
    Policy,
    /// Change of the address of one searcher.
    Address,
    /// New service with three searchers.
    Firm,
}

impl ChangeKind {
    pub(super) const ALL: [Self; 3] = [Self::Policy, Self::Address, Self::Firm];

    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Policy => "policy",
            Self::Address => "address",
            Self::Firm => "firm",
        }
    }

    fn random(rng: &mut SmallRng) -> Self {
        match rng.random_range(0..100) {
            percent if percent < POLICY_PERCENT => Self::Policy,
            percent if percent < POLICY_PERCENT + ADDRESS_PERCENT => Self::Address,
            _ => Self::Firm,
        }
    }
}

/// Current document, and the next free port and firm number.
pub(super) struct DocumentSequence {
    revision: u64,
    parts: Vec<Part>,
    next_port: u16,
    next_firm: u32,
}

impl DocumentSequence {
    /// Creates a sequence that begins with the Fraser sample.
    pub(super) fn fraser() -> Result<Self> {
        let mut parts = Vec::new();
        for (name, text) in SAMPLES {
            let part = Part::parse(name, text.as_bytes()).map_err(|finding| eyre::eyre!("{finding}"))?;
            parts.push(part);
        }
        Ok(Self {
            revision: 1,
            parts,
            next_port: FIRST_FREE_PORT,
            next_firm: 0,
        })
    }

    /// Makes a random change and returns its kind.
    pub(super) fn change(&mut self, rng: &mut SmallRng) -> ChangeKind {
        self.revision += 1;
        let kind = ChangeKind::random(rng);
        match kind {
            ChangeKind::Policy => self.change_policy(rng),
            ChangeKind::Address => self.change_address(rng),
            ChangeKind::Firm => self.add_firm(rng),
        }
        kind
    }

    /// Returns the current document. Its digests are computed from the JSON form of the parts and the root, which is
    /// valid YAML.
    pub(super) fn document(&self) -> Document {
        let parts = self.parts.iter().map(|part| PartRef {
            name: part.index.clone(),
            sha256: HexDigest(digest_of(part)),
        });
        let root = Root {
            schema: SCHEMA_VERSION,
            revision: self.revision,
            claims: ClaimsSection {
                tolerated_views: 4,
                remote_reserve: 4,
            },
            parts: parts.collect(),
        };
        Document {
            digest: digest_of(&root),
            root,
            parts: self.parts.iter().cloned().map(Arc::new).collect(),
        }
    }

    fn change_policy(&mut self, rng: &mut SmallRng) {
        let ix = rng.random_range(0..self.parts.len());
        let policy = &mut self.parts[ix].policy;
        match rng.random_range(0..3) {
            0 => policy.deadline = Period::from_millis(rng.random_range(100..1000)),
            1 => policy.min_coverage = Percentage::from_percent(rng.random_range(50..100)),
            _ => policy.routine_share = Percentage::from_percent(rng.random_range(5..30)),
        }
    }

    fn change_address(&mut self, rng: &mut SmallRng) {
        let port = self.allocate_port();
        let part = pick_mut(rng, &mut self.parts);
        let service = pick_mut(rng, &mut part.services);
        let shard = pick_mut(rng, &mut service.shards);
        pick_mut(rng, &mut shard.replicas).address.0.set_port(port);
    }

    /// Adds a copy of the first service of a random part, with a new name and new addresses.
    fn add_firm(&mut self, rng: &mut SmallRng) {
        self.next_firm += 1;
        let name = format!("firm-{}", self.next_firm);
        let ix = rng.random_range(0..FIRM_PARTS);
        let mut service: ServiceSection = self.parts[ix].services[0].clone();
        service.name = name.as_str().into();
        for shard in &mut service.shards {
            shard.name = format!("{name}-s01").into();
            for replica in &mut shard.replicas {
                self.rename(&name, replica);
            }
        }
        self.parts[ix].services.push(service);
    }

    fn rename(&mut self, firm: &str, replica: &mut ReplicaSection) {
        replica.searcher = format!("{firm}-s01-{}", replica.data_centre).into();
        replica.address.0.set_port(self.allocate_port());
    }

    fn allocate_port(&mut self) -> u16 {
        let port = self.next_port;
        self.next_port += 1;
        port
    }
}

fn pick_mut<'a, T>(rng: &mut SmallRng, list: &'a mut [T]) -> &'a mut T {
    let ix = rng.random_range(0..list.len());
    &mut list[ix]
}

/// Returns the digest of the JSON form of a value.
pub(super) fn digest_of<T: Serialize>(value: &T) -> Digest {
    let bytes = serde_json::to_vec(value).expect("sections of a document are serializable");
    digest::sha256(&bytes)
}
