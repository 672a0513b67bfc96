//! Small HTTP client for tests and the quick start.

use std::net::SocketAddr;

use bytes::Bytes;
use eyre::Context;
use eyre::Result;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;

/// Answer to a request.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails when the body has another form; the error shows status and body.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        let describe = || format!("status {}, body {}", self.status, String::from_utf8_lossy(&self.body));
        serde_json::from_slice(&self.body).with_context(describe)
    }
}

/// Connection that is kept open between requests.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

impl Client {
    /// Connects.
    ///
    /// # Errors
    ///
    /// Fails when the server cannot be reached.
    pub async fn connect(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(address)
            .await
            .with_context(|| format!("cannot connect to {address}"))?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(async move {
            // The error reaches the sender of the request.
            let _result = connection.await;
        });
        Ok(Self { address, sender })
    }

    /// Tells whether the connection is still open, so that a request sent now is not lost to a close that happened
    /// before it.
    pub async fn is_open(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends one request and reads its answer.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends before the answer is complete.
    pub async fn send(&mut self, method: Method, path: &str, body: impl Into<Bytes>) -> Result<Answer> {
        self.sender.ready().await?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, self.address.to_string())
            .body(Full::new(body.into()))?;
        let response = self.sender.send_request(request).await?;
        let (head, body) = response.into_parts();
        let body = body.collect().await?.to_bytes();
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body,
        })
    }
}

/// Sends one request on a connection of its own.
///
/// # Errors
///
/// Fails when the server cannot be reached or breaks off.
pub async fn send(address: SocketAddr, method: Method, path: &str, body: impl Into<Bytes>) -> Result<Answer> {
    Client::connect(address).await?.send(method, path, body).await
}

/// Sends a `POST` with a JSON body on a connection of its own.
///
/// # Errors
///
/// Fails when the server cannot be reached or breaks off.
pub async fn post(address: SocketAddr, path: &str, body: &serde_json::Value) -> Result<Answer> {
    send(address, Method::POST, path, body.to_string()).await
}
