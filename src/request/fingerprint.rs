//! Content hash of a request, by which instances recognise it when a caller sends it again.
//!
//! Each attempt of a caller has its own id, so two attempts have only their content in common.

use std::fmt;

use http::HeaderMap;
use http::Method;
use http::Uri;
use http::header;
use sha2::Digest as _;
use sha2::Sha256;

use crate::version::digest;

/// Hash of the method, the host, the path and query, the credentials of the caller, and the body. All instances must
/// compute the same hash.
///
/// Other headers are left out: many of them differ between attempts, such as the id and the remaining time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Hashes a request.
    #[must_use]
    pub fn of(method: &Method, uri: &Uri, headers: &HeaderMap, body: &[u8]) -> Self {
        let header = |name| headers.get(name).map_or(&b""[..], |value| value.as_bytes());
        let target = uri.path_and_query().map_or("", |target| target.as_str());
        let host = headers
            .get(header::HOST)
            .map_or_else(|| uri.host().unwrap_or_default().as_bytes(), |host| host.as_bytes());
        let fields = [
            method.as_str().as_bytes(),
            host,
            target.as_bytes(),
            header(header::AUTHORIZATION),
            body,
        ];
        let mut hasher = Sha256::new();
        for field in fields {
            // The length keeps fields apart, so that no two requests have the same input.
            hasher.update((field.len() as u64).to_be_bytes());
            hasher.update(field);
        }
        Self(digest::leading_number(&hasher.finalize().into()))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
