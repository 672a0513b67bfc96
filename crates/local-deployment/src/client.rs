//! Minimal HTTP client for tests and the quick start.

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

/// HTTP response with its whole body.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status code.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Bytes,
}

impl Answer {
    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the body does not have the form of `T`. The error contains the status and the body.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        let describe = || format!("status {}, body {}", self.status, String::from_utf8_lossy(&self.body));
        serde_json::from_slice(&self.body).with_context(describe)
    }
}

/// Client with one connection, which stays open between requests.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

impl Client {
    /// Opens a connection to `address`.
    ///
    /// # Errors
    ///
    /// Fails if the server cannot be reached.
    pub async fn connect(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(address)
            .await
            .with_context(|| format!("cannot connect to {address}"))?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(async move {
            // An error is also returned to the sender of the request.
            let _result = connection.await;
        });
        Ok(Self { address, sender })
    }

    /// Waits until the connection can take a request. Returns `false` if it is closed, so that no request is sent on a
    /// connection that the server has already closed.
    pub async fn is_open(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends before the answer is complete.
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

/// Sends a request over a new connection.
///
/// # Errors
///
/// Fails if the server cannot be reached or the connection ends before the answer is complete.
pub async fn send(address: SocketAddr, method: Method, path: &str, body: impl Into<Bytes>) -> Result<Answer> {
    Client::connect(address).await?.send(method, path, body).await
}

/// Sends a `POST` request with a JSON body over a new connection.
///
/// # Errors
///
/// Fails if the server cannot be reached or the connection ends before the answer is complete.
pub async fn post(address: SocketAddr, path: &str, body: &serde_json::Value) -> Result<Answer> {
    send(address, Method::POST, path, body.to_string()).await
}
