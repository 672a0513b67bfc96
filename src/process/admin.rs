//! Admin interface of a process: `/metrics`, `/live` and `/ready`.

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

/// Shared flag that indicates whether the process accepts new requests. The platform's load balancer reads it through
/// `/ready`.
#[derive(Debug, Clone, Default)]
pub struct Readiness(Arc<AtomicBool>);

impl Readiness {
    /// Sets whether the process accepts new requests.
    pub fn set(&self, ready: bool) {
        self.0.store(ready, Ordering::Release);
    }

    /// Returns whether the process accepts new requests.
    #[must_use]
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Creates the routes of the admin interface.
///
/// `/live` returns 200 as long as the process runs. `/ready` returns 503 until a configuration is in effect and again
/// from the start of a planned stop. `ready_path` is an alternative path of `/ready` for the load balancer.
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
