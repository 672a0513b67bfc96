//! Validation rules for the root.

use indexmap::IndexMap;

use super::Checker;
use super::location::Location;
use super::record_use;
use crate::version::document::ROOT_NAME;
use crate::version::document::Root;
use crate::version::document::SCHEMA_VERSION;

/// Upper limit on `tolerated_views`. Ownership moves between two ranks; with more than 16 views, shares are too small.
pub const MAX_TOLERATED_VIEWS: u32 = 16;

/// Upper limit on `remote_reserve`, in connections.
pub const MAX_REMOTE_RESERVE: u32 = 64;

/// Lower limit on `remote_reserve` with several data centres. The top-ranked leaf of each of two other data centres may
/// hold one connection.
pub const MIN_REMOTE_RESERVE: u32 = 2;

/// Maximum number of parts, so that their digests in the root stay far below the size limit of a value.
pub const MAX_PARTS: usize = 4_096;

impl Checker<'_> {
    pub(super) fn check_root(&mut self, root: &Root) {
        if root.schema != SCHEMA_VERSION {
            self.add(
                Location::ROOT,
                "schema",
                format!("schema {} is not supported", root.schema),
                format!("write schema: {SCHEMA_VERSION}, or use a release that supports this schema"),
            );
        }
        if root.revision == 0 {
            self.add(
                Location::ROOT,
                "revision",
                "revision 0 means that there is no document",
                "begin at 1 and increase it with each document",
            );
        }
        self.check_claims();
        self.check_part_list(root);
    }

    fn check_claims(&mut self) {
        let views = self.claims.tolerated_views;
        if !(1..=MAX_TOLERATED_VIEWS).contains(&views) {
            self.add(
                Location::ROOT,
                "claims.tolerated_views",
                format!("{views} is out of range"),
                format!("use 1 to {MAX_TOLERATED_VIEWS}; 4 is usual"),
            );
        }
        let reserve = self.claims.remote_reserve;
        if reserve > MAX_REMOTE_RESERVE {
            self.add(
                Location::ROOT,
                "claims.remote_reserve",
                format!("{reserve} is out of range"),
                format!("use 0 to {MAX_REMOTE_RESERVE}; 4 is usual"),
            );
        }
    }

    fn check_part_list(&mut self, root: &Root) {
        let count = root.parts.len();
        if !(1..=MAX_PARTS).contains(&count) {
            self.add(
                Location::ROOT,
                "parts",
                format!("{count} parts"),
                format!("list 1 to {MAX_PARTS} parts"),
            );
        }
        let mut names: IndexMap<&str, usize> = IndexMap::new();
        for (ix, part) in root.parts.iter().enumerate() {
            let field = format!("parts[{ix}].name");
            self.check_name(Location::ROOT, &field, &part.name);
            if &*part.name == ROOT_NAME {
                self.add(
                    Location::ROOT,
                    &field,
                    "the name `root` is reserved",
                    "rename the index",
                );
            }
            if let Some(earlier) = record_use(&mut names, &*part.name, ix) {
                let earlier = format!("{ROOT_NAME}.parts[{earlier}].name");
                self.add_duplicate(Location::ROOT, &field, &part.name, &earlier);
            }
        }
    }

    /// Checks the reserve against the number of data centres. Leaves of other data centres may use only reserved
    /// connections to take over, so the reserve must have one for each of two.
    pub(super) fn check_remote_reserve(&mut self) {
        let data_centres = self.data_centres.len();
        let reserve = self.claims.remote_reserve;
        if data_centres > 1 && reserve < MIN_REMOTE_RESERVE {
            self.add(
                Location::ROOT,
                "claims.remote_reserve",
                format!("{reserve} is too small for {data_centres} data centres"),
                format!("use at least {MIN_REMOTE_RESERVE}, one connection for each of two other data centres"),
            );
        }
    }
}
