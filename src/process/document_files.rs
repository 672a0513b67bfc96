//! Reads and writes a document as a directory with `root.yaml` and `parts/NAME.yaml` for each index.
//!
//! Operators maintain documents in this form. File access is in this module, so that [`crate::version`] performs no
//! I/O.

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

/// File name of the root.
pub const ROOT_FILE: &str = "root.yaml";

/// Name of the directory that contains the parts.
pub const PARTS_DIR: &str = "parts";

const EXTENSION: &str = "yaml";

/// Remedy for every mismatch between the root and the part files.
const SEAL_REMEDY: &str = "run `pimento-check seal DIR`";

/// Error of reading or writing a file or directory.
#[derive(Debug, thiserror::Error)]
#[error("cannot {operation} {}", path.display())]
pub struct FileError {
    /// Operation that failed: `list`, `read` or `write`.
    pub operation: &'static str,
    /// Path of the file or directory.
    pub path: PathBuf,
    /// Error of the operating system.
    #[source]
    pub source: io::Error,
}

impl FileError {
    /// Returns advice for the operator.
    #[must_use]
    pub const fn hint(&self) -> &'static str {
        "a document is a directory with root.yaml and parts/NAME.yaml; check the path and its permissions"
    }
}

/// File of one part of a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartFile {
    /// File name without its extension, which is the name of the index.
    pub name: IndexId,
    /// Contents of the file, which are not validated.
    pub bytes: Bytes,
}

/// Contents of all files of a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentFiles {
    /// Contents of the root file.
    pub root: Bytes,
    /// Part files, sorted by path.
    pub parts: Vec<PartFile>,
}

impl DocumentFiles {
    /// Reads all files of the document in `dir`, without validating their contents.
    ///
    /// # Errors
    ///
    /// Returns an error when the root, the directory of parts or a part cannot be read.
    pub fn load(dir: &Path) -> Result<Self, FileError> {
        let root = read_file(&dir.join(ROOT_FILE))?;
        let mut parts = Vec::new();
        for path in part_paths(&dir.join(PARTS_DIR))? {
            let name = path.file_stem().unwrap_or_default().to_string_lossy();
            parts.push(PartFile {
                name: name.into(),
                bytes: read_file(&path)?,
            });
        }
        Ok(Self { root, parts })
    }

    /// Returns the document in the form that the platform and peers transfer.
    #[must_use]
    pub fn bundle(&self) -> Bundle {
        let parts = self.parts.iter().map(|part| part.bytes.clone());
        Bundle::new(self.root.clone(), parts)
    }

    /// Checks that the part files match the names and digests in the root, and validates the document.
    ///
    /// # Errors
    ///
    /// Returns all mismatches between the root and the files. If there are none, returns all findings of the
    /// validation.
    pub fn document(&self) -> Result<Document, Findings> {
        let root = Root::parse(&self.root)?;
        let findings: Vec<Finding> = self.parts.iter().filter_map(|file| check_part(&root, file)).collect();
        Findings(findings).into_result(())?;
        self.bundle().document()
    }

    /// Returns the text of a root with the current names and digests of the parts, and with `revision` if it is set.
    /// Schema and claims are unchanged.
    ///
    /// # Errors
    ///
    /// Returns a finding when the existing root does not parse.
    pub fn seal(&self, revision: Option<u64>) -> Result<String, Finding> {
        let mut root = Root::parse(&self.root)?;
        root.revision = revision.unwrap_or(root.revision);
        root.parts = self.parts.iter().map(part_ref).collect();
        Ok(format_root(&root))
    }
}

/// Writes `text` to the root file in `dir`.
///
/// # Errors
///
/// Returns an error when the file cannot be written.
pub fn write_root(dir: &Path, text: &str) -> Result<(), FileError> {
    let path = dir.join(ROOT_FILE);
    fs::write(&path, text).map_err(|source| FileError {
        operation: "write",
        path,
        source,
    })
}

/// Returns a finding when the root does not list the file or lists another digest.
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

/// Formats a root deterministically, so that sealing changes only the lines whose values have changed.
fn format_root(root: &Root) -> String {
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

fn read_file(path: &Path) -> Result<Bytes, FileError> {
    let bytes = fs::read(path).map_err(|source| FileError {
        operation: "read",
        path: path.into(),
        source,
    })?;
    Ok(bytes.into())
}
