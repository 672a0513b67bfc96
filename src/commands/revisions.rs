//! `pimento-check revisions ADDRESS...`: prints the revision in effect on each process.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eyre::Report;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::CommandResult;
use super::Failure;
use super::Outcome;
use super::Output;
use super::print;

/// Time after which a process that has not answered is reported as unreachable.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of the metrics of a process, in bytes.
const MAX_METRICS_BYTES: usize = 16 * 1024 * 1024;

/// Start of the line of the metric that holds the revision in effect.
const REVISION_METRIC: &str = "pimento_revision ";

/// Options of `pimento-check revisions`.
#[derive(Debug, Clone)]
pub struct Options {
    /// Addresses of the admin interfaces.
    pub addresses: Vec<SocketAddr>,
}

/// Prints the revision in effect on each process.
///
/// A process is a finding if it is unreachable, has no revision, or has a lower revision than another process.
///
/// # Errors
///
/// Returns an error if no address is given, the runtime cannot be started, or the output cannot be written.
pub fn run(options: &Options, out: Output<'_>) -> CommandResult {
    if options.addresses.is_empty() {
        let report = Report::msg("no address given");
        return Err(Failure::new(
            report,
            "pass the admin addresses (`listen.admin`) of the processes",
        ));
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| Failure::new(Report::new(error), "check the limit on open files"))?;
    let revisions = runtime.block_on(read_revisions(&options.addresses));
    let greatest = revisions.iter().flatten().max().copied();
    let mut outcome = Outcome::Clean;
    for (address, revision) in options.addresses.iter().zip(&revisions) {
        let line = match revision {
            None => format!("{address} unreachable"),
            Some(0) => format!("{address} none"),
            Some(revision) if Some(*revision) == greatest => format!("{address} {revision}"),
            Some(revision) => format!("{address} {revision} behind"),
        };
        if *revision != greatest || revision.is_none_or(|revision| revision == 0) {
            outcome = Outcome::Findings;
        }
        print(out, &line)?;
    }
    Ok(outcome)
}

async fn read_revisions(addresses: &[SocketAddr]) -> Vec<Option<u64>> {
    let reads = addresses.iter().map(|&address| async move {
        let read = tokio::time::timeout(ANSWER_TIMEOUT, fetch_metrics(address)).await;
        parse_revision(&read.ok()??)
    });
    futures_util::future::join_all(reads).await
}

async fn fetch_metrics(address: SocketAddr) -> Option<Bytes> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        // A connection error also fails the request below.
        let _reported_elsewhere = connection.await;
    });
    let request = Request::get("/metrics")
        .header(http::header::HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .ok()?;
    let response = sender.send_request(request).await.ok()?;
    let body = Limited::new(response.into_body(), MAX_METRICS_BYTES).collect().await;
    Some(body.ok()?.to_bytes())
}

fn parse_revision(metrics: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(metrics).ok()?;
    let value = text.lines().find_map(|line| line.strip_prefix(REVISION_METRIC))?;
    value.trim().parse().ok()
}
