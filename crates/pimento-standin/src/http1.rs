//! HTTP/1 helpers shared by the servers of this crate.

use std::future::Future;
use std::io;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;

/// Largest request body that the servers read, in bytes. It bounds the memory of one request.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Request as received by the servers.
pub type Request = http::Request<Incoming>;

/// Response of the servers, with a body of known length.
pub type HttpResponse = Response<Full<Bytes>>;

/// Serves one connection until the peer closes it. A handler that returns `None` closes the connection without a
/// response.
pub async fn serve<F, R>(stream: TcpStream, handler: F)
where
    F: Fn(Request) -> R,
    R: Future<Output = Option<HttpResponse>>,
{
    let service = service_fn(|request| {
        let response = handler(request);
        async {
            response
                .await
                .ok_or_else(|| io::Error::other("connection closed by a fault switch"))
        }
    });
    let served = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
    // Errors are expected here: tests kill clients, and fault switches close connections.
    drop(served);
}

/// Reads the body of a request. Returns `None` if it exceeds [`MAX_BODY_BYTES`] or the connection ends.
pub async fn read_body(request: Request) -> Option<Bytes> {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES);
    let collected = body.collect().await.ok()?;
    Some(collected.to_bytes())
}

/// Reads a JSON body. Returns `None` if it cannot be read or parsed.
pub async fn read_json<T: DeserializeOwned>(request: Request) -> Option<T> {
    let bytes = read_body(request).await?;
    serde_json::from_slice(&bytes).ok()
}

/// Creates a response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, body: &T) -> HttpResponse {
    let text = serde_json::to_vec(body).unwrap_or_default();
    let mut response = with_body(status, Bytes::from(text));
    let kind = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, kind);
    response
}

/// Creates a response with the given body.
pub fn with_body(status: StatusCode, body: Bytes) -> HttpResponse {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

/// Creates a response without a body.
pub fn empty(status: StatusCode) -> HttpResponse {
    with_body(status, Bytes::new())
}

/// Sets a header to the text of `value`. A text that is not valid in a header is ignored.
pub fn set_header(response: &mut HttpResponse, name: &'static str, value: &impl ToString) {
    if let Ok(value) = http::HeaderValue::from_str(&value.to_string()) {
        response.headers_mut().insert(name, value);
    }
}

/// Returns the parameter `name` of the query string as a number.
pub fn query_number(request: &Request, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.into_iter().find(|(key, _)| *key == name)?;
    value.parse().ok()
}

/// Returns the header `name` as a number.
pub fn header_number(request: &Request, name: &str) -> Option<u64> {
    header_text(request, name)?.parse().ok()
}

/// Returns the header `name` as text.
pub fn header_text<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}
