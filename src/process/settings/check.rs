//! Validation of the settings of a process.

use indexmap::IndexMap;
use indexmap::IndexSet;

use super::Role;
use super::Seed;
use super::Settings;
use crate::version::finding::Finding;
use crate::version::units::Address;
use crate::version::units::ByteSize;
use crate::version::units::Period;
use crate::version::validate::NAME_REMEDY;
use crate::version::validate::is_name;

/// Upper bound of `limits.body`. A frame between processes holds 4 MiB, including the fields around the body.
pub const MAX_BODY: ByteSize = ByteSize(2 << 20);

/// Upper bound of `limits.in_flight`, `limits.queue` and `limits.tickets`.
pub const MAX_COUNT: u32 = 1_000_000;

/// Lower bound of `limits.drain`. Backend servers may receive new work until 3 s after the first signal of a stop.
pub const MIN_DRAIN: Period = Period::from_millis(3_000);

/// Upper bound of `limits.drain`.
pub const MAX_DRAIN: Period = Period::from_millis(600_000);

/// Maximum number of seeds. The process discovers all other peers through the seeds.
pub const MAX_SEEDS: usize = 64;

/// Validates `settings` and returns all findings.
pub(super) fn check(file: &str, settings: &Settings) -> Vec<Finding> {
    let mut checker = Checker {
        file,
        findings: Vec::new(),
    };
    checker.check_name("instance", &settings.instance);
    checker.check_name("data_centre", &settings.data_centre);
    checker.check_listen(settings);
    checker.check_remote_address("platform", settings.platform);
    checker.check_seeds(settings);
    checker.check_limits(settings);
    checker.findings
}

struct Checker<'a> {
    file: &'a str,
    findings: Vec<Finding>,
}

impl Checker<'_> {
    fn check_listen(&mut self, settings: &Settings) {
        let listen = &settings.listen;
        match (settings.role, listen.callers) {
            (Role::Entry, None) => self.add(
                "listen.callers",
                "an entry requires an address for callers, but none is set",
                "add listen.callers, such as 10.0.0.7:8101",
            ),
            (Role::Leaf, Some(_)) => self.add(
                "listen.callers",
                "a leaf does not serve callers",
                "remove listen.callers, or set role: entry",
            ),
            _ => {}
        }
        if listen.peers.0.ip().is_unspecified() {
            self.add(
                "listen.peers",
                format!("`{}` is not an IP address that peers can connect to", listen.peers),
                "use the IP address of this machine",
            );
        }
        self.check_distinct_addresses(settings);
    }

    /// Checks that no two interfaces share an address, since only one of them could be bound. Port 0 is exempt, because
    /// the operating system assigns a different port to each interface.
    fn check_distinct_addresses(&mut self, settings: &Settings) {
        let listen = &settings.listen;
        let interfaces = [
            ("listen.peers", Some(listen.peers)),
            ("listen.admin", Some(listen.admin)),
            ("listen.callers", listen.callers),
        ];
        let mut fields_by_address: IndexMap<Address, &str> = IndexMap::new();
        for (field, address) in interfaces {
            let Some(address) = address.filter(|address| address.0.port() != 0) else {
                continue;
            };
            match fields_by_address.get(&address) {
                Some(earlier) => {
                    let message = format!("`{address}` is already used by {earlier}");
                    self.add(field, message, "give each interface its own port");
                }
                None => {
                    fields_by_address.insert(address, field);
                }
            }
        }
    }

    fn check_remote_address(&mut self, field: &str, address: Address) {
        if address.0.port() == 0 || address.0.ip().is_unspecified() {
            self.add(
                field,
                format!("`{address}` cannot be connected to"),
                "use an IP address and a port from 1 to 65535",
            );
        }
    }

    fn check_seeds(&mut self, settings: &Settings) {
        if settings.seeds.len() > MAX_SEEDS {
            self.add(
                "seeds",
                format!("{} seeds", settings.seeds.len()),
                format!("list at most {MAX_SEEDS}; all other peers are discovered through them"),
            );
        }
        let mut names = IndexSet::new();
        let mut addresses = IndexSet::new();
        for (ix, seed) in settings.seeds.iter().enumerate() {
            self.check_seed(&format!("seeds[{ix}]"), seed, settings);
            if !names.insert(&seed.instance) {
                let message = format!("`{}` is listed twice", seed.instance);
                self.add(&format!("seeds[{ix}].instance"), message, "list each peer once");
            }
            if !addresses.insert(seed.address) {
                let message = format!("`{}` is listed twice", seed.address);
                self.add(&format!("seeds[{ix}].address"), message, "list each peer once");
            }
        }
    }

    fn check_seed(&mut self, field: &str, seed: &Seed, settings: &Settings) {
        self.check_name(&format!("{field}.instance"), &seed.instance);
        self.check_remote_address(&format!("{field}.address"), seed.address);
        if seed.instance == settings.instance {
            self.add(
                &format!("{field}.instance"),
                format!("`{}` is this process", seed.instance),
                "remove it, or give this process another name",
            );
        }
    }

    fn check_limits(&mut self, settings: &Settings) {
        let limits = &settings.limits;
        if !(ByteSize(1)..=MAX_BODY).contains(&limits.body) {
            let message = format!("{} is out of range", limits.body);
            self.add("limits.body", message, format!("use 1B to {MAX_BODY}"));
        }
        let counts = [
            ("limits.in_flight", limits.in_flight),
            ("limits.queue", limits.queue),
            ("limits.tickets", limits.tickets),
        ];
        for (field, count) in counts {
            if !(1..=MAX_COUNT).contains(&count) {
                self.add(
                    field,
                    format!("{count} is out of range"),
                    format!("use 1 to {MAX_COUNT}"),
                );
            }
        }
        if !(MIN_DRAIN..=MAX_DRAIN).contains(&limits.drain) {
            let message = format!("{} is out of range", limits.drain);
            self.add("limits.drain", message, format!("use {MIN_DRAIN} to {MAX_DRAIN}"));
        }
    }

    fn check_name(&mut self, field: &str, name: &str) {
        if !is_name(name) {
            self.add(field, format!("`{name}` is not a name"), NAME_REMEDY);
        }
    }

    fn add(&mut self, field: &str, message: impl Into<Box<str>>, remedy: impl Into<Box<str>>) {
        let path = format!("{}: {field}", self.file);
        self.findings.push(Finding::new(path, message, remedy));
    }
}
