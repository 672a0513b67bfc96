//! Settings: defaults, and findings of every rule with the file, the field or the line, and a remedy.

use pimentoflow::process::settings::Limits;
use pimentoflow::process::settings::LogLevel;
use pimentoflow::process::settings::Settings;
use pimentoflow::process::settings::SettingsError;
use pimentoflow::version::finding::Finding;

const ENTRY: &str = "\
role: entry
instance: e1
data_centre: dc-a
listen:
  callers: 127.0.0.1:8101
  peers: 127.0.0.1:7101
  admin: 127.0.0.1:9101
platform: 127.0.0.1:6001
seeds:
  - {instance: l1, address: 127.0.0.1:7102}
  - {instance: l2, address: 127.0.0.1:7103}
limits: {body: 64KiB, in_flight: 10, queue: 11, tickets: 12, drain: 5s}
";

fn findings(text: &str) -> Vec<Finding> {
    let parsed = Settings::parse("entry.yaml", text.as_bytes());
    parsed.err().map(|findings| findings.0).unwrap_or_default()
}

/// Guards against a rule that is no longer checked or that reports a wrong field.
#[test]
fn every_rule_is_checked() {
    let seeds: String = (0..65)
        .map(|ix| format!("  - {{instance: s{ix}, address: 127.0.0.1:{}}}\n", 7200 + ix))
        .collect();
    let many = format!("seeds:\n{seeds}limits:");
    let cases = [
        ("instance: e1", "instance: E1", "instance"),
        ("data_centre: dc-a", "data_centre: ''", "data_centre"),
        ("  callers: 127.0.0.1:8101\n", "", "listen.callers"),
        ("role: entry", "role: leaf", "listen.callers"),
        ("peers: 127.0.0.1:7101", "peers: 0.0.0.0:7101", "listen.peers"),
        ("peers: 127.0.0.1:7101", "peers: '[::]:7101'", "listen.peers"),
        ("admin: 127.0.0.1:9101", "admin: 127.0.0.1:7101", "listen.admin"),
        ("callers: 127.0.0.1:8101", "callers: 127.0.0.1:9101", "listen.callers"),
        ("platform: 127.0.0.1:6001", "platform: 127.0.0.1:0", "platform"),
        ("platform: 127.0.0.1:6001", "platform: 0.0.0.0:6001", "platform"),
        ("instance: l1", "instance: e1", "seeds[0].instance"),
        ("instance: l1", "instance: L", "seeds[0].instance"),
        ("instance: l2", "instance: l1", "seeds[1].instance"),
        ("127.0.0.1:7103", "127.0.0.1:7102", "seeds[1].address"),
        ("127.0.0.1:7103", "127.0.0.1:0", "seeds[1].address"),
        ("limits:", &many, "seeds"),
        ("body: 64KiB", "body: 0B", "limits.body"),
        ("body: 64KiB", "body: 3MiB", "limits.body"),
        ("in_flight: 10", "in_flight: 0", "limits.in_flight"),
        ("queue: 11", "queue: 1000001", "limits.queue"),
        ("tickets: 12", "tickets: 0", "limits.tickets"),
        ("drain: 5s", "drain: 2999ms", "limits.drain"),
        ("drain: 5s", "drain: 601s", "limits.drain"),
    ];
    let without_seeds = ENTRY
        .lines()
        .filter(|line| !line.contains("seeds") && !line.contains("{instance"));
    let without_seeds = without_seeds.collect::<Vec<_>>().join("\n");
    for (from, to, field) in cases {
        let base = if field == "seeds" { &*without_seeds } else { ENTRY };
        assert!(base.contains(from), "{from}");
        let found = findings(&base.replacen(from, to, 1));
        let paths: Vec<&str> = found.iter().map(|finding| &*finding.path).collect();
        assert_eq!(paths, [format!("entry.yaml: {field}")], "{from} -> {to}: {found:?}");
        assert!(found.iter().all(|finding| !finding.remedy.is_empty()));
    }
}

/// Guards against malformed values that are accepted, and against parse errors without the file and the line.
#[test]
fn parse_errors_name_file_and_line() {
    let cases = [
        ("role: entry", "role: router", 1, "unknown variant"),
        (
            "instance: e1",
            "instanse: e1",
            1,
            "in the mapping that begins here: unknown field `instanse`",
        ),
        (
            "callers: 127.0.0.1:8101",
            "callers: localhost:8101",
            5,
            "host names are not resolved",
        ),
        (
            "admin: 127.0.0.1:9101",
            "admin: 127.0.0.1:65536",
            7,
            "port from 0 to 65535",
        ),
        (
            "platform: 127.0.0.1:6001",
            "platform: 127.0.0.1:6001\nplatform: 127.0.0.1:6002",
            9,
            "duplicate",
        ),
        ("body: 64KiB", "body: 64kB", 12, "write a whole number and a unit"),
        ("drain: 5s", "drain: 5", 12, "write a whole number and a unit"),
        ("queue: 11", "queue: -1", 12, ""),
    ];
    for (from, to, line, expected) in cases {
        assert!(ENTRY.contains(from), "{from}");
        let found = findings(&ENTRY.replacen(from, to, 1));
        assert_eq!(found.len(), 1, "{from} -> {to}: {found:?}");
        let text = found[0].to_string();
        assert!(text.starts_with(&format!("entry.yaml (line {line}, ")), "{text}");
        assert!(text.contains(expected), "{text}");
        assert!(!found[0].remedy.is_empty());
    }
}

/// Guards against an optional key that has become mandatory.
#[test]
fn optional_keys_have_defaults() {
    let required: Vec<&str> = ENTRY.lines().take(8).collect();
    let settings = Settings::parse("entry.yaml", required.join("\n").as_bytes()).expect("valid");
    assert_eq!(settings.limits, Limits::default());
    assert_eq!(settings.log_level, LogLevel::Info);
    assert_eq!(settings.seeds, []);
    let one_limit = ENTRY.replace(
        "limits: {body: 64KiB, in_flight: 10, queue: 11, tickets: 12, drain: 5s}",
        "limits: {queue: 9}",
    );
    let settings = Settings::parse("entry.yaml", one_limit.as_bytes()).expect("valid");
    assert_eq!(
        settings.limits,
        Limits {
            queue: 9,
            ..Limits::default()
        }
    );
}

/// Guards against port 0 being refused. Tests use it to let the operating system choose ports.
#[test]
fn listen_port_zero_is_accepted() {
    let text = ENTRY
        .replace(":8101", ":0")
        .replace(":7101", ":0")
        .replace(":9101", ":0");
    assert_eq!(findings(&text), []);
}

/// Guards against an error for an unreadable file that does not contain its path.
#[test]
fn unreadable_file_is_named() {
    let error = Settings::load("missing/entry.yaml".as_ref()).expect_err("the file does not exist");
    assert!(matches!(error, SettingsError::Unreadable { .. }));
    assert!(error.to_string().contains("missing/entry.yaml"));
}

/// Guards against settings that make a program panic at its start.
#[test]
fn arbitrary_bytes_never_panic() {
    property_check::check()
        .with_iterations(10_000)
        .for_each(|input: &Vec<u8>| {
            let _ = Settings::parse("entry.yaml", input);
        });
}
