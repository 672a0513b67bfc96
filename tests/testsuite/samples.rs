//! The samples in the repository are valid and match the tables of sizes in `docs/design.md`.

use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use indexmap::IndexSet;
use pimentoflow::process::document_files::DocumentFiles;
use pimentoflow::process::settings::Role;
use pimentoflow::process::settings::Settings;
use pimentoflow::version::build;
use pimentoflow::version::tables::Tables;

pub(crate) fn sample(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("samples").join(name)
}

fn tables(name: &str) -> Tables {
    let files = DocumentFiles::load(&sample(name)).expect("the sample is readable");
    let document = files.document().unwrap_or_else(|findings| panic!("{name}: {findings}"));
    build::tables(&document)
}

/// A row of the tables of sizes in `docs/design.md`.
struct Row {
    index: String,
    services: usize,
    searchers: usize,
    slots: u32,
    connections: u32,
    connect_cost: Duration,
}

fn leading_number(text: &str) -> usize {
    let digits: String = text
        .trim_start_matches("about ")
        .chars()
        .take_while(char::is_ascii_digit)
        .collect();
    digits.parse().expect("a cell begins with a number")
}

fn parse_row(line: &str) -> Row {
    let cells: Vec<&str> = line.trim_matches('|').split('|').map(str::trim).collect();
    let (services, searchers) = match cells[1].split_once(" services × ") {
        Some((services, each)) => (
            leading_number(services),
            leading_number(services) * leading_number(each),
        ),
        None => (1, leading_number(cells[1])),
    };
    Row {
        index: cells[0].to_owned(),
        services,
        searchers,
        slots: u32::try_from(leading_number(cells[2])).expect("small"),
        connections: u32::try_from(leading_number(cells[3])).expect("small"),
        connect_cost: Duration::from_millis(leading_number(cells[4]) as u64),
    }
}

/// Returns the rows of the first table after the line that starts with `heading`.
fn rows(heading: &str) -> Vec<Row> {
    let page = include_str!("../../docs/design.md");
    let lines = page.lines().skip_while(|line| !line.starts_with(heading));
    let table = lines.skip_while(|line| !line.starts_with("|---")).skip(1);
    table.take_while(|line| line.starts_with('|')).map(parse_row).collect()
}

fn check_rows(name: &str, rows: &[Row]) {
    let tables = tables(name);
    assert_eq!(tables.indexes.len(), rows.len(), "{name}");
    for row in rows {
        let index = &tables.indexes[row.index.as_str()];
        assert_eq!(index.services.len(), row.services, "{}", row.index);
        let shards = index.services.values().flat_map(|service| &service.shards);
        let searchers: Vec<_> = shards
            .flat_map(|shard| &shard.replicas)
            .map(|ix| tables.searcher(*ix))
            .collect();
        assert_eq!(searchers.len(), row.searchers, "{}", row.index);
        for searcher in &searchers {
            let found = (searcher.slots, searcher.connections, searcher.connect_cost);
            assert_eq!(found, (row.slots, row.connections, row.connect_cost), "{}", searcher.id);
            assert!(searcher.address.ip().is_loopback(), "{}", searcher.address);
        }
        let data_centres: IndexSet<_> = searchers.iter().map(|searcher| &searcher.data_centre).collect();
        assert_eq!(data_centres.len(), 3, "{}", row.index);
    }
}

/// Guards against a sample that lacks a service or whose sizes differ from those in `docs/design.md`.
#[test]
fn samples_hold_every_row_of_the_design_page() {
    let fraser = rows("Fraser Basin: three data centres");
    let abay = rows("Abay: three data centres");
    assert_eq!((fraser.len(), abay.len()), (4, 4));
    check_rows("fraser", &fraser);
    check_rows("abay", &abay);
}

/// Guards against replicas of a shard in the same data centre, which would fail together.
#[test]
fn replicas_are_in_different_data_centres() {
    for name in ["fraser", "abay", "demo"] {
        let tables = tables(name);
        let services = tables.indexes.values().flat_map(|index| index.services.values());
        for shard in services.flat_map(|service| &service.shards) {
            let data_centres = shard.replicas.iter().map(|ix| &tables.searcher(*ix).data_centre);
            let distinct: IndexSet<_> = data_centres.collect();
            assert_eq!(distinct.len(), shard.replicas.len(), "{}", shard.id);
        }
    }
}

/// Guards against equal addresses in two samples, whose backend servers could then not run on the same machine.
#[test]
fn addresses_differ_across_samples() {
    let mut addresses = IndexSet::new();
    for name in ["fraser", "abay", "demo"] {
        for searcher in tables(name).searchers.values() {
            assert!(addresses.insert(searcher.address), "{name}: {}", searcher.address);
        }
    }
}

/// Guards against sample settings that the programs reject.
#[test]
fn sample_settings_are_valid() {
    let entry = Settings::load(&sample("settings/entry.yaml")).expect("valid");
    assert_eq!(entry.role, Role::Entry);
    let leaf = Settings::load(&sample("settings/leaf.yaml")).expect("valid");
    assert_eq!(leaf.role, Role::Leaf);
}
