//! Load generator for measurements: sends searches to one entry at a fixed rate.
//!
//! `cargo run --release -p local-deployment --example fixed-load -- ADDRESS INDEX RATE SECONDS`

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use eyre::ContextCompat;
use eyre::Result;
use http::Method;
use http::StatusCode;
use local_deployment::client::Client;
use serde_json::json;

/// Connections over which the searches are spread evenly.
const CONNECTIONS: u32 = 16;

async fn run_connection(
    address: SocketAddr,
    body: String,
    first: Duration,
    interval: Duration,
    count: u32,
) -> Result<Vec<Duration>> {
    let mut client = Client::connect(address).await?;
    // The connections start at staggered times, so that searches arrive evenly and not in bursts.
    let mut ticks = tokio::time::interval_at(tokio::time::Instant::now() + first, interval);
    let mut latencies = Vec::new();
    for _ in 0..count {
        ticks.tick().await;
        let start = Instant::now();
        let answer = client.send(Method::POST, "/v1/search", body.clone()).await?;
        if answer.status == StatusCode::OK {
            latencies.push(start.elapsed());
        }
    }
    Ok(latencies)
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let mut args = std::env::args().skip(1);
    let mut next_arg = || args.next().context("usage: fixed-load ADDRESS INDEX RATE SECONDS");
    let address: SocketAddr = next_arg()?.parse()?;
    let index = next_arg()?;
    let rate: u32 = next_arg()?.parse()?;
    let seconds: u32 = next_arg()?.parse()?;
    let body = json!({"index": index, "query": "gym", "limit": 10, "min_coverage": 0.0}).to_string();
    let interval = Duration::from_secs(1) * CONNECTIONS / rate;
    let count = rate * seconds / CONNECTIONS;
    let tasks: Vec<_> = (0..CONNECTIONS)
        .map(|nth| {
            let first = interval * nth / CONNECTIONS;
            tokio::spawn(run_connection(address, body.clone(), first, interval, count))
        })
        .collect();
    let mut latencies = Vec::new();
    for task in tasks {
        latencies.extend(task.await??);
    }
    latencies.sort_unstable();
    let percentile_ms = |quantile: f64| {
        let ix = (latencies.len() as f64 * quantile) as usize;
        latencies.get(ix).copied().unwrap_or_default().as_secs_f64() * 1e3
    };
    println!(
        "asked={} ok={} p50_ms={:.1} p99_ms={:.1}",
        count * CONNECTIONS,
        latencies.len(),
        percentile_ms(0.5),
        percentile_ms(0.99)
    );
    Ok(())
}
