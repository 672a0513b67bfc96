//! Documents for deployments whose searchers are stand-ins on ports that the system chooses.

use std::net::SocketAddr;
use std::path::Path;

use eyre::Context;
use eyre::Result;
use eyre::eyre;
use indexmap::IndexMap;
use pimentoflow::process::document_files::DocumentFiles;
use pimentoflow::version::digest;

/// Document in the form in which it is published to the platform.
#[derive(Debug, Clone)]
pub struct LocalDocument {
    files: DocumentFiles,
}

impl LocalDocument {
    /// Reads a document from a directory.
    ///
    /// # Errors
    ///
    /// Fails if the files cannot be read.
    pub fn load(dir: &Path) -> Result<Self> {
        let files = DocumentFiles::load(dir).with_context(|| format!("cannot read the document {}", dir.display()))?;
        Ok(Self { files })
    }

    /// Validates the document and returns its tables.
    ///
    /// # Errors
    ///
    /// Fails if the document is not valid. The error lists all findings.
    pub fn tables(&self) -> Result<pimentoflow::version::tables::Tables> {
        self.files
            .bundle()
            .tables()
            .map_err(|findings| eyre!("document is not valid\n{findings}"))
    }

    /// Replaces the addresses of searchers and sets the revision.
    ///
    /// # Errors
    ///
    /// Fails if the root does not parse.
    pub fn relocate(&self, addresses: &IndexMap<SocketAddr, SocketAddr>, revision: u64) -> Result<Self> {
        let replacements = addresses
            .iter()
            .map(|(from, to)| (format!("address: {from}\n"), format!("address: {to}\n")));
        let replacements: Vec<(String, String)> = replacements.collect();
        self.edit(revision, |text| {
            // Each line is replaced at most once, so that a new address that equals an old one is not replaced again.
            let lines = text.split_inclusive('\n').map(|line| {
                let found = replacements.iter().find(|(from, _)| line.ends_with(from.as_str()));
                found.map_or_else(|| line.to_owned(), |(from, to)| line.replace(from, to))
            });
            lines.collect()
        })
    }

    /// Applies `change` to the text of every part and sets the revision.
    ///
    /// # Errors
    ///
    /// Fails if the root does not parse.
    pub fn edit(&self, revision: u64, change: impl Fn(&str) -> String) -> Result<Self> {
        let mut files = self.files.clone();
        for part in &mut files.parts {
            let text = String::from_utf8_lossy(&part.bytes).into_owned();
            part.bytes = change(&text).into();
        }
        let root = files.seal(Some(revision)).map_err(|finding| eyre!("{finding}"))?;
        files.root = root.into();
        Ok(Self { files })
    }

    /// Returns the names and contents of the values to publish. The root is last, because it refers to the parts.
    #[must_use]
    pub fn values(&self) -> Vec<(String, bytes::Bytes)> {
        let parts = self.files.parts.iter().map(|part| {
            let hex: String = digest::sha256(&part.bytes)
                .iter()
                .map(|byte| format!("{byte:02x}"))
                .collect();
            (format!("part-{hex}"), part.bytes.clone())
        });
        let root = ("root".to_owned(), self.files.root.clone());
        parts.chain([root]).collect()
    }
}
