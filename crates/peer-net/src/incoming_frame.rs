//! Receives frames within a bound on the memory of all that are being received.

use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use havenstage_http_server::{BodyLimits, BodyMemory, ConnectionSlot};
use http_body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio_util::io::poll_read_buf;

use crate::frame::MAX_FRAME_BYTES;

/// Limits on a frame.
const FRAME_LIMITS: BodyLimits = BodyLimits {
    max_bytes: MAX_FRAME_BYTES,
    timeout: Duration::from_secs(30),
};
/// Bytes read at a time.
const PIECE_BYTES: usize = 16 * 1024;

/// Reads the next frame, without its length; `None` if the connection has ended or must be closed.
pub(crate) async fn read_frame(
    stream: &mut (impl AsyncRead + Unpin),
    memory: &Arc<BodyMemory>,
    connection: &ConnectionSlot,
) -> Option<Bytes> {
    let length = stream.read_u32().await.ok()?;
    let frame = IncomingFrame {
        stream,
        piece: BytesMut::new(),
        left: length as usize,
    };
    match memory.receive(frame, FRAME_LIMITS, connection).await {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            log::warn!("a peer's frame of {length} bytes was not received: {error}");
            None
        }
    }
}

/// The bytes of a frame as they arrive.
struct IncomingFrame<'a, S> {
    stream: &'a mut S,
    piece: BytesMut,
    left: usize,
}

impl<S: AsyncRead + Unpin> Body for IncomingFrame<'_, S> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let this = self.get_mut();
        if this.left == 0 {
            return Poll::Ready(None);
        }
        this.piece.reserve(PIECE_BYTES);
        let mut limited = (&mut *this.stream).take(this.left as u64);
        let read = ready!(poll_read_buf(
            Pin::new(&mut limited),
            context,
            &mut this.piece
        ));
        Poll::Ready(Some(match read {
            Ok(0) => Err(ErrorKind::UnexpectedEof.into()),
            Ok(count) => {
                this.left -= count;
                Ok(Frame::data(this.piece.split().freeze()))
            }
            Err(error) => Err(error),
        }))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}
