//! Validation of received documents.

use std::sync::Arc;

use crate::process::dissemination;
use crate::version::build;
use crate::version::bundle::Bundle;
use crate::version::document::Document;
use crate::version::tables::Tables;

/// A valid document, parsed and as lookup tables.
#[derive(Debug, Clone)]
pub struct ValidDocument {
    /// Parsed document. Its unchanged parts are reused when the next document is parsed.
    pub document: Arc<Document>,
    /// Lookup tables for request handlers.
    pub tables: Arc<Tables>,
}

impl ValidDocument {
    /// Parses and validates a document. Parts that `previous` also contains are reused instead of parsed again.
    ///
    /// # Errors
    ///
    /// Returns the text of all findings when the document is not valid.
    pub fn parse(received: &dissemination::Document, previous: Option<&Document>) -> Result<Self, Box<str>> {
        let bundle = Bundle {
            root: received.root.clone(),
            parts: received.parts.clone(),
        };
        let parsed = bundle.document_reusing(previous);
        let document = parsed.map_err(|findings| Box::from(findings.to_string()))?;
        let tables = Arc::new(build::tables(&document));
        Ok(Self {
            document: Arc::new(document),
            tables,
        })
    }
}
