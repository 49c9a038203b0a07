//! Frames on a peer connection: length-delimited, encoded with postcard.

use bytes::Bytes;
use futures::SinkExt;
use havenstage_types::codec::{self, CodecError};
use havenstage_types::peer::{PeerRequest, PeerResponse};
use serde::{Deserialize, Serialize};
use tokio::io::AsyncWrite;
use tokio::sync::mpsc;
use tokio_util::codec::{FramedWrite, LengthDelimitedCodec};

use crate::traffic::{Traffic, TrafficCounters};

/// Largest frame that is sent or taken, in bytes. It holds a whole answer or a page of
/// configuration records with room to spare.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Bytes of the length in front of each frame.
pub(crate) const LENGTH_BYTES: usize = 4;

/// A request with the number its answer will carry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct RequestFrame {
    pub(crate) id: u64,
    pub(crate) request: PeerRequest,
}

/// The answer to the request of that number.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct ResponseFrame {
    pub(crate) id: u64,
    /// `None` when the answer does not fit into a frame.
    pub(crate) response: Option<PeerResponse>,
}

/// The number in front of a frame, readable even when the rest is not.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct FrameId {
    pub(crate) id: u64,
}

/// Why a message cannot be sent.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum FrameError {
    /// It cannot be encoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// It is larger than [`MAX_FRAME_BYTES`].
    #[error("a frame of {bytes} bytes is larger than {MAX_FRAME_BYTES}")]
    TooLarge {
        /// Its size.
        bytes: usize,
    },
}

/// Encodes a frame and checks its size.
pub(crate) fn encode_frame<T: Serialize>(frame: &T) -> Result<Bytes, FrameError> {
    let bytes = codec::encode(frame)?;
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge { bytes: bytes.len() });
    }
    Ok(bytes)
}

/// The codec that both sides use.
pub(crate) fn length_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_length(LENGTH_BYTES)
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Writes queued frames until the queue closes or the connection breaks.
pub(crate) async fn write_frames<W: AsyncWrite + Unpin>(
    stream: W,
    mut queue: mpsc::Receiver<Bytes>,
    counters: TrafficCounters,
) {
    let mut writer = FramedWrite::new(stream, length_codec());
    while let Some(frame) = queue.recv().await {
        let bytes = frame.len() + LENGTH_BYTES;
        if writer.send(frame).await.is_err() {
            return;
        }
        counters.sent(Traffic::Requests, bytes);
    }
}
