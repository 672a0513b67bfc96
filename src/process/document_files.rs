//! A document in a directory: `root.yaml`, and `parts/NAME.yaml` for each index.
//!
//! This is the form in which operators keep a document. Reading and writing files stays here, so that
//! [`crate::version`] has no I/O.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use bytes::Bytes;

use crate::ids::IndexId;
use crate::version::bundle::Bundle;
use crate::version::digest;
use crate::version::digest::HexDigest;
use crate::version::document::Document;
use crate::version::document::PartRef;
use crate::version::document::ROOT_NAME;
use crate::version::document::Root;
use crate::version::finding::Finding;
use crate::version::finding::Findings;

/// Name of the file of the root.
pub const ROOT_FILE: &str = "root.yaml";

/// Name of the directory of the parts.
pub const PARTS_DIR: &str = "parts";

const EXTENSION: &str = "yaml";

/// Remedy of every difference between the root and the files of the parts.
const SEAL_REMEDY: &str = "run `pimento-check seal DIR`";

/// A file that cannot be read or written.
#[derive(Debug, thiserror::Error)]
#[error("cannot {operation} {}", path.display())]
pub struct FileError {
    /// What was attempted.
    pub operation: &'static str,
    /// The file.
    pub path: PathBuf,
    /// The cause.
    #[source]
    pub source: io::Error,
}

impl FileError {
    /// Returns what to do about it.
    #[must_use]
    pub const fn hint(&self) -> &'static str {
        "a document is a directory with root.yaml and parts/NAME.yaml; check the path and its permissions"
    }
}

/// File of one part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartFile {
    /// Name of the file without its extension, which is the name of the index.
    pub name: IndexId,
    /// Contents.
    pub bytes: Bytes,
}

/// All files of a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentFiles {
    /// Contents of the root.
    pub root: Bytes,
    /// Parts in the order of their names.
    pub parts: Vec<PartFile>,
}

impl DocumentFiles {
    /// Reads the files of the directory `dir`.
    ///
    /// # Errors
    ///
    /// Fails when the root, the directory of parts or a part cannot be read. Contents are not checked.
    pub fn load(dir: &Path) -> Result<Self, FileError> {
        let root = read(&dir.join(ROOT_FILE))?;
        let mut parts = Vec::new();
        for path in part_paths(&dir.join(PARTS_DIR))? {
            let name = path.file_stem().unwrap_or_default().to_string_lossy();
            parts.push(PartFile {
                name: name.into(),
                bytes: read(&path)?,
            });
        }
        Ok(Self { root, parts })
    }

    /// Returns the document as it travels from the platform and between peers.
    #[must_use]
    pub fn bundle(&self) -> Bundle {
        let parts = self.parts.iter().map(|part| part.bytes.clone());
        Bundle::new(self.root.clone(), parts)
    }

    /// Checks that the root names exactly the files with their contents, and validates the document.
    ///
    /// # Errors
    ///
    /// Returns every finding.
    pub fn document(&self) -> Result<Document, Findings> {
        let root = Root::parse(&self.root)?;
        let findings: Vec<Finding> = self.parts.iter().filter_map(|file| check_part(&root, file)).collect();
        Findings(findings).into_result(())?;
        self.bundle().document()
    }

    /// Returns the text of a root that names the parts as they are now. Schema and claims are kept.
    ///
    /// # Errors
    ///
    /// Returns a finding when the present root does not parse.
    pub fn seal(&self, revision: Option<u64>) -> Result<String, Finding> {
        let mut root = Root::parse(&self.root)?;
        root.revision = revision.unwrap_or(root.revision);
        root.parts = self.parts.iter().map(part_ref).collect();
        Ok(root_text(&root))
    }
}

/// Writes the text of a root to the directory `dir`.
///
/// # Errors
///
/// Fails when the file cannot be written.
pub fn write_root(dir: &Path, text: &str) -> Result<(), FileError> {
    let path = dir.join(ROOT_FILE);
    fs::write(&path, text).map_err(|source| FileError {
        operation: "write",
        path,
        source,
    })
}

/// Returns a finding when the root does not name the file with its present contents.
fn check_part(root: &Root, file: &PartFile) -> Option<Finding> {
    let sha256 = HexDigest(digest::sha256(&file.bytes));
    let entry = root.parts.iter().find(|entry| entry.name == file.name);
    match entry {
        None => Some(Finding::new(
            format!("{ROOT_NAME}.parts"),
            format!("the file {PARTS_DIR}/{}.{EXTENSION} is not listed", file.name),
            SEAL_REMEDY,
        )),
        Some(entry) if entry.sha256 != sha256 => Some(Finding::new(
            format!("{ROOT_NAME}.parts"),
            format!(
                "{PARTS_DIR}/{}.{EXTENSION} has changed: its digest is {sha256}",
                file.name
            ),
            SEAL_REMEDY,
        )),
        Some(_) => None,
    }
}

fn part_ref(file: &PartFile) -> PartRef {
    PartRef {
        name: file.name.clone(),
        sha256: HexDigest(digest::sha256(&file.bytes)),
    }
}

/// Writes a root in the same form each time, so that a sealed root changes only where the document does.
fn root_text(root: &Root) -> String {
    let mut text = format!(
        "# The digests are written by `pimento-check seal`.\nschema: {}\nrevision: {}\nclaims:\n  tolerated_views: {}\n  remote_reserve: {}\n",
        root.schema, root.revision, root.claims.tolerated_views, root.claims.remote_reserve,
    );
    text.push_str(if root.parts.is_empty() {
        "parts: []\n"
    } else {
        "parts:\n"
    });
    for part in &root.parts {
        text.push_str(&format!("  - name: {}\n    sha256: {}\n", part.name, part.sha256));
    }
    text
}

fn part_paths(dir: &Path) -> Result<Vec<PathBuf>, FileError> {
    let list = || -> io::Result<Vec<PathBuf>> {
        let entries = fs::read_dir(dir)?;
        let paths = entries.map(|entry| entry.map(|entry| entry.path()));
        paths.collect()
    };
    let mut paths = list().map_err(|source| FileError {
        operation: "list",
        path: dir.into(),
        source,
    })?;
    paths.retain(|path| path.extension().is_some_and(|extension| extension == EXTENSION));
    paths.sort();
    Ok(paths)
}

fn read(path: &Path) -> Result<Bytes, FileError> {
    let bytes = fs::read(path).map_err(|source| FileError {
        operation: "read",
        path: path.into(),
        source,
    })?;
    Ok(bytes.into())
}
