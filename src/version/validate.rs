//! Validation of a parsed document.
//!
//! Every program runs the same pure function, so that all processes accept a document that `pimento-check` accepts.
//! Each violated rule produces a finding with the path of the field and a remedy. All rules are checked, so one pass
//! reports all problems.

mod location;
pub mod policy;
pub mod root;
pub mod shards;

use std::fmt::Display;
use std::hash::Hash;

use indexmap::IndexMap;
use indexmap::IndexSet;
use indexmap::map::Entry;

use crate::ids::DataCentreId;
use crate::version::document::ClaimsSection;
use crate::version::document::Document;
use crate::version::document::Part;
use crate::version::finding::Finding;
use crate::version::units::Address;
use crate::version::validate::location::Location;

/// Maximum length of a name in bytes. Names are used in log lines, metric labels and file names.
pub const MAX_NAME_BYTES: usize = 64;

/// Remedy for invalid names. The number in the text is [`MAX_NAME_BYTES`].
pub const NAME_REMEDY: &str = "use 1 to 64 lower-case letters, digits and hyphens, not beginning with a hyphen";

/// Returns whether `text` is a valid name of an index, service, shard, searcher, data centre or instance.
#[must_use]
pub fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    let valid_start = text.bytes().next().is_some_and(|byte| byte != b'-');
    valid_start && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

/// Checks all rules on a parsed document and returns the findings. The document is valid if there are none.
#[must_use]
pub fn validate(document: &Document) -> Vec<Finding> {
    let mut checker = Checker::new(document.root.claims);
    checker.check_root(&document.root);
    for (ix, part) in document.parts.iter().enumerate() {
        let name = document
            .root
            .parts
            .get(ix)
            .map_or(&*part.index, |part_ref| &*part_ref.name);
        checker.check_part(name, part);
    }
    checker.check_remote_reserve();
    checker.findings
}

/// Findings so far, and the locations of values that must be unique within the document.
struct Checker<'a> {
    claims: ClaimsSection,
    findings: Vec<Finding>,
    services: IndexMap<&'a str, Location<'a>>,
    searchers: IndexMap<&'a str, Location<'a>>,
    addresses: IndexMap<Address, Location<'a>>,
    data_centres: IndexSet<&'a DataCentreId>,
}

impl<'a> Checker<'a> {
    fn new(claims: ClaimsSection) -> Self {
        Self {
            claims,
            findings: Vec::new(),
            services: IndexMap::new(),
            searchers: IndexMap::new(),
            addresses: IndexMap::new(),
            data_centres: IndexSet::new(),
        }
    }

    fn check_part(&mut self, name: &'a str, part: &'a Part) {
        let location = Location::part(name);
        if *part.index != *name {
            let message = format!(
                "the part describes index `{}`, but the root names it `{name}`",
                part.index
            );
            self.add(location, "index", message, "use one name in both places");
        }
        self.check_policy(location, &part.policy);
        if part.services.is_empty() {
            self.add(
                location,
                "services",
                "an index needs at least one service",
                "add a service, or remove the part from the root",
            );
        }
        let mut shard_names = IndexMap::new();
        for (ix, service) in part.services.iter().enumerate() {
            let location = location.service(ix);
            self.check_name(location, "name", &service.name);
            let earlier = record_use(&mut self.services, &*service.name, location);
            self.check_unique(earlier, location, "name", &service.name);
            if let Some(policy) = &service.policy {
                self.check_policy(location, policy);
            }
            self.check_shards(location, &service.shards, &mut shard_names);
        }
    }

    /// Adds a finding if the value was already used at `earlier`.
    fn check_unique(
        &mut self,
        earlier: Option<Location<'_>>,
        location: Location<'_>,
        field: &str,
        value: &dyn Display,
    ) {
        if let Some(earlier) = earlier {
            self.add_duplicate(location, field, value, &format!("{earlier}.{field}"));
        }
    }

    fn add_duplicate(&mut self, location: Location<'_>, field: &str, value: &dyn Display, earlier: &str) {
        let message = format!("`{value}` is already used at {earlier}");
        self.add(location, field, message, "use a different value in each place");
    }

    fn check_name(&mut self, location: Location<'_>, field: &str, name: &str) {
        if !is_name(name) {
            self.add(location, field, format!("`{name}` is not a name"), NAME_REMEDY);
        }
    }

    fn add(&mut self, location: Location<'_>, field: &str, message: impl Into<Box<str>>, remedy: impl Into<Box<str>>) {
        let path = format!("{location}.{field}");
        self.findings.push(Finding::new(path, message, remedy));
    }
}

/// Records the first use of a value, or returns the location of that use if there is one already.
fn record_use<K: Hash + Eq, P: Copy>(uses: &mut IndexMap<K, P>, value: K, location: P) -> Option<P> {
    match uses.entry(value) {
        Entry::Occupied(earlier) => Some(*earlier.get()),
        Entry::Vacant(entry) => {
            entry.insert(location);
            None
        }
    }
}
