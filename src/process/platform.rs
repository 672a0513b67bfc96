//! HTTP client of the platform's read-only configuration service. See `docs/protocols.md`.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;

use crate::ids::DataCentreId;
use crate::ids::InstanceId;

/// Maximum size of a value in bytes, as limited by the platform.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Timeout of a read, in addition to the time that a watch waits for a new version.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Error of a read from the platform.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// The connection failed, was closed, or timed out.
    #[error("platform unreachable at {0}; the configuration in effect stays")]
    Unreachable(SocketAddr),
    /// The platform refused the read, for example because it is overloaded.
    #[error("platform refused the read with status {status}; retry later")]
    Refused {
        /// HTTP status of the response.
        status: StatusCode,
        /// Time from the response header `retry-after-ms` after which the read may be repeated.
        retry_after: Option<Duration>,
    },
    /// The platform has no value with this name.
    #[error("platform has no value `{0}`; publish the document first")]
    NotFound(Box<str>),
    /// The response does not conform to `docs/protocols.md`.
    #[error("malformed response from the platform for `{0}`")]
    Malformed(Box<str>),
}

/// Value with its version.
#[derive(Debug, Clone)]
pub struct Versioned<T> {
    /// Version, which increases with each publication.
    pub version: u64,
    /// Value as published in this version.
    pub value: T,
}

/// Role of a listed instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedRole {
    /// Instance that serves callers.
    Entry,
    /// Instance that sends sub-queries to backend servers.
    Leaf,
    /// Backend server.
    Searcher,
}

/// State of a listed instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// The instance is in service.
    Live,
    /// The instance is leaving and accepts no new work.
    Leaving,
}

/// Entry of the platform's list of instances.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ListedInstance {
    /// Name of the instance or searcher.
    pub id: InstanceId,
    /// Role of the instance.
    pub role: ListedRole,
    /// Data centre in which the instance runs.
    pub data_centre: DataCentreId,
    /// Address of the interface for peers, or of the HTTP interface of a searcher.
    pub address: SocketAddr,
    /// State that the platform lists.
    pub state: ListedState,
}

#[derive(Debug, Deserialize)]
struct InstanceList {
    instances: Vec<ListedInstance>,
}

/// Client of the platform. Each call opens a new connection, since calls are rare.
#[derive(Debug, Clone, Copy)]
pub struct PlatformClient {
    address: SocketAddr,
}

impl PlatformClient {
    /// Creates a client for the platform at `address`. No connection is opened yet.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Reads the value `name`. With `after`, waits up to `wait` for a version later than `after` and returns `None`
    /// when there is none.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform is unreachable, refuses the read, has no such value, or sends a malformed
    /// response.
    pub async fn value(
        &self,
        name: &str,
        after: Option<u64>,
        wait: Duration,
    ) -> Result<Option<Versioned<Bytes>>, PlatformError> {
        let path = format!("/v1/values/{name}");
        self.read(&path, name, after, wait).await
    }

    /// Reads the list of instances. `after` and `wait` have the same meaning as in [`PlatformClient::value`].
    ///
    /// # Errors
    ///
    /// Returns an error when the platform is unreachable, refuses the read, or sends a malformed response.
    pub async fn instances(
        &self,
        after: Option<u64>,
        wait: Duration,
    ) -> Result<Option<Versioned<Vec<ListedInstance>>>, PlatformError> {
        let Some(response) = self.read("/v1/instances", "instances", after, wait).await? else {
            return Ok(None);
        };
        let list: InstanceList =
            serde_json::from_slice(&response.value).map_err(|_error| PlatformError::Malformed("instances".into()))?;
        Ok(Some(Versioned {
            version: response.version,
            value: list.instances,
        }))
    }

    async fn read(
        &self,
        path: &str,
        name: &str,
        after: Option<u64>,
        wait: Duration,
    ) -> Result<Option<Versioned<Bytes>>, PlatformError> {
        let uri = match after {
            Some(after) => format!("{path}?after={after}&wait_ms={}", wait.as_millis()),
            None => path.to_owned(),
        };
        let request = tokio::time::timeout(wait + RESPONSE_TIMEOUT, self.send_request(&uri));
        let response = request
            .await
            .ok()
            .flatten()
            .ok_or(PlatformError::Unreachable(self.address))?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::NOT_MODIFIED => return Ok(None),
            StatusCode::NOT_FOUND => return Err(PlatformError::NotFound(name.into())),
            status => {
                let retry_after = numeric_header(&response, "retry-after-ms").map(Duration::from_millis);
                return Err(PlatformError::Refused { status, retry_after });
            }
        }
        let version = numeric_header(&response, "x-version").ok_or_else(|| PlatformError::Malformed(name.into()))?;
        Ok(Some(Versioned {
            version,
            value: response.into_body(),
        }))
    }

    async fn send_request(&self, uri: &str) -> Option<http::Response<Bytes>> {
        let stream = TcpStream::connect(self.address).await.ok()?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            // A connection error also fails `send_request` below, which reports it.
            let _result = connection.await;
        });
        let request = Request::builder()
            .method(Method::GET)
            .uri(uri)
            .header(http::header::HOST, self.address.to_string())
            .body(Full::new(Bytes::new()))
            .ok()?;
        let response = sender.send_request(request).await.ok()?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_VALUE_BYTES).collect().await.ok()?.to_bytes();
        Some(http::Response::from_parts(head, body))
    }
}

fn numeric_header(response: &http::Response<Bytes>, name: &str) -> Option<u64> {
    response.headers().get(name)?.to_str().ok()?.parse().ok()
}
