//! Tests that submissions run at most once and that `not_run` is never reported for one that ran, according to the
//! records of the backend servers.

use eyre::Result;
use http::StatusCode;
use local_deployment::client;
use local_deployment::client::Answer;
use local_deployment::deployment::Deployment;
use local_deployment::deployment::Options;
use pimento_standin::searcher::record::RequestKind;
use pimentoflow::error::ErrorKind;
use pimentoflow::process::entry::api::ErrorBody;
use pimentoflow::process::entry::api::SubmitAnswer;
use serde_json::Value;
use serde_json::json;

use crate::support::sample;
use crate::support::start_with_two_leaves;

const KEY: u64 = 7;

/// Searcher that runs the submissions with [`KEY`] in the demo document.
const DESIGNATED_SEARCHER: &str = "gala-s01-a";

async fn submit(deployment: &Deployment, entry: usize, ticket: Option<&str>) -> Result<Answer> {
    submit_key(deployment, entry, KEY, ticket).await
}

async fn submit_key(deployment: &Deployment, entry: usize, key: u64, ticket: Option<&str>) -> Result<Answer> {
    let mut body = json!({"service": "gala", "key": key, "body": "entry 7", "deadline_ms": 5000});
    if let Some(ticket) = ticket {
        body["ticket"] = Value::from(ticket);
    }
    client::post(deployment.caller_address(entry)?, "/v1/submit", &body).await
}

async fn request_ticket(deployment: &Deployment, entry: usize) -> Result<Box<str>> {
    request_ticket_for(deployment, entry, KEY).await
}

async fn request_ticket_for(deployment: &Deployment, entry: usize, key: u64) -> Result<Box<str>> {
    loop {
        let answer = submit_key(deployment, entry, key, None).await?;
        let error: ErrorBody = answer.json()?;
        assert_eq!(error.kind, ErrorKind::NotRun);
        if let Some(ticket) = error.ticket {
            assert_eq!(answer.status, StatusCode::PRECONDITION_REQUIRED);
            return Ok(ticket);
        }
        // A leaf that issues no ticket returns a retry-after time, and the caller repeats the request.
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(error.retry_after_ms.is_some());
    }
}

/// Returns the number of submissions that the backend servers started.
fn count_started(deployment: &Deployment) -> usize {
    let started = deployment
        .searchers
        .values()
        .flat_map(pimento_standin::searcher::Searcher::started);
    started.filter(|started| started.kind == RequestKind::Submit).count()
}

/// Guards against a request that runs without a ticket, a ticket that runs twice through different entries, and a
/// repeated request that does not get the first outcome.
#[tokio::test(flavor = "multi_thread")]
async fn ticket_runs_once_through_any_entry() -> Result<()> {
    let deployment = start_with_two_leaves().await?;
    let ticket = request_ticket(&deployment, 0).await?;
    assert_eq!(count_started(&deployment), 0, "a request without a ticket ran");
    let first: SubmitAnswer = submit(&deployment, 0, Some(&ticket)).await?.json()?;
    assert!(!first.replayed);
    for entry in 0..deployment.entries.len() {
        let repeated: SubmitAnswer = submit(&deployment, entry, Some(&ticket)).await?.json()?;
        assert!(repeated.replayed);
        assert_eq!(repeated.body, first.body);
    }
    assert_eq!(count_started(&deployment), 1);
    Ok(())
}

/// Guards against concurrent requests with the same ticket through several entries that run more than once.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_copies_of_a_ticket_run_once() -> Result<()> {
    let deployment = start_with_two_leaves().await?;
    let ticket = request_ticket(&deployment, 0).await?;
    let copies = (0..6).map(|copy| submit(&deployment, copy % 3, Some(&ticket)));
    let answers = futures_util::future::join_all(copies).await;
    for answer in answers {
        let answer: SubmitAnswer = answer?.json()?;
        assert_eq!(&*answer.outcome, "executed");
    }
    assert_eq!(count_started(&deployment), 1);
    Ok(())
}

/// Guards against `not_run` for a request that the server ran but whose response was lost.
#[tokio::test(flavor = "multi_thread")]
async fn lost_response_is_an_unknown_outcome() -> Result<()> {
    let deployment = start_with_two_leaves().await?;
    let ticket = request_ticket(&deployment, 0).await?;
    deployment.searchers[DESIGNATED_SEARCHER].set_faults(|faults| faults.drop_after = 1.0);
    for entry in 0..2 {
        let answer = submit(&deployment, entry, Some(&ticket)).await?;
        assert_eq!(answer.json::<ErrorBody>()?.kind, ErrorKind::OutcomeUnknown);
    }
    assert_eq!(count_started(&deployment), 1);
    Ok(())
}

/// Guards against an unknown outcome, or a second attempt, when the server reports that it did not start the request.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_by_the_server_is_not_run() -> Result<()> {
    let deployment = start_with_two_leaves().await?;
    let ticket = request_ticket(&deployment, 0).await?;
    deployment.searchers[DESIGNATED_SEARCHER].set_faults(|faults| faults.shed_share = 1.0);
    let answer = submit(&deployment, 0, Some(&ticket)).await?;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let error: ErrorBody = answer.json()?;
    assert_eq!(error.kind, ErrorKind::NotRun);
    assert!(error.retry_after_ms.is_some());
    deployment.searchers[DESIGNATED_SEARCHER].set_faults(|faults| faults.shed_share = 0.0);
    let repeated = submit(&deployment, 1, Some(&ticket)).await?;
    assert_eq!(
        repeated.json::<ErrorBody>()?.kind,
        ErrorKind::NotRun,
        "a ticket with the final outcome not_run ran later"
    );
    assert_eq!(count_started(&deployment), 0);
    Ok(())
}

/// Guards against a ticket of a killed leaf that another leaf runs, and against `not_run` without proof.
#[tokio::test(flavor = "multi_thread")]
async fn ticket_of_a_killed_leaf_is_an_unknown_outcome() -> Result<()> {
    let mut deployment = start_with_two_leaves().await?;
    let ticket = request_ticket(&deployment, 0).await?;
    let issuer = pimentoflow::request::ticket::decode(&ticket)
        .expect("the ticket is well formed")
        .instance;
    let member = deployment
        .leaves
        .shift_remove(issuer.as_str())
        .expect("the ticket names a leaf");
    member.running.kill().await;
    let answer = submit(&deployment, 0, Some(&ticket)).await?;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert_eq!(answer.json::<ErrorBody>()?.kind, ErrorKind::OutcomeUnknown);
    assert_eq!(count_started(&deployment), 0);
    Ok(())
}

/// Guards against malformed submissions that run, or that get an error without the invalid field.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_submissions_get_a_clear_error() -> Result<()> {
    let deployment = Deployment::start(Options::new(sample("demo"))).await?;
    let cases = [
        (json!({"service": "nowhere", "key": 1, "body": "x"}), "nowhere"),
        (json!({"service": "gala", "key": 1_u64 << 32, "body": "x"}), "key"),
        (json!({"service": "gala", "body": "x"}), "key"),
        (
            json!({"service": "gala", "key": 1, "body": "x", "ticket": "nonsense"}),
            "ticket",
        ),
        (
            json!({"service": "gala", "key": 1, "body": "x", "deadline_ms": 0}),
            "deadline_ms",
        ),
    ];
    for (body, expected) in cases {
        let answer = client::post(deployment.caller_address(0)?, "/v1/submit", &body).await?;
        assert_eq!(answer.status, StatusCode::BAD_REQUEST, "{body}");
        let error: ErrorBody = answer.json()?;
        assert_eq!(error.kind, ErrorKind::BadRequest);
        assert!(
            error.message.contains(expected),
            "`{}` does not name `{expected}`",
            error.message
        );
    }
    assert_eq!(count_started(&deployment), 0);
    Ok(())
}

/// Guards against two faults after a split moves a key to another searcher. A repeated request must not be refused as
/// malformed, because the caller could then submit it a second time. An unused ticket must not run at the old searcher.
#[tokio::test(flavor = "multi_thread")]
async fn split_keeps_the_outcome_of_a_ticket() -> Result<()> {
    let mut deployment = start_with_two_leaves().await?;
    let key = 700_000_000;
    let used = request_ticket_for(&deployment, 0, key).await?;
    let unused = request_ticket_for(&deployment, 0, key).await?;
    let first: SubmitAnswer = submit_key(&deployment, 0, key, Some(&used)).await?.json()?;
    deployment.document = deployment.document.edit(2, |text| {
        let lower = text.replace("range: {start: 0, end: 715827882}", "range: {start: 0, end: 357913941}");
        let header = "      - name: gala-s01y\n        range: {start: 357913941, end: 715827882}\n        replicas:\n";
        let replica = "          - searcher: gala-s01-c\n";
        lower.replace(replica, &format!("{header}{replica}"))
    })?;
    deployment.publish();
    for member in deployment.leaves.values().chain(deployment.entries.values()) {
        let mut versions = member.running.node.watch_config();
        let split = versions.wait_for(|version| version.as_ref().is_some_and(|version| version.tables.revision == 2));
        split.await?;
    }
    for entry in 0..deployment.entries.len() {
        let repeated: SubmitAnswer = submit_key(&deployment, entry, key, Some(&used)).await?.json()?;
        assert!(repeated.replayed);
        assert_eq!(repeated.body, first.body);
    }
    let refused = submit_key(&deployment, 0, key, Some(&unused)).await?;
    assert_eq!(refused.json::<ErrorBody>()?.kind, ErrorKind::NotRun);
    assert_eq!(count_started(&deployment), 1);
    Ok(())
}

/// Guards against `not_run` from an entry without configuration for a ticket that ran through another entry.
#[tokio::test(flavor = "multi_thread")]
async fn entry_without_configuration_reports_an_unknown_outcome() -> Result<()> {
    let mut deployment = start_with_two_leaves().await?;
    let ticket = request_ticket(&deployment, 0).await?;
    let first: SubmitAnswer = submit(&deployment, 0, Some(&ticket)).await?.json()?;
    assert_eq!(&*first.outcome, "executed");
    deployment.platform.set_faults(|faults| faults.down = true);
    deployment.leaves.clear();
    let (_, unlisted) = deployment.start_unlisted_entry("dc-a").await?;
    let body = json!({"service": "gala", "key": KEY, "body": "entry 7", "ticket": ticket});
    let callers = unlisted.running.callers.expect("an entry serves callers");
    let answer = client::post(callers, "/v1/submit", &body).await?;
    assert_eq!(answer.json::<ErrorBody>()?.kind, ErrorKind::OutcomeUnknown);
    let body = json!({"service": "gala", "key": KEY, "body": "entry 7"});
    let answer = client::post(callers, "/v1/submit", &body).await?;
    assert_eq!(answer.json::<ErrorBody>()?.kind, ErrorKind::NotRun);
    Ok(())
}
