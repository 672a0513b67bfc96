//! Runs deployments with injected faults and checks that their histories have no violations.

use std::path::PathBuf;

use eyre::Result;
use history_check::check::check;
use history_check::driver;
use history_check::driver::Options;
use history_check::finding::Finding;
use history_check::history::History;
use history_check::history::Outcome;
use history_check::history::Request;
use indexmap::IndexMap;
use pimentoflow::error::ErrorKind;

/// Runs a schedule and checks that its history has no findings and includes every outcome that the rules cover.
async fn run(seed: u64) -> Result<()> {
    let document = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../samples/demo");
    let options = Options::new(document, seed);
    let history = driver::run(&options).await?;
    let findings = check(&history);
    let counts = count_outcomes(&history);
    println!("seed {seed}: {} pauses, {counts:?}", history.pauses.len());
    for kind in ["complete", "partial", "executed", "not run", "outcome unknown"] {
        assert!(counts.contains_key(kind), "seed {seed}: no operation ended as {kind}");
    }
    for operation in &history.operations {
        if let Outcome::Refused(400, error) = &operation.outcome {
            println!("refused: {} {} {:?}", operation.entry, error.message, operation.request);
        }
    }
    print_trace(&history, &findings);
    assert!(
        findings.is_empty(),
        "seed {seed}: {} findings, see the trace",
        findings.len()
    );
    Ok(())
}

/// Counts the operations by outcome.
fn count_outcomes(history: &History) -> IndexMap<String, usize> {
    let mut counts = IndexMap::new();
    for operation in &history.operations {
        let name = match (&operation.outcome, &operation.request) {
            (Outcome::Found(_, answer), _) if answer.complete => "complete".to_owned(),
            (Outcome::Found(..), _) => "partial".to_owned(),
            (Outcome::Executed(_), _) => "executed".to_owned(),
            (Outcome::Refused(428, _), _) => "ticket".to_owned(),
            (Outcome::Refused(_, error), Request::Search { .. }) => format!("search {:?}", error.kind),
            (Outcome::Refused(_, error), _) if error.kind == ErrorKind::NotRun => "not run".to_owned(),
            (Outcome::Refused(_, error), _) if error.kind == ErrorKind::OutcomeUnknown => "outcome unknown".to_owned(),
            (Outcome::Refused(_, error), _) => format!("submission {:?}", error.kind),
            (Outcome::Cut(_), _) => "cut".to_owned(),
        };
        *counts.entry(name).or_default() += 1;
    }
    counts.sort_unstable_keys();
    counts
}

/// Prints the events, and each finding with the operation that it names.
fn print_trace(history: &History, findings: &[Finding]) {
    if findings.is_empty() {
        return;
    }
    for event in &history.events {
        println!("{:?} {:?}", event.at, event.kind);
    }
    for finding in findings {
        println!("{finding}");
        let text = finding.to_string();
        let request = text.split(':').next().unwrap_or_default();
        let mut operations = history.operations.iter();
        if let Some(operation) = operations.find(|operation| &*operation.request_id == request) {
            println!("{operation:?}");
        }
    }
}

/// Guards against violations of the invariants when faults overlap in the order of seed 1.
#[tokio::test(flavor = "multi_thread")]
async fn seed_1() -> Result<()> {
    run(1).await
}

/// Guards against violations of the invariants when faults overlap in the order of seed 3.
#[tokio::test(flavor = "multi_thread")]
async fn seed_3() -> Result<()> {
    run(3).await
}

/// Guards against violations of the invariants when faults overlap in the order of seed 6.
#[tokio::test(flavor = "multi_thread")]
async fn seed_6() -> Result<()> {
    run(6).await
}

/// Guards against violations of the invariants when faults overlap in the order of seed 7.
#[tokio::test(flavor = "multi_thread")]
async fn seed_7() -> Result<()> {
    run(7).await
}
