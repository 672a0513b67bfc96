//! A document as bytes: the root, and the parts by digest.
//!
//! This is the form in which a document travels from the platform and between peers. Only bytes have digests, so a
//! process keeps them as they came and passes them on unchanged.

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

/// Bytes that a root or a part must stay below, because a value of the platform holds at most 1 MB.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Bytes of a root and of parts. It may lack parts, and may hold parts that the root does not name.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Bundle {
    /// Bytes of the root.
    pub root: Bytes,
    /// Bytes of the parts by their digest.
    pub parts: IndexMap<Digest, Bytes>,
}

impl Bundle {
    /// Makes a bundle; the digests of the parts are computed from their bytes.
    #[must_use]
    pub fn new(root: Bytes, parts: impl IntoIterator<Item = Bytes>) -> Self {
        let parts = parts.into_iter().map(|bytes| (digest::sha256(&bytes), bytes)).collect();
        Self { root, parts }
    }

    /// Parses and validates a root and its parts, and builds the tables.
    ///
    /// # Errors
    ///
    /// Returns every finding when the document is not valid. Parts that the root does not name are ignored.
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
    /// Returns every finding when the document is not valid.
    pub fn tables(&self) -> Result<Tables, Findings> {
        let document = self.document()?;
        Ok(build::tables(&document))
    }

    /// Parses and validates the document.
    ///
    /// # Errors
    ///
    /// Returns every finding when the document is not valid. When the bytes of the root or of a part do not parse, the
    /// rules on values are not yet checked.
    pub fn document(&self) -> Result<Document, Findings> {
        self.document_reusing(None)
    }

    /// Parses and validates the document, and takes the parts that `previous` has too from there. Parsing takes most of
    /// the time, and a change usually concerns one part.
    ///
    /// # Errors
    ///
    /// As [`Bundle::document`].
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
