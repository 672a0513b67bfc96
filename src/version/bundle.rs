//! Serialized form of a document: the bytes of the root, and the bytes of the parts by digest.
//!
//! Documents are transferred in this form from the platform and between peers. Digests are computed over these bytes,
//! so a process stores and forwards them exactly as received.

use std::sync::Arc;

use bytes::Bytes;
use indexmap::IndexMap;

use crate::ids::Digest;
use crate::version::build;
use crate::version::digest;
use crate::version::document::Document;
use crate::version::document::Part;
use crate::version::document::PartRef;
use crate::version::document::ROOT_NAME;
use crate::version::document::Root;
use crate::version::finding::Finding;
use crate::version::finding::Findings;
use crate::version::tables::Tables;
use crate::version::validate;

/// Exclusive upper limit on the size of a root or a part, because the platform stores at most 1 MB per value.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Bytes of a root and of parts.
///
/// Parts may be missing, and parts that the root does not reference may be present.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Bundle {
    /// Bytes of the root.
    pub root: Bytes,
    /// Bytes of the parts, by digest.
    pub parts: IndexMap<Digest, Bytes>,
}

impl Bundle {
    /// Creates a bundle and computes the digests of the parts.
    #[must_use]
    pub fn new(root: Bytes, parts: impl IntoIterator<Item = Bytes>) -> Self {
        let parts = parts.into_iter().map(|bytes| (digest::sha256(&bytes), bytes)).collect();
        Self { root, parts }
    }

    /// Parses and validates a root and its parts, and builds the tables.
    ///
    /// # Errors
    ///
    /// Returns all findings if the document is not valid. Parts that the root does not reference are ignored.
    pub fn parse(root: Bytes, parts: impl IntoIterator<Item = Bytes>) -> Result<Tables, Findings> {
        Self::new(root, parts).tables()
    }

    /// Returns the digest of the root, which identifies the whole document.
    #[must_use]
    pub fn digest(&self) -> Digest {
        digest::sha256(&self.root)
    }

    /// Parses and validates the document, and builds its tables.
    ///
    /// # Errors
    ///
    /// Returns all findings if the document is not valid.
    pub fn tables(&self) -> Result<Tables, Findings> {
        let document = self.document()?;
        Ok(build::tables(&document))
    }

    /// Parses and validates the document.
    ///
    /// # Errors
    ///
    /// Returns all findings if the document is not valid. If the root or a part cannot be parsed, the values are not
    /// validated.
    pub fn document(&self) -> Result<Document, Findings> {
        self.document_reusing(None)
    }

    /// Parses and validates the document, reusing the parts of `previous` that have the same digest.
    ///
    /// Parsing takes most of the time, and a change usually affects a single part.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Bundle::document`].
    pub fn document_reusing(&self, previous: Option<&Document>) -> Result<Document, Findings> {
        let document = self.parse_parts(previous)?;
        Findings(validate::validate(&document)).into_result(document)
    }

    fn parse_parts(&self, previous: Option<&Document>) -> Result<Document, Findings> {
        check_size(ROOT_NAME, &self.root)?;
        let root = Root::parse(&self.root)?;
        let mut findings = Findings::default();
        let mut parts = Vec::with_capacity(root.parts.len());
        for (ix, part_ref) in root.parts.iter().enumerate() {
            match self.parse_part(ix, part_ref, previous) {
                Ok(part) => parts.push(part),
                Err(finding) => findings.0.push(finding),
            }
        }
        findings.into_result(Document {
            digest: self.digest(),
            root,
            parts,
        })
    }

    fn parse_part(&self, ix: usize, part_ref: &PartRef, previous: Option<&Document>) -> Result<Arc<Part>, Finding> {
        let PartRef { name, sha256 } = part_ref;
        let Some(bytes) = self.parts.get(&sha256.0) else {
            return Err(Finding::new(
                format!("{ROOT_NAME}.parts[{ix}].sha256"),
                format!("no part with digest {sha256} is present for `{name}`"),
                "run `pimento-check seal DIR` after a change, and publish all parts before the root",
            ));
        };
        if let Some(part) = previous.and_then(|document| document.part(*sha256)) {
            return Ok(Arc::clone(part));
        }
        check_size(name, bytes)?;
        Part::parse(name, bytes).map(Arc::new)
    }
}

fn check_size(path: &str, bytes: &Bytes) -> Result<(), Finding> {
    if bytes.len() < MAX_VALUE_BYTES {
        return Ok(());
    }
    Err(Finding::new(
        path,
        format!("{} bytes; a value must stay below {MAX_VALUE_BYTES}", bytes.len()),
        "split the index into two indexes, or shorten names",
    ))
}
