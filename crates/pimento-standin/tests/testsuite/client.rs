//! Minimal HTTP client for the tests.

use std::net::SocketAddr;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Loopback address with a port that the system chooses.
pub const ANY: &str = "127.0.0.1:0";

pub fn any() -> SocketAddr {
    ANY.parse().expect("the constant is an address")
}

/// Client with one connection.
pub struct Client {
    sender: SendRequest<Full<Bytes>>,
}

/// Response with its whole body.
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).expect("the body is JSON")
    }
}

impl Client {
    pub async fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.expect("the port is open");
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .expect("a client handshake sends nothing");
        tokio::spawn(connection);
        Self { sender }
    }

    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> hyper::Result<Answer> {
        self.sender.ready().await?;
        let response = self.sender.send_request(request).await?;
        let (parts, body) = response.into_parts();
        Ok(Answer {
            status: parts.status,
            headers: parts.headers,
            body: body.collect().await?.to_bytes(),
        })
    }

    pub async fn get(&mut self, path: &str) -> hyper::Result<Answer> {
        self.send(request("GET", path, "")).await
    }

    pub async fn search(&mut self, id: &str, snapshot: u64) -> hyper::Result<Answer> {
        self.search_within(id, snapshot, 600_000).await
    }

    pub async fn search_within(&mut self, id: &str, snapshot: u64, remaining_ms: u64) -> hyper::Result<Answer> {
        let body = r#"{"shard": "s1", "start": 0, "end": 4294967296, "query": "gym", "limit": 5}"#;
        let mut request = request("POST", "/v1/search", body);
        let headers = request.headers_mut();
        headers.insert("x-request-id", id.parse().expect("ids are ASCII"));
        headers.insert("x-snapshot", snapshot.into());
        headers.insert("x-remaining-ms", remaining_ms.into());
        self.send(request).await
    }

    pub async fn submit(&mut self, id: &str) -> hyper::Result<Answer> {
        let mut request = request("POST", "/v1/submit", r#"{"shard": "s1", "key": 17, "body": "entry"}"#);
        let headers = request.headers_mut();
        headers.insert("x-request-id", id.parse().expect("ids are ASCII"));
        self.send(request).await
    }
}

pub fn request(method: &str, path: &str, body: &str) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", "localhost")
        .body(Full::from(body.to_owned()))
        .expect("the parts are valid")
}
