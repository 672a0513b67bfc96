//! Length-delimited framing of [`Frame`] messages.

use bytes::Bytes;
use bytes::BytesMut;
use prost::Message;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;
use tokio_util::codec::LengthDelimitedCodec;

use crate::wire::proto::Frame;
use crate::wire::proto::frame::Body;

/// Largest frame that either side accepts, in bytes. It bounds the memory that a peer can use with one frame.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Version of the protocol, announced in `Hello`. Peers with different versions close the session.
pub const PROTOCOL_VERSION: u32 = 1;

/// Failure of the framing layer. The session cannot continue after any of these errors.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The transport failed, or a frame exceeded [`MAX_FRAME_BYTES`].
    #[error("frame transport failed: {0}; reconnect to the peer")]
    Transport(#[from] std::io::Error),
    /// The bytes are not a frame of this protocol version.
    #[error("malformed frame: {0}; check that both sides run the same protocol version")]
    Malformed(#[from] prost::DecodeError),
    /// The frame has no body, or one that this version does not know.
    #[error("frame without a known body; check that both sides run the same protocol version")]
    Empty,
}

/// Codec of frames. A frame is a 4-byte big-endian length followed by one encoded [`Frame`].
#[derive(Debug)]
pub struct FrameCodec {
    inner: LengthDelimitedCodec,
}

impl FrameCodec {
    /// Creates a codec that rejects frames larger than [`MAX_FRAME_BYTES`].
    #[must_use]
    pub fn new() -> Self {
        let inner = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self { inner }
    }
}

impl Default for FrameCodec {
    fn default() -> Self {
        Self::new()
    }
}

impl Decoder for FrameCodec {
    type Item = Body;
    type Error = CodecError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Self::Item>, Self::Error> {
        let Some(bytes) = self.inner.decode(src)? else {
            return Ok(None);
        };
        let frame = Frame::decode(bytes.freeze())?;
        let body = frame.body.ok_or(CodecError::Empty)?;
        Ok(Some(body))
    }
}

impl Encoder<Body> for FrameCodec {
    type Error = CodecError;

    fn encode(&mut self, body: Body, dst: &mut BytesMut) -> Result<(), Self::Error> {
        let frame = Frame { body: Some(body) };
        let bytes = Bytes::from(frame.encode_to_vec());
        self.inner.encode(bytes, dst)?;
        Ok(())
    }
}
