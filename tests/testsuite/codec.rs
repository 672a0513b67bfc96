//! Framing between processes: arbitrary bytes must never cause a panic, and frames must survive a round trip.

use bytes::BytesMut;
use pimentoflow::wire::codec::FrameCodec;
use pimentoflow::wire::proto::Ping;
use pimentoflow::wire::proto::frame::Body;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

/// Guards against a panic on malformed bytes from a peer.
#[test]
fn arbitrary_bytes_never_panic() {
    property_check::check()
        .with_iterations(20_000)
        .for_each(|input: &Vec<u8>| {
            let mut buf = BytesMut::from(input.as_slice());
            let mut codec = FrameCodec::new();
            while let Ok(Some(_)) = codec.decode(&mut buf) {}
        });
}

/// Guards against a frame that is lost or merged with the next one when a read ends in the middle of it.
#[test]
fn frames_survive_split_reads() {
    let mut bytes = BytesMut::new();
    let mut codec = FrameCodec::new();
    for nonce in 0..3 {
        codec
            .encode(Body::Ping(Ping { nonce }), &mut bytes)
            .expect("a ping fits a frame");
    }
    let mut received = Vec::new();
    let mut partial = BytesMut::new();
    for byte in bytes {
        partial.extend_from_slice(&[byte]);
        while let Some(body) = codec.decode(&mut partial).expect("the bytes are frames") {
            received.push(body);
        }
    }
    let expected: Vec<Body> = (0..3).map(|nonce| Body::Ping(Ping { nonce })).collect();
    assert_eq!(received, expected);
}
