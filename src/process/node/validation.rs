//! Validation of a document that was received.

use std::sync::Arc;

use crate::process::dissemination;
use crate::version::build;
use crate::version::bundle::Bundle;
use crate::version::document::Document;
use crate::version::tables::Tables;

/// A valid document in the forms that the process keeps.
#[derive(Debug, Clone)]
pub struct ValidDocument {
    /// Parsed document, from which the next one takes the parts that did not change.
    pub document: Arc<Document>,
    /// Tables for the path of a request.
    pub tables: Arc<Tables>,
}

impl ValidDocument {
    /// Parses and validates a document. Parts that `previous` has too are taken from there and not parsed again.
    ///
    /// # Errors
    ///
    /// Returns all findings as one text when the document is not valid.
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
