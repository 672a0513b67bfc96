//! Selection of the greatest fixed-size records from the bodies of all parts.

use std::cmp::Reverse;

use bytes::Bytes;
use bytes::BytesMut;

/// Size of a record, in bytes.
pub const RECORD_BYTES: usize = 16;

/// Returns the `limit` greatest records of all parts in descending bytewise order.
///
/// Duplicates are kept. Trailing bytes of a part that do not form a whole record are ignored.
#[must_use]
pub fn top_records(parts: &[Bytes], limit: usize) -> Bytes {
    let mut records: Vec<&[u8]> = parts.iter().flat_map(|part| part.chunks_exact(RECORD_BYTES)).collect();
    if limit == 0 {
        return Bytes::new();
    }
    if records.len() > limit {
        records.select_nth_unstable_by_key(limit - 1, |record| Reverse(*record));
        records.truncate(limit);
    }
    records.sort_unstable_by_key(|record| Reverse(*record));
    let mut body = BytesMut::with_capacity(records.len() * RECORD_BYTES);
    for record in records {
        body.extend_from_slice(record);
    }
    body.freeze()
}
