//! `/metrics`, `/live` and `/ready` of a process.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use http::StatusCode;
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;
use volo_http::body::Body;
use volo_http::server::route::Router;
use volo_http::server::route::get;

/// Whether the process takes new requests. The balancer of the platform reads it through `/ready`.
#[derive(Debug, Clone, Default)]
pub struct Readiness(Arc<AtomicBool>);

impl Readiness {
    /// Sets whether the process takes new requests.
    pub fn set(&self, ready: bool) {
        self.0.store(ready, Ordering::Release);
    }

    /// Tells whether the process takes new requests.
    #[must_use]
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Makes the routes. `/live` answers 200 as long as the process runs; `/ready` answers 503 before the configuration is in
/// effect and from the beginning of a planned stop. `ready_path` is a further path of `/ready`, which the balancer asks
/// for.
pub fn routes(registry: Registry, readiness: Readiness, ready_path: Option<&str>) -> Router<Body, Infallible> {
    let registry = Arc::new(registry);
    let balancer_readiness = readiness.clone();
    let routes = Router::new()
        .route("/live", get(|| async { "live\n" }))
        .route(
            "/ready",
            get(move || {
                let ready = readiness.get();
                async move { ready_response(ready) }
            }),
        )
        .route(
            "/metrics",
            get(move || {
                let text = metrics_response(&registry);
                async move { text }
            }),
        );
    match ready_path {
        None => routes,
        Some(path) => routes.route(
            path,
            get(move || {
                let ready = balancer_readiness.get();
                async move { ready_response(ready) }
            }),
        ),
    }
}

const fn ready_response(ready: bool) -> (StatusCode, &'static str) {
    if ready {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

fn metrics_response(registry: &Registry) -> (StatusCode, String) {
    let mut text = String::new();
    match encode(&mut text, registry) {
        Ok(()) => (StatusCode::OK, text),
        Err(error) => (
            StatusCode::INTERNAL_SERVER_ERROR,
            format!("cannot encode metrics: {error}\n"),
        ),
    }
}
