//! `docs/configuration.md` lists exactly the keys that the types have, with their limits and defaults.

use std::sync::Arc;

use indexmap::IndexMap;
use pimentoflow::process::document_files::DocumentFiles;
use pimentoflow::process::settings::Limits;
use pimentoflow::process::settings::LogLevel;
use pimentoflow::process::settings::Settings;
use pimentoflow::process::settings::check;
use pimentoflow::version::bundle::MAX_VALUE_BYTES;
use pimentoflow::version::document::SCHEMA_VERSION;
use pimentoflow::version::keys::KEY_SPACE;
use pimentoflow::version::validate;
use serde_json::Value;

use crate::samples::sample;

const PAGE: &str = include_str!("../../docs/configuration.md");

/// Keys whose fields the page describes under another key.
const REFERENCES: [&str; 1] = ["services[].policy"];

/// Returns the table rows of a section, by key.
fn rows(heading: &str) -> IndexMap<&'static str, &'static str> {
    let lines = PAGE.lines().skip_while(|line| *line != heading).skip(1);
    let section = lines.take_while(|line| !line.starts_with('#'));
    let keys = section.filter_map(|line| Some((line.strip_prefix("| `")?.split_once('`')?.0, line)));
    keys.collect()
}

/// Collects the paths of all scalar values. The items of a list share one path.
fn collect_paths(path: &str, value: &Value, keys: &mut Vec<String>) {
    match value {
        _ if REFERENCES.contains(&path) => keys.push(path.to_owned()),
        Value::Object(map) => {
            let prefix = if path.is_empty() {
                String::new()
            } else {
                format!("{path}.")
            };
            map.iter()
                .for_each(|(key, value)| collect_paths(&format!("{prefix}{key}"), value, keys));
        }
        Value::Array(list) => list
            .iter()
            .for_each(|value| collect_paths(&format!("{path}[]"), value, keys)),
        _ => keys.push(path.to_owned()),
    }
}

fn assert_keys(heading: &str, value: &Value) {
    let mut expected = Vec::new();
    collect_paths("", value, &mut expected);
    expected.sort();
    expected.dedup();
    let mut found: Vec<&str> = rows(heading).keys().copied().collect();
    found.sort_unstable();
    assert_eq!(found, expected, "{heading}");
}

/// Guards against adding, renaming or removing a key without updating the page.
#[test]
fn the_page_lists_every_key() {
    let files = DocumentFiles::load(&sample("demo")).expect("readable");
    let mut document = files.document().expect("valid");
    let part = Arc::make_mut(&mut document.parts[0]);
    part.services[0].policy = Some(part.policy.clone());
    assert_keys("### Root", &serde_json::to_value(&document.root).expect("JSON"));
    assert_keys("### Part", &serde_json::to_value(&*document.parts[0]).expect("JSON"));
    let settings = Settings::load(&sample("settings/entry.yaml")).expect("valid");
    assert_keys("## Settings", &serde_json::to_value(settings).expect("JSON"));
}

/// Guards against changing a default without updating the page.
#[test]
fn the_page_gives_the_defaults() {
    let rows = rows("## Settings");
    let limits = serde_json::to_value(Limits::default()).expect("JSON");
    let Value::Object(limits) = limits else {
        panic!("limits are a map");
    };
    for (key, value) in limits {
        let text = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
        let row = rows[format!("limits.{key}").as_str()];
        assert!(row.contains(&format!("| `{text}` |")), "{row}: {text}");
    }
    let level = serde_json::to_value(LogLevel::default()).expect("JSON");
    let row = rows["log_level"];
    assert!(
        row.contains(&format!("| `{}` |", level.as_str().expect("a name"))),
        "{row}"
    );
}

/// Guards against changing a limit without updating the page.
#[test]
fn the_page_gives_the_limits() {
    use validate::policy;
    use validate::root;
    use validate::shards;

    let replica = |field: &str| format!("services[].shards[].replicas[].{field}");
    let cases = [
        ("### Root", "schema".to_owned(), format!("| {SCHEMA_VERSION} |")),
        (
            "### Root",
            "claims.tolerated_views".into(),
            format!("1 to {};", root::MAX_TOLERATED_VIEWS),
        ),
        (
            "### Root",
            "claims.remote_reserve".into(),
            format!("0 to {};", root::MAX_REMOTE_RESERVE),
        ),
        (
            "### Root",
            "claims.remote_reserve".into(),
            format!("at least {} with", root::MIN_REMOTE_RESERVE),
        ),
        (
            "### Root",
            "parts[].name".into(),
            format!("1 to {} parts", root::MAX_PARTS),
        ),
        (
            "### Part",
            "policy.deadline".into(),
            format!("| {} to `max", policy::MIN_DEADLINE),
        ),
        (
            "### Part",
            "policy.max_deadline".into(),
            format!("at most {} |", policy::MAX_DEADLINE),
        ),
        (
            "### Part",
            "policy.hedge_budget".into(),
            format!("at most {} |", policy::MAX_BUDGET),
        ),
        (
            "### Part",
            "policy.retry_budget".into(),
            format!("at most {} |", policy::MAX_BUDGET),
        ),
        (
            "### Part",
            "policy.routine_share".into(),
            format!("{} to {}", policy::MIN_ROUTINE_SHARE, policy::MAX_ROUTINE_SHARE),
        ),
        (
            "### Part",
            "policy.objectives.latency".into(),
            format!("| {} to `max", policy::MIN_DEADLINE),
        ),
        (
            "### Part",
            "services[].shards[].range.end".into(),
            format!("the last is {KEY_SPACE} |"),
        ),
        (
            "### Part",
            replica("searcher"),
            format!("1 to {} replicas", shards::MAX_REPLICAS),
        ),
        ("### Part", replica("slots"), format!("1 to {} |", shards::MAX_SLOTS)),
        (
            "### Part",
            replica("connections"),
            format!("at most {};", shards::MAX_CONNECTIONS),
        ),
        (
            "### Part",
            replica("connect_cost"),
            format!("at most {} |", shards::MAX_CONNECT_COST),
        ),
        (
            "## Settings",
            "seeds[].instance".into(),
            format!("at most {} seeds", check::MAX_SEEDS),
        ),
        (
            "## Settings",
            "limits.body".into(),
            format!("1B to {} |", check::MAX_BODY),
        ),
        (
            "## Settings",
            "limits.in_flight".into(),
            format!("1 to {} |", check::MAX_COUNT),
        ),
        (
            "## Settings",
            "limits.queue".into(),
            format!("1 to {} |", check::MAX_COUNT),
        ),
        (
            "## Settings",
            "limits.tickets".into(),
            format!("1 to {} |", check::MAX_COUNT),
        ),
        (
            "## Settings",
            "limits.drain".into(),
            format!("{} to {} |", check::MIN_DRAIN, check::MAX_DRAIN),
        ),
    ];
    for (heading, key, text) in cases {
        let row = rows(heading)[key.as_str()];
        assert!(row.contains(&text), "{row}: {text}");
    }
    assert!(PAGE.contains(&format!("below {MAX_VALUE_BYTES} bytes")));
    assert!(validate::NAME_REMEDY.contains(&format!("1 to {} ", validate::MAX_NAME_BYTES)));
    let name_row = PAGE.lines().find(|line| line.starts_with("| name |")).expect("listed");
    assert!(
        name_row.contains(validate::NAME_REMEDY.trim_start_matches("use ")),
        "{name_row}"
    );
}
