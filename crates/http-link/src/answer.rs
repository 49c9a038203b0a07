//! The response to a request, whose body is read as it arrives.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::connection::Connection;
use crate::error::LinkError;
use crate::link::Shared;

/// Subtracted from the idle timeout that a server announces, so that no request is sent over a connection that the
/// server is about to close.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// Header in which a server announces its idle timeout.
const KEEP_ALIVE: &str = "keep-alive";

/// The head of an answer, and its body, which is read with [`Answer::next_bytes`] or [`Answer::whole`]. Dropping it
/// before the end of the body has_connection_close the connection.
pub struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: Incoming,
    connection: Option<Connection>,
    link: Arc<Shared>,
}

/// An answer whose body was read completely.
#[derive(Debug, Clone)]
pub struct WholeAnswer {
    /// HTTP status of the answer.
    pub status: StatusCode,
    /// Headers of the answer; trailers are not included.
    pub headers: HeaderMap,
    /// Complete body, without chunk framing.
    pub body: Bytes,
    /// Whether the length or chunks marked the end of the body. If false, the body ended when the connection closed, so
    /// it may be truncated.
    pub framed: bool,
}

impl Answer {
    pub(crate) fn new(
        response: Response<Incoming>,
        connection: Connection,
        link: Arc<Shared>,
    ) -> Self {
        let (head, body) = response.into_parts();
        Self {
            status: head.status,
            headers: head.headers,
            body,
            connection: Some(connection),
            link,
        }
    }

    /// HTTP status of the answer.
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// Headers of the answer.
    pub fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// Whether a content length or chunked encoding marks the end of the body, or the body is empty.
    pub fn is_framed(&self) -> bool {
        self.headers.contains_key(CONTENT_LENGTH) || self.is_chunked() || self.body.is_end_stream()
    }

    /// Whether the last transfer coding is chunked; no other one marks the end of a body.
    fn is_chunked(&self) -> bool {
        let values = self.headers.get_all(TRANSFER_ENCODING);
        let last = values
            .iter()
            .next_back()
            .and_then(|value| value.to_str().ok());
        let coding = last.and_then(|value| value.rsplit(',').next());
        coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
    }

    /// Returns the next bytes of the body, or `None` at its end, where the connection goes back to the idle pool.
    /// Returns [`LinkError::Broken`] if the connection breaks first.
    pub async fn next_bytes(&mut self) -> Result<Option<Bytes>, LinkError> {
        loop {
            match self.body.frame().await {
                None => {
                    self.return_connection();
                    return Ok(None);
                }
                Some(Err(_)) => {
                    self.connection = None;
                    return Err(LinkError::Broken);
                }
                Some(Ok(frame)) => {
                    self.record_activity();
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
            }
        }
    }

    /// Reads the rest of the body. Returns [`LinkError::TooLong`] if it is longer than `max_bytes`.
    pub async fn whole(self, max_bytes: usize) -> Result<WholeAnswer, LinkError> {
        if self.body.size_hint().lower() > max_bytes as u64 {
            return Err(LinkError::TooLong);
        }
        self.whole_if(|length| length <= max_bytes).await
    }

    /// Reads the rest of the body as long as `may_hold` allows its length so far, which is asked before each piece is
    /// kept. Returns [`LinkError::TooLong`] if it does not.
    pub async fn whole_if(
        mut self,
        mut may_hold: impl FnMut(usize) -> bool,
    ) -> Result<WholeAnswer, LinkError> {
        let framed = self.is_framed();
        let mut body = BytesMut::new();
        while let Some(bytes) = self.next_bytes().await? {
            if !may_hold(body.len() + bytes.len()) {
                return Err(LinkError::TooLong);
            }
            body.extend_from_slice(&bytes);
        }
        Ok(WholeAnswer {
            status: self.status,
            headers: std::mem::take(&mut self.headers),
            body: body.freeze(),
            framed,
        })
    }

    fn record_activity(&self) {
        if let Some(connection) = &self.connection {
            connection.activity.record_activity();
        }
    }

    fn return_connection(&mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        if !self.has_connection_close() {
            self.link
                .return_idle(connection, self.announced_idle_timeout());
        }
    }

    fn has_connection_close(&self) -> bool {
        let values = self.headers.get_all(CONNECTION).iter();
        let mut texts = values.filter_map(|value| value.to_str().ok());
        texts.any(|text| text.to_ascii_lowercase().contains("close"))
    }

    fn announced_idle_timeout(&self) -> Option<Duration> {
        let text = self.headers.get(KEEP_ALIVE)?.to_str().ok()?;
        let seconds = text
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="))?;
        let announced = Duration::from_secs(seconds.trim().parse().ok()?);
        Some(announced.saturating_sub(KEEP_ALIVE_MARGIN))
    }
}
