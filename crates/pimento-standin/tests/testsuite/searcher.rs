//! Tests of the backend server: limits, cancellation, snapshots, faults and the record.

use std::time::Duration;

use pimento_standin::searcher::KeyRange;
use pimento_standin::searcher::Searcher;
use pimento_standin::searcher::Settings;
use pimento_standin::searcher::hits::hits;
use pimento_standin::searcher::record::RequestKind;
use pimento_standin::searcher_list;

use crate::client::Client;
use crate::client::any;
use crate::client::request;

/// Service time longer than any test runs.
const LONGER_THAN_TEST: Duration = Duration::from_secs(600);

fn settings() -> Settings {
    let mut settings = Settings::new("a1", "s1", KeyRange::ALL);
    settings.connect_cost = Duration::from_millis(1);
    settings
}

async fn start(settings: Settings) -> Searcher {
    Searcher::start(any(), settings).await.expect("a free port exists")
}

/// Guards against a stand-in that accepts more connections than its cap, which would hide that the tier exceeds it.
#[tokio::test]
async fn connection_above_cap_is_closed() {
    let mut settings = settings();
    settings.connections = 2;
    let searcher = start(settings).await;
    let mut first = Client::connect(searcher.address()).await;
    let _second = Client::connect(searcher.address()).await;
    searcher.wait_for(|counters| counters.open == 2).await;
    let mut third = Client::connect(searcher.address()).await;
    assert!(third.search("r1", 1).await.is_err());
    assert!(first.search("r2", 1).await.is_ok());
    let counters = searcher.counters();
    assert_eq!((counters.most_open, counters.accepted, counters.over_cap), (2, 2, 1));
    drop(first);
    searcher.wait_for(|counters| counters.open == 1).await;
    let mut fourth = Client::connect(searcher.address()).await;
    assert!(fourth.search("r3", 1).await.is_ok());
}

/// Guards against a stand-in that runs more requests than it has slots, or starts a request that it refuses.
#[tokio::test]
async fn slots_and_queue_are_bounded() {
    let mut settings = settings();
    settings.slots = 1;
    settings.queue = 1;
    settings.service_time = LONGER_THAN_TEST;
    let searcher = start(settings).await;
    let address = searcher.address();
    for (id, running, waiting) in [("r1", 1, 0), ("r2", 1, 1)] {
        let mut client = Client::connect(address).await;
        tokio::spawn(async move { client.search(id, 1).await.map(drop) });
        searcher
            .wait_for(|counters| counters.running == running && counters.waiting == waiting)
            .await;
    }
    let refused = Client::connect(address).await.search("r3", 1).await.expect("an answer");
    assert_eq!(refused.status, 503);
    assert_eq!(refused.header("x-not-started"), Some("true"));
    assert_eq!(refused.header("retry-after-ms"), Some("50"));
    assert_eq!(searcher.counters().most_running, 1);
    let started: Vec<_> = searcher.started().into_iter().map(|entry| entry.request).collect();
    assert_eq!(started, ["r1".into()]);
}

/// Guards against a cancellation that closes the connection of the cancelled request, or that reports wrongly whether
/// the request had started.
#[tokio::test]
async fn cancellation_keeps_connection() {
    let mut settings = settings();
    settings.slots = 1;
    settings.service_time = LONGER_THAN_TEST;
    let searcher = start(settings).await;
    let mut tasks = Vec::new();
    for (id, running, waiting) in [("r1", 1, 0), ("r2", 1, 1)] {
        let mut client = Client::connect(searcher.address()).await;
        tasks.push(tokio::spawn(async move {
            let answer = client.submit(id).await.expect("an answer");
            (client, answer)
        }));
        searcher
            .wait_for(|counters| counters.running == running && counters.waiting == waiting)
            .await;
    }
    let mut canceller = Client::connect(searcher.address()).await;
    for id in ["r2", "r1", "unknown"] {
        let path = format!("/v1/requests/{id}");
        let answer = canceller.send(request("DELETE", &path, "")).await.expect("an answer");
        assert_eq!(answer.status, 204);
    }
    searcher.set_faults(|faults| faults.service_ms = Some(0));
    for (task, unstarted) in tasks.into_iter().zip(["false", "true"]) {
        let (mut client, answer) = task.await.expect("the task ends");
        assert_eq!(answer.status, 499);
        assert_eq!(answer.header("x-not-started"), Some(unstarted));
        assert_eq!(client.submit("again").await.expect("the connection works").status, 200);
    }
    assert_eq!(searcher.counters().accepted, 3);
}

/// Guards against responses that do not list the snapshots held, and against responses from a dropped snapshot.
#[tokio::test]
async fn responses_name_held_snapshots() {
    let searcher = start(settings()).await;
    let mut client = Client::connect(searcher.address()).await;
    searcher.set_snapshots(&[41, 40]);
    let answer = client.search("r1", 41).await.expect("an answer");
    assert_eq!(answer.header("x-held-snapshots"), Some("40,41"));
    assert_eq!(answer.json()["snapshot"], 41);
    searcher.freeze_report();
    searcher.set_snapshots(&[42]);
    let refused = client.search("r2", 41).await.expect("an answer");
    assert_eq!(refused.status, 409);
    assert_eq!(refused.header("x-held-snapshots"), Some("42"));
    assert_eq!(refused.header("x-not-started"), Some("true"));
    let state = client.get("/v1/state").await.expect("an answer").json();
    assert_eq!(state["snapshots"], serde_json::json!([40, 41]));
    assert_eq!(searcher.started().len(), 1);
}

/// Guards against a split that changes the documents of a shard, which would look like documents lost by the tier.
#[tokio::test]
async fn split_keeps_documents() {
    let all = hits("s1", KeyRange::ALL, 7, "gym", usize::MAX);
    let at = all[0].key + 1;
    let low = KeyRange { start: 0, end: at };
    let high = KeyRange {
        start: at,
        ..KeyRange::ALL
    };
    let mut parts = hits("s1", low, 7, "gym", usize::MAX);
    parts.extend(hits("s1", high, 7, "gym", usize::MAX));
    parts.sort_by(|a, b| b.score.total_cmp(&a.score));
    assert!(all.len() > 500);
    assert_eq!(all, parts);
    assert_ne!(all, hits("s1", KeyRange::ALL, 8, "gym", usize::MAX));
    let searcher = start(settings()).await;
    searcher.set_range(low);
    let mut client = Client::connect(searcher.address()).await;
    let answer = client.search("r1", 1).await.expect("an answer").json();
    assert_eq!((&answer["start"], &answer["end"]), (&0.into(), &at.into()));
}

/// Guards against a record that lacks a submission whose connection closed while it ran, and against a server that does
/// not serve again after a restart.
#[tokio::test]
async fn submission_survives_its_connection() {
    let mut settings = settings();
    settings.service_time = LONGER_THAN_TEST;
    let searcher = start(settings).await;
    let mut client = Client::connect(searcher.address()).await;
    let task = tokio::spawn(async move { client.submit("r1").await.map(drop) });
    searcher.wait_for(|counters| counters.running == 1).await;
    task.abort();
    searcher.wait_for(|counters| counters.open == 0).await;
    assert_eq!(searcher.counters().running, 1);
    let started = searcher.started();
    assert_eq!((started[0].kind, started[0].key), (RequestKind::Submit, Some(17)));
    assert_eq!(&*started[0].body, "entry");
    searcher.kill();
    searcher.wait_for(|counters| counters.running == 0).await;
    searcher.restart().await.expect("the port is free");
    searcher.set_faults(|faults| faults.service_ms = Some(0));
    let mut client = Client::connect(searcher.address()).await;
    assert_eq!(client.submit("r2").await.expect("an answer").status, 200);
}

/// Guards against fault switches that have no effect when they are set over the control interface.
#[tokio::test]
async fn control_sets_faults() {
    let searcher = start(settings()).await;
    let mut client = Client::connect(searcher.address()).await;
    let change = r#"{"faults": {"draining": true}}"#;
    let changed = client.send(request("POST", "/control/change", change)).await;
    assert_eq!(changed.expect("an answer").status, 204);
    let refused = client.search("r1", 1).await.expect("an answer");
    assert_eq!(refused.status, 503);
    assert_eq!(refused.header("x-draining"), Some("true"));
    let counters = client.get("/control/counters").await.expect("an answer").json();
    assert_eq!(counters["refused"], 1);
}

/// Guards against refusals that report wrongly whether the request started, and against a cold server that starts work.
#[tokio::test]
async fn late_and_cold_requests_do_not_start() {
    let searcher = start(settings()).await;
    let mut client = Client::connect(searcher.address()).await;
    searcher.cold_start(LONGER_THAN_TEST);
    let cold = client.search("r1", 1).await.expect("an answer");
    assert_eq!(
        (cold.status.as_u16(), cold.header("x-not-started")),
        (503, Some("true"))
    );
    searcher.cold_start(Duration::ZERO);
    searcher.set_faults(|faults| faults.shed_share = 1.0);
    assert_eq!(client.search("r2", 1).await.expect("an answer").status, 503);
    searcher.set_faults(|faults| faults.shed_share = 0.0);
    let late = client.search_within("r3", 1, 0).await.expect("an answer");
    assert_eq!(
        (late.status.as_u16(), late.header("x-not-started")),
        (504, Some("true"))
    );
    assert!(searcher.started().is_empty());
    searcher.set_faults(|faults| faults.service_ms = Some(600_000));
    let slow = client.search_within("r4", 1, 1).await.expect("an answer");
    assert_eq!(
        (slow.status.as_u16(), slow.header("x-not-started")),
        (504, Some("false"))
    );
    let counters = searcher.counters();
    assert_eq!((counters.refused, counters.expired, counters.started), (2, 2, 1));
}

/// Guards against a frozen server that starts or loses requests, and against lost responses whose request is not in the
/// record.
#[tokio::test]
async fn frozen_server_starts_nothing_and_lost_responses_are_recorded() {
    let searcher = start(settings()).await;
    searcher.set_faults(|faults| faults.frozen = true);
    let mut client = Client::connect(searcher.address()).await;
    let task = tokio::spawn(async move { client.submit("r1").await.map(|answer| answer.status) });
    searcher
        .wait_for(|counters| counters.held + counters.started as u32 > 0)
        .await;
    assert!(searcher.started().is_empty());
    searcher.set_faults(|faults| {
        faults.frozen = false;
        faults.drop_after = 1.0;
    });
    assert!(task.await.expect("the task ends").is_err(), "the response is lost");
    assert_eq!(searcher.started().len(), 1);
    searcher.set_faults(|faults| faults.drop_before = 1.0);
    let mut client = Client::connect(searcher.address()).await;
    assert!(client.submit("r2").await.is_err());
    assert_eq!(searcher.started().len(), 1);
}

/// Returns which of 20 requests are stragglers. These exceed their remaining time of 400 ms; the others take 1 ms.
async fn stragglers(seed: u64) -> Vec<bool> {
    let mut settings = settings();
    settings.seed = seed;
    settings.slots = 20;
    settings.service_time = Duration::from_millis(1);
    let searcher = start(settings).await;
    searcher.set_faults(|faults| {
        faults.straggler_share = 0.3;
        faults.straggler_factor = 600_000;
    });
    let mut tasks = Vec::new();
    for number in 0..20 {
        let mut client = Client::connect(searcher.address()).await;
        tasks.push(tokio::spawn(async move {
            let answer = client.search_within(&format!("r{number}"), 1, 400).await;
            answer.expect("an answer").status == 504
        }));
    }
    let mut slow = Vec::new();
    for task in tasks {
        slow.push(task.await.expect("the task ends"));
    }
    slow
}

/// Guards against stragglers that differ between two runs with the same seed.
#[tokio::test]
async fn stragglers_follow_the_seed() {
    let (first, again, other) = tokio::join!(stragglers(1), stragglers(1), stragglers(2));
    assert_eq!(first, again);
    assert_ne!(first, other);
    assert!(first.contains(&true) && first.contains(&false));
}

/// Guards against a list file that is parsed differently from its documented format.
#[test]
fn list_lines_parse() {
    let text = "# name address shard range slots connections cost\n\na1 127.0.0.1:7301 s1 0-2147483648 3 30 6\n";
    let lines = searcher_list::parse(text).expect("the list is well formed");
    let [line] = lines.as_slice() else {
        panic!("expected one searcher");
    };
    assert_eq!(line.address.port(), 7301);
    let settings = &line.settings;
    assert_eq!(
        (&*settings.name, &*settings.corpus, settings.range.end),
        ("a1", "s1", 1 << 31)
    );
    assert_eq!(
        (settings.slots, settings.connections, settings.connect_cost.as_millis()),
        (3, 30, 6)
    );
    let error = searcher_list::parse("a1 127.0.0.1:7301 s1 0-9 3 30").expect_err("a field is missing");
    assert_eq!(error.to_string(), "line 1 of the list");
}
