//! Client of the platform's read-only configuration service. See `docs/protocols.md`.

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

/// Greatest value that the platform holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Time in which the platform must answer beyond the time that a watch waits.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Failure of a read.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// The platform cannot be reached or broke off.
    #[error("platform unreachable at {0}; the configuration in effect stays")]
    Unreachable(SocketAddr),
    /// The platform refuses reads for now.
    #[error("platform refused the read with status {status}; back off")]
    Refused {
        /// HTTP status.
        status: StatusCode,
        /// Time after which the platform wants to be asked again.
        retry_after: Option<Duration>,
    },
    /// The name is unknown.
    #[error("platform has no value `{0}`; publish the document first")]
    NotFound(Box<str>),
    /// The answer does not follow `docs/protocols.md`.
    #[error("malformed answer of the platform for `{0}`")]
    Malformed(Box<str>),
}

/// Value with the version under which it was published.
#[derive(Debug, Clone)]
pub struct Versioned<T> {
    /// Number that grows with each publication.
    pub version: u64,
    /// The value.
    pub value: T,
}

/// Role of a listed instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedRole {
    /// Entry program.
    Entry,
    /// Leaf program.
    Leaf,
    /// Backend server.
    Searcher,
}

/// State of a listed instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// In service.
    Live,
    /// Leaving: it takes no new work.
    Leaving,
}

/// One line of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ListedInstance {
    /// Name of the instance or searcher.
    pub id: InstanceId,
    /// Role.
    pub role: ListedRole,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Address for peers, or of the HTTP interface of a searcher.
    pub address: SocketAddr,
    /// State.
    pub state: ListedState,
}

#[derive(Debug, Deserialize)]
struct InstanceList {
    instances: Vec<ListedInstance>,
}

/// Client of the platform. Each call opens one connection, since calls are rare.
#[derive(Debug, Clone, Copy)]
pub struct PlatformClient {
    address: SocketAddr,
}

impl PlatformClient {
    /// Makes a client for the platform at `address`.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Reads a value. With `after`, waits up to `wait` for a later version and returns `None` when there is none.
    ///
    /// # Errors
    ///
    /// Fails when the platform is unreachable, refuses, or does not know the name.
    pub async fn value(
        &self,
        name: &str,
        after: Option<u64>,
        wait: Duration,
    ) -> Result<Option<Versioned<Bytes>>, PlatformError> {
        let path = format!("/v1/values/{name}");
        self.read(&path, name, after, wait).await
    }

    /// Reads the list of instances, with the same waiting as [`PlatformClient::value`].
    ///
    /// # Errors
    ///
    /// Fails when the platform is unreachable or refuses, or the list is malformed.
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
            // An error shows as a failed exchange below.
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
