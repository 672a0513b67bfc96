//! Tests that planned stops drop no request, and that leaving servers get no new work.

use eyre::Result;
use http::Method;
use http::StatusCode;
use local_deployment::client::Client;
use pimentoflow::process::drain::Outcome;

use crate::support::Callers;
use crate::support::assert_all_answered;
use crate::support::get;
use crate::support::search_body;
use crate::support::start_with_two_leaves;

/// Guards against a stop of an entry that drops a request: one in flight, one on an idle connection, or one on a
/// connection that is opened during the stop.
#[tokio::test(flavor = "multi_thread")]
async fn stopping_entry_drops_no_request() -> Result<()> {
    let mut deployment = start_with_two_leaves().await?;
    let address = deployment.caller_address(0)?;
    let (_, stopping) = deployment.entries.shift_remove_index(0).expect("there are entries");
    let admin = stopping.running.admin;
    let mut idle = Client::connect(address).await?;
    idle.send(Method::POST, "/v1/search", search_body().to_string()).await?;
    let callers = Callers::start(4, &stopping);
    callers.wait_for_answers(20).await;
    let stop = tokio::spawn(stopping.running.stop());
    while get(admin, "/ready")
        .await
        .is_ok_and(|answer| answer.status == StatusCode::OK)
    {
        tokio::task::yield_now().await;
    }
    let mut late = Client::connect(address).await?;
    let answer = late.send(Method::POST, "/v1/search", search_body().to_string()).await?;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.headers["connection"], "close");
    assert_eq!(stop.await?, Outcome::Clean);
    assert_all_answered(&callers.finish().await?, &deployment);
    Ok(())
}

/// Guards against a stop of a leaf that loses work, or after which entries still send to the leaf until they time out.
#[tokio::test(flavor = "multi_thread")]
async fn stopping_leaf_loses_no_answer() -> Result<()> {
    let mut deployment = start_with_two_leaves().await?;
    let callers = Callers::start(4, &deployment.entries[0]);
    callers.wait_for_answers(20).await;
    let (_, stopping) = deployment.leaves.shift_remove_index(0).expect("there are leaves");
    assert_eq!(stopping.running.stop().await, Outcome::Clean);
    callers.wait_for_answers(50).await;
    assert_all_answered(&callers.finish().await?, &deployment);
    Ok(())
}

/// Guards against new work for a backend server after all processes know that it is leaving. The server counts the
/// requests.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_server_gets_no_new_work() -> Result<()> {
    let deployment = start_with_two_leaves().await?;
    let callers = Callers::start(4, &deployment.entries[0]);
    callers.wait_for_answers(20).await;
    let leaving = &deployment.searchers["gala-s01-a"];
    leaving.set_faults(|faults| faults.draining = true);
    let start = std::time::Instant::now();
    for member in deployment.leaves.values().chain(deployment.entries.values()) {
        let mut views = member.running.node.watch_view();
        views.wait_for(|view| view.is_leaving("gala-s01-a")).await?;
    }
    // Every process knows that the server is leaving, and the server has refused the work sent before. Any further
    // request is a fault.
    callers.wait_for_answers(20).await;
    let received = leaving.counters().received;
    callers.wait_for_answers(100).await;
    assert_eq!(
        leaving.counters().received,
        received,
        "new work {:?} after the server started to drain",
        start.elapsed()
    );
    assert_all_answered(&callers.finish().await?, &deployment);
    Ok(())
}
