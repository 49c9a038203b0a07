//! Errors of an exchange.

use thiserror::Error;

/// Why an exchange failed below the level of HTTP statuses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum LinkError {
    /// No connection could be established, so no byte of the request was sent.
    #[error("no connection could be established")]
    NotConnected,
    /// The request was not written completely, so the server can't have acted on it.
    #[error("the request was not sent")]
    NotSent,
    /// The deadline for writing the request had passed; nothing of it was sent.
    #[error("the request could not be sent in time")]
    TooLate,
    /// The connection broke, or what it delivered is no valid HTTP response; the server may have acted.
    #[error("the connection broke before the answer was whole")]
    Broken,
    /// The exchange timed out; the server may have acted.
    #[error("no whole answer came in time")]
    TimedOut,
    /// The connection was found silent: it delivers nothing any more, without a reset. The server may have acted. A
    /// request that can be repeated can be sent again over another connection.
    #[error("the connection fell silent")]
    Silent,
    /// The body of the answer is longer than the caller allows.
    #[error("the answer is too long")]
    TooLong,
}

impl LinkError {
    /// Whether the server can't have acted on the request, so that it can be sent again safely.
    pub fn is_unsent(self) -> bool {
        matches!(self, Self::NotConnected | Self::NotSent | Self::TooLate)
    }
}
