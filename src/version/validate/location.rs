//! Location of a section in a document.

use std::fmt;

use crate::version::document::ROOT_NAME;

/// Location of a section.
///
/// It is formatted only when a finding is added, since a large document has many locations but few findings.
#[derive(Debug, Clone, Copy)]
pub(super) struct Location<'a> {
    file: &'a str,
    service: Option<usize>,
    shard: Option<usize>,
    replica: Option<usize>,
}

impl<'a> Location<'a> {
    pub(super) const ROOT: Self = Self::part(ROOT_NAME);

    pub(super) const fn part(file: &'a str) -> Self {
        Self {
            file,
            service: None,
            shard: None,
            replica: None,
        }
    }

    pub(super) const fn service(mut self, ix: usize) -> Self {
        self.service = Some(ix);
        self
    }

    pub(super) const fn shard(mut self, ix: usize) -> Self {
        self.shard = Some(ix);
        self
    }

    pub(super) const fn replica(mut self, ix: usize) -> Self {
        self.replica = Some(ix);
        self
    }
}

impl fmt::Display for Location<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.file)?;
        let levels = [
            ("services", self.service),
            ("shards", self.shard),
            ("replicas", self.replica),
        ];
        for (list, ix) in levels {
            if let Some(ix) = ix {
                write!(f, ".{list}[{ix}]")?;
            }
        }
        Ok(())
    }
}
