//! Tests of the interface for callers: answers and their coverage, errors, limits and the admin interface.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use http::Method;
use http::StatusCode;
use local_deployment::client;
use local_deployment::deployment::Deployment;
use local_deployment::deployment::Options;
use pimentoflow::commands::Outcome;
use pimentoflow::commands::revisions;
use pimentoflow::error::ErrorKind;
use pimentoflow::process::entry::api::ErrorBody;
use pimentoflow::process::entry::api::MAX_SERVICES;
use pimentoflow::process::entry::api::SearchAnswer;
use pimentoflow::process::http::Handler;
use pimentoflow::process::http::HttpLimits;
use pimentoflow::process::http::HttpServer;
use pimentoflow::process::http::ServePhase;
use pimentoflow::process::log;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use volo_http::server::route;
use volo_http::server::route::Router;

use crate::support::assert_coverage_consistent;
use crate::support::get;
use crate::support::sample;
use crate::support::search_body;

async fn start_demo() -> Result<Deployment> {
    Deployment::start(Options::new(sample("demo"))).await
}

/// Guards against an answer that lacks a shard, mixes snapshots or reports wrong coverage when nothing fails.
#[tokio::test(flavor = "multi_thread")]
async fn search_is_complete_on_every_entry() -> Result<()> {
    let deployment = start_demo().await?;
    for entry in 0..deployment.entries.len() {
        let answer = deployment.search(entry, &search_body()).await?;
        assert_eq!(answer.status, StatusCode::OK);
        let found: SearchAnswer = answer.json()?;
        assert!(found.complete);
        assert_coverage_consistent(&found);
        assert_eq!(found.snapshot, 1);
        assert_eq!(found.revision, 1);
        assert!(!found.hits.is_empty());
        assert!(
            found.hits.is_sorted_by(|a, b| a.score >= b.score),
            "hits are not sorted by score"
        );
    }
    Ok(())
}

/// Guards against a malformed request that runs, that gets an error without the invalid field, or that ends the
/// connection.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_searches_get_a_clear_error() -> Result<()> {
    let deployment = start_demo().await?;
    let many: Vec<String> = (0..=MAX_SERVICES).map(|ix| format!("s{ix}")).collect();
    let cases: [(Value, &str); 14] = [
        (json!({"query": "gym"}), "services"),
        (json!({"services": ["gala"], "index": "gala", "query": "gym"}), "either"),
        (json!({"services": ["nowhere"], "query": "gym"}), "nowhere"),
        (json!({"index": "nowhere", "query": "gym"}), "nowhere"),
        (json!({"services": many, "query": "gym"}), "services"),
        (json!({"index": "gala"}), "query"),
        (json!({"index": "gala", "query": "x".repeat(9000)}), "query"),
        (json!({"index": "gala", "query": "gym", "limit": 0}), "limit"),
        (json!({"index": "gala", "query": "gym", "limit": 5000}), "limit"),
        (
            json!({"index": "gala", "query": "gym", "deadline_ms": 0}),
            "deadline_ms",
        ),
        (
            json!({"index": "gala", "query": "gym", "deadline_ms": 86_400_000}),
            "deadline_ms",
        ),
        (
            json!({"index": "gala", "query": "gym", "min_coverage": 1.5}),
            "min_coverage",
        ),
        (
            json!({"index": "gala", "query": "gym", "request_id": "a b"}),
            "request_id",
        ),
        (json!({"index": "gala", "query": "gym", "unknown": 1}), "unknown"),
    ];
    for (body, expected) in cases {
        let answer = deployment.search(0, &body).await?;
        assert_eq!(answer.status, StatusCode::BAD_REQUEST, "{body}");
        let error: ErrorBody = answer.json()?;
        assert_eq!(error.kind, ErrorKind::BadRequest, "{body}");
        assert!(
            error.message.contains(expected),
            "`{}` does not name `{expected}`",
            error.message
        );
    }
    Ok(())
}

/// Guards against a body that is not JSON or too large and is accepted, or is refused with the wrong status.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_and_oversized_bodies_are_refused() -> Result<()> {
    let deployment = start_demo().await?;
    let address = deployment.caller_address(0)?;
    let malformed = client::send(address, Method::POST, "/v1/search", "{\"index\": ").await?;
    assert_eq!(malformed.status, StatusCode::BAD_REQUEST);
    let large = client::send(address, Method::POST, "/v1/search", vec![b' '; 2 * 1024 * 1024]).await?;
    assert_eq!(large.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(large.json::<ErrorBody>()?.kind, ErrorKind::BadRequest);
    let wrong_method = client::send(address, Method::GET, "/v1/search", "").await?;
    assert_eq!(wrong_method.status, StatusCode::METHOD_NOT_ALLOWED);
    let unknown = client::send(address, Method::POST, "/v2/search", "").await?;
    assert_eq!(unknown.status, StatusCode::NOT_FOUND);
    Ok(())
}

/// Guards against answers and errors without the request id of the caller.
#[tokio::test(flavor = "multi_thread")]
async fn answers_return_the_request_id() -> Result<()> {
    let deployment = start_demo().await?;
    let body = json!({"index": "gala", "query": "gym", "request_id": "caller-7"});
    let found: SearchAnswer = deployment.search(0, &body).await?.json()?;
    assert_eq!(&*found.request_id, "caller-7");
    let body = json!({"index": "nowhere", "query": "gym", "request_id": "caller-8"});
    let error: ErrorBody = deployment.search(0, &body).await?.json()?;
    assert_eq!(&*error.request_id, "caller-8");
    Ok(())
}

/// Guards against an admin interface that does not report readiness, and against metrics that do not count requests.
#[tokio::test(flavor = "multi_thread")]
async fn admin_interface_reports_state() -> Result<()> {
    let deployment = start_demo().await?;
    let member = &deployment.entries[0];
    let admin = member.running.admin;
    assert_eq!(get(admin, "/live").await?.status, StatusCode::OK);
    assert_eq!(get(admin, "/ready").await?.status, StatusCode::OK);
    deployment.search(0, &search_body()).await?;
    let metrics = get(admin, "/metrics").await?;
    let text = String::from_utf8_lossy(&metrics.body).into_owned();
    assert!(
        text.contains("pimento_requests_total{index=\"gala\",class=\"routine\",outcome=\"ok\"}"),
        "{text}"
    );
    assert!(text.contains("pimento_revision 1"), "{text}");
    let leaf = get(deployment.leaves[0].running.admin, "/metrics").await?;
    let text = String::from_utf8_lossy(&leaf.body).into_owned();
    assert!(
        text.contains("pimento_lane_events_total{reason=\"dispatched\"}"),
        "{text}"
    );
    assert!(text.contains("pimento_limit{searcher=\"gala-s01-a\"}"), "{text}");
    let config = get(deployment.caller_address(0)?, "/v1/config").await?;
    assert_eq!(config.json::<Value>()?["revision"], 1);
    Ok(())
}

/// Guards against requests above the limit of an entry that are queued without limit, or that are refused without a
/// retry-after time.
#[tokio::test(flavor = "multi_thread")]
async fn requests_above_the_limit_are_refused_as_overloaded() -> Result<()> {
    let options = Options {
        in_flight: 2,
        service_time: Duration::from_millis(100),
        ..Options::new(sample("demo"))
    };
    let deployment = Deployment::start(options).await?;
    let body = search_body();
    let searches = (0..6).map(|_| deployment.search(0, &body));
    let mut refused = 0;
    for answer in futures_util::future::join_all(searches).await {
        let answer = answer?;
        if answer.status == StatusCode::TOO_MANY_REQUESTS {
            let error: ErrorBody = answer.json()?;
            assert_eq!(error.kind, ErrorKind::Overloaded);
            assert!(error.retry_after_ms.is_some());
            assert!(answer.headers.contains_key("retry-after"));
            refused += 1;
        } else {
            assert!(answer.status.is_success(), "{}", answer.status);
        }
    }
    assert!(
        (1..6).contains(&refused),
        "{refused} of 6 refused, the routine quota is 1"
    );
    Ok(())
}

/// Guards against an empty answer that is reported as complete while no snapshot is known.
#[tokio::test(flavor = "multi_thread")]
async fn search_without_a_known_snapshot_fails() -> Result<()> {
    let mut deployment = start_demo().await?;
    for searcher in deployment.searchers.values() {
        searcher.kill();
    }
    for (_, member) in std::mem::take(&mut deployment.leaves) {
        member.running.kill().await;
    }
    deployment.entries.clear();
    deployment.start_leaf("dc-a").await?;
    deployment.start_entry("dc-a").await?;
    loop {
        let error: ErrorBody = deployment.search(0, &search_body()).await?.json()?;
        if error.kind == ErrorKind::NoSnapshot {
            assert!(error.retry_after_ms.is_some());
            return Ok(());
        }
        assert_eq!(error.kind, ErrorKind::NotRun, "before the configuration is in effect");
    }
}

/// Guards against a caller that does not read its answer and thereby occupies memory and a connection forever.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_does_not_read_is_disconnected() -> Result<()> {
    let limits = HttpLimits {
        write_timeout: Duration::from_millis(50),
        ..HttpLimits::default()
    };
    let large = || async { vec![b'x'; 64 * 1024 * 1024] };
    let routes = Router::new().route("/", route::get(large));
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let server = HttpServer::bind(address, Handler::Routes(Arc::new(routes)), limits, log::discard()).await?;
    let bound = server.local_addr()?;
    let counts = server.counts();
    let (_phase, serving) = watch::channel(ServePhase::Serving);
    tokio::spawn(server.serve(serving));
    let mut caller = TcpStream::connect(bound).await?;
    caller.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").await?;
    while counts.open() == 0 {
        tokio::task::yield_now().await;
    }
    while counts.open() > 0 {
        tokio::task::yield_now().await;
    }
    Ok(())
}

/// Guards against a wrong revision in the output of the command `revisions`, and against an unreachable process that is
/// missing there.
#[tokio::test(flavor = "multi_thread")]
async fn revisions_command_shows_every_process() -> Result<()> {
    let deployment = start_demo().await?;
    let entries = deployment.entries.values().chain(deployment.leaves.values());
    let addresses: Vec<SocketAddr> = entries.map(|member| member.running.admin).collect();
    for member in deployment.entries.values().chain(deployment.leaves.values()) {
        member.running.node.watch_config().wait_for(Option::is_some).await?;
    }
    let mut options = revisions::Options { addresses };
    let (outcome, text) = run_revisions(&options).await?;
    assert_eq!(outcome, Outcome::Clean, "{text}");
    assert_eq!(text.lines().filter(|line| line.ends_with(" 1")).count(), 6, "{text}");
    let closed = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?.local_addr()?;
    options.addresses.push(closed);
    let (outcome, text) = run_revisions(&options).await?;
    assert_eq!(outcome, Outcome::Findings);
    assert!(text.contains(&format!("{closed} unreachable")), "{text}");
    Ok(())
}

async fn run_revisions(options: &revisions::Options) -> Result<(Outcome, String)> {
    let options = options.clone();
    let task = tokio::task::spawn_blocking(move || {
        let mut text = String::new();
        let outcome = revisions::run(&options, &mut text).map_err(|failure| failure.report)?;
        Ok::<_, eyre::Report>((outcome, text))
    });
    task.await?
}
