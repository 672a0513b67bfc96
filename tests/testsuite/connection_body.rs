//! Memory limit shared by response bodies.

use pimentoflow::connection::body::BodyError;
use pimentoflow::connection::body::BodyMemory;
use pimentoflow::connection::body::PartialBody;
use pimentoflow::connection::body::UNRESERVED_BYTES;

const BLOCK: [u8; 4096] = [7; 4096];

fn push(body: &mut PartialBody, blocks: usize) -> Result<(), BodyError> {
    (0..blocks).try_for_each(|_| body.push(&BLOCK))
}

/// Guards against large bodies that together exceed the shared memory, and against small bodies that fail because large
/// ones have used it up.
#[test]
fn large_bodies_share_memory_and_small_bodies_need_none() {
    let memory = BodyMemory::new(64 * 1024);
    let mut large = PartialBody::new(&memory, 1 << 20);
    push(&mut large, 16).unwrap();
    let mut other = PartialBody::new(&memory, 1 << 20);
    assert_eq!(push(&mut other, 16), Err(BodyError::NoMemory));
    let mut small = PartialBody::new(&memory, 1 << 20);
    push(&mut small, UNRESERVED_BYTES / BLOCK.len()).unwrap();
    drop((other, small));
    let whole = large.finish();
    assert_eq!(whole.len(), 16 * BLOCK.len());
    let copy = whole.clone();
    drop(whole);
    assert!(memory.available() < 64 * 1024);
    drop(copy);
    assert_eq!(memory.available(), 64 * 1024);
}

/// Guards against a body that grows beyond its own limit.
#[test]
fn body_over_its_limit_is_rejected() {
    let memory = BodyMemory::default();
    let mut body = PartialBody::new(&memory, 3 * BLOCK.len());
    push(&mut body, 3).unwrap();
    assert_eq!(body.push(b"x"), Err(BodyError::TooLarge(3 * BLOCK.len())));
}
