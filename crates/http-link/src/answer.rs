//! An answer whose body is still coming.

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

/// Taken off the time that a server says it keeps a resting connection.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// Header in which a server tells how long it keeps a resting connection.
const KEEP_ALIVE: &str = "keep-alive";

/// The head of an answer, with its body to be read.
pub struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: Incoming,
    connection: Option<Connection>,
    link: Arc<Shared>,
}

/// An answer read to its end.
#[derive(Debug, Clone)]
pub struct WholeAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether the end was marked; if not, the body ended with its connection.
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

    /// Status.
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// Headers.
    pub fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// Whether the end of the body is marked, by a length or by chunks.
    pub fn is_framed(&self) -> bool {
        self.headers.contains_key(CONTENT_LENGTH)
            || self.headers.contains_key(TRANSFER_ENCODING)
            || self.body.is_end_stream()
    }

    /// The next bytes of the body, or `None` at its end. At the end the connection is kept.
    pub async fn next_bytes(&mut self) -> Result<Option<Bytes>, LinkError> {
        loop {
            match self.body.frame().await {
                None => {
                    self.keep_connection();
                    return Ok(None);
                }
                Some(Err(_)) => {
                    self.connection = None;
                    return Err(LinkError::Broken);
                }
                Some(Ok(frame)) => {
                    self.hear();
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
            }
        }
    }

    /// Reads the rest, up to `most_bytes`.
    pub async fn whole(mut self, most_bytes: usize) -> Result<WholeAnswer, LinkError> {
        let framed = self.is_framed();
        let mut body = BytesMut::new();
        while let Some(bytes) = self.next_bytes().await? {
            if body.len() + bytes.len() > most_bytes {
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

    fn hear(&self) {
        if let Some(connection) = &self.connection {
            connection.activity.hear();
        }
    }

    fn keep_connection(&mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        if !self.closes() {
            self.link.give_back(connection, self.told_keep_alive());
        }
    }

    fn closes(&self) -> bool {
        let values = self.headers.get_all(CONNECTION).iter();
        let mut texts = values.filter_map(|value| value.to_str().ok());
        texts.any(|text| text.to_ascii_lowercase().contains("close"))
    }

    fn told_keep_alive(&self) -> Option<Duration> {
        let text = self.headers.get(KEEP_ALIVE)?.to_str().ok()?;
        let seconds = text
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="))?;
        let told = Duration::from_secs(seconds.trim().parse().ok()?);
        Some(told.saturating_sub(KEEP_ALIVE_MARGIN))
    }
}
