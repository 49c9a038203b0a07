//! Receives request bodies whole, within a [`BodyMemory`].

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Body;
use metrics::counter;
use thiserror::Error;

use crate::body_memory::{AppendError, BodyMemory};
use crate::connections::ConnectionSlot;

/// Limits on one body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyLimits {
    /// Maximum length in bytes.
    pub max_bytes: usize,
    /// Time within which the body must be received.
    pub timeout: Duration,
}

/// Why a body was not received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum BodyError {
    /// The body is longer than allowed, or than the server can hold.
    #[error("the body is longer than {max_bytes} bytes")]
    TooLong {
        /// Maximum length in bytes.
        max_bytes: usize,
    },
    /// Other bodies hold too much memory.
    #[error("other bodies leave no room for this one")]
    NoRoom,
    /// The body gave way to another one before it was complete.
    #[error("the incomplete body gave way to another one")]
    Displaced,
    /// The body was not complete in time.
    #[error("the body was not complete in time")]
    TimedOut,
    /// The client broke off, or the body cannot be decoded.
    #[error("the body broke off")]
    Broken,
}

impl BodyError {
    /// Status of the answer to the client.
    pub fn status(self) -> StatusCode {
        match self {
            Self::TooLong { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoRoom | Self::Displaced => StatusCode::SERVICE_UNAVAILABLE,
            Self::TimedOut => StatusCode::REQUEST_TIMEOUT,
            Self::Broken => StatusCode::BAD_REQUEST,
        }
    }

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::TooLong { .. } => "too_long",
            Self::NoRoom => "no_room",
            Self::Displaced => "displaced",
            Self::TimedOut => "timed_out",
            Self::Broken => "broken",
        }
    }
}

impl From<AppendError> for BodyError {
    fn from(error: AppendError) -> Self {
        match error {
            AppendError::NoRoom => Self::NoRoom,
            AppendError::Displaced => Self::Displaced,
        }
    }
}

impl BodyMemory {
    /// Receives the body of a request on a connection whole. Its memory counts until the last reference to the returned bytes
    /// is dropped.
    ///
    /// # Errors
    ///
    /// See [`BodyError`]. The rest of the body is not read then.
    pub async fn receive<B>(
        self: &Arc<Self>,
        body: B,
        limits: BodyLimits,
        connection: &ConnectionSlot,
    ) -> Result<Bytes, BodyError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let max_bytes = limits.max_bytes.min(self.largest_body_bytes());
        let received =
            tokio::time::timeout(limits.timeout, self.read(body, max_bytes, connection)).await;
        let received = received.unwrap_or(Err(BodyError::TimedOut));
        if let Err(error) = received {
            counter!("http_bodies_refused_total", "reason" => error.name()).increment(1);
        }
        received
    }

    async fn read<B>(
        self: &Arc<Self>,
        mut body: B,
        max_bytes: usize,
        connection: &ConnectionSlot,
    ) -> Result<Bytes, BodyError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let too_long = BodyError::TooLong { max_bytes };
        if body.size_hint().lower() > max_bytes as u64 {
            return Err(too_long);
        }
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let expected = body.size_hint().exact().map(|length| length as usize);
        let incoming = self.begin();
        let mut length = 0;
        loop {
            let frame = tokio::select! {
                biased;
                () = incoming.displaced() => return Err(BodyError::Displaced),
                frame = body.frame() => frame,
            };
            let Some(frame) = frame else {
                return Ok(incoming.finish()?);
            };
            let frame = frame.map_err(|_| BodyError::Broken)?;
            // Trailers are not forwarded.
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            length += bytes.len();
            if length > max_bytes {
                return Err(too_long);
            }
            incoming.append(&bytes, expected, max_bytes)?;
            connection.record_progress();
        }
    }
}
