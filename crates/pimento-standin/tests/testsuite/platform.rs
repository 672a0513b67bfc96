//! Tests of the platform: watches, faults, data centres and the list of instances.

use pimento_standin::platform::Instance;
use pimento_standin::platform::InstanceState;
use pimento_standin::platform::Platform;
use pimento_standin::platform::Role;

use crate::client::Client;
use crate::client::any;

async fn start() -> Platform {
    Platform::start(any()).await.expect("a free port exists")
}

/// Guards against a watch that misses a publication or returns before there is one.
#[tokio::test]
async fn watch_returns_next_version() {
    let platform = start().await;
    let mut client = Client::connect(platform.address()).await;
    let unknown = client.get("/v1/values/root").await.expect("an answer");
    assert_eq!(unknown.status, 404);
    let version = platform.publish("root", "one");
    let read = client.get("/v1/values/root").await.expect("an answer");
    assert_eq!(read.body, "one");
    assert_eq!(read.header("x-version"), Some(version.to_string().as_str()));
    let path = format!("/v1/values/root?after={version}&wait_ms=60000");
    let watch = tokio::spawn(async move { client.get(&path).await });
    platform.wait_for(|calls| calls.waiting == 1).await;
    platform.publish("part-00", "other");
    platform.publish("root", "two");
    let seen = watch.await.expect("the task ends").expect("an answer");
    assert_eq!(seen.body, "two");
    let calls = platform.calls();
    assert_eq!((calls.total, calls.reads, calls.watches), (3, 2, 1));
}

/// Guards against a watch that does not end at its time limit, and against fault switches without effect.
#[tokio::test]
async fn faults_hide_values_and_refuse_calls() {
    let platform = start().await;
    let mut client = Client::connect(platform.address()).await;
    let version = platform.publish("root", "one");
    platform.set_faults(|faults| faults.stale = true);
    platform.publish("root", "two");
    let path = format!("/v1/values/root?after={version}&wait_ms=1");
    assert_eq!(client.get(&path).await.expect("an answer").status, 304);
    platform.set_faults(|faults| faults.stale = false);
    assert_eq!(client.get(&path).await.expect("an answer").body, "two");
    platform.set_faults(|faults| faults.down = true);
    assert_eq!(client.get(&path).await.expect("an answer").status, 503);
    platform.set_faults(|faults| {
        faults.down = false;
        faults.limit = Some(0);
    });
    assert_eq!(client.get(&path).await.expect("an answer").status, 429);
}

/// Guards against a data centre that can still read while it is cut off, and against a cut that affects another one.
#[tokio::test]
async fn cut_off_affects_one_centre() {
    let platform = start().await;
    platform.publish("root", "one");
    let address_a = platform
        .listen_for_centre("dc-a", any())
        .await
        .expect("a free port exists");
    let address_b = platform
        .listen_for_centre("dc-b", any())
        .await
        .expect("a free port exists");
    let mut client_a = Client::connect(address_a).await;
    let mut client_b = Client::connect(address_b).await;
    assert!(client_a.get("/v1/values/root").await.is_ok());
    platform.cut_off("dc-a");
    let watch = client_a.get("/v1/values/root?after=99&wait_ms=60000").await;
    assert!(watch.is_err());
    assert!(Client::connect(address_a).await.get("/v1/values/root").await.is_err());
    assert!(client_b.get("/v1/values/root").await.is_ok());
    platform.reconnect("dc-a");
    let mut retries = 0;
    while Client::connect(address_a).await.get("/v1/values/root").await.is_err() {
        retries += 1;
        assert!(retries < 1000, "the data centre stays cut off");
    }
}

/// Guards against a list of instances whose format differs from `docs/protocols.md`.
#[tokio::test]
async fn instances_have_protocol_form() {
    let platform = start().await;
    let instance = Instance {
        id: "e1".into(),
        role: Role::Leaf,
        data_centre: "dc-a".into(),
        address: "127.0.0.1:7101".parse().expect("the constant is an address"),
        state: InstanceState::Live,
    };
    platform.set_instances(&[instance]);
    let mut client = Client::connect(platform.address()).await;
    let list = client.get("/v1/instances").await.expect("an answer").json();
    let expected = serde_json::json!({"instances": [{"id": "e1", "role": "leaf", "data_centre": "dc-a",
        "address": "127.0.0.1:7101", "state": "live"}]});
    assert_eq!(list, expected);
}
