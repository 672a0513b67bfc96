//! Tests of the selection of the greatest records of all parts.

use bytes::Bytes;
use pimentoflow::request::records::RECORD_BYTES;
use pimentoflow::request::records::top_records;

fn record(first: u8) -> Vec<u8> {
    let mut record = vec![7; RECORD_BYTES];
    record[0] = first;
    record
}

/// Guards against a wrong order, dropped duplicates, and trailing bytes of a part that are taken for a record.
#[test]
fn records_are_in_descending_order_with_duplicates() {
    let mut first = [record(1), record(9), record(5)].concat();
    first.extend_from_slice(&[0xff; RECORD_BYTES - 1]);
    let second = [record(9), record(3)].concat();
    let merged = top_records(&[Bytes::from(first), Bytes::from(second)], 4);
    assert_eq!(merged, [record(9), record(9), record(5), record(3)].concat());
}

/// Guards against a partial selection that differs from sorting all records, for arbitrary parts.
#[test]
fn top_records_match_full_sort() {
    property_check::check()
        .with_iterations(2_000)
        .with_type::<(Vec<Vec<u8>>, u8)>()
        .for_each(|(parts, limit)| {
            let limit = usize::from(*limit % 40);
            let bodies: Vec<Bytes> = parts.iter().cloned().map(Bytes::from).collect();
            let mut all: Vec<&[u8]> = parts.iter().flat_map(|part| part.chunks_exact(RECORD_BYTES)).collect();
            all.sort_unstable();
            all.reverse();
            all.truncate(limit);
            assert_eq!(top_records(&bodies, limit), all.concat());
        });
}
