//! The HTTP/1.1 client that every wire format builds on: pooled connections, typed timeouts, and
//! errors that say whether a request can have reached the server.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::traffic::{CountingConnector, HttpTraffic};

/// Timeouts and pool limits of an [`HttpClient`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HttpClientSettings {
    /// Milliseconds a TCP connection may take to be established.
    pub connect_timeout_ms: u64,
    /// Milliseconds from sending a request to the answer's head, and for a whole short answer.
    pub request_timeout_ms: u64,
    /// Milliseconds a stream may stay without a byte; servers send keep-alive comments.
    pub stream_idle_timeout_ms: u64,
    /// Milliseconds an idle connection stays in the pool.
    pub pool_idle_timeout_ms: u64,
    /// Most idle connections kept for one server.
    pub pool_max_idle_per_server: usize,
    /// Largest short answer accepted, in bytes.
    pub max_answer_bytes: usize,
}

impl Default for HttpClientSettings {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 1_000,
            request_timeout_ms: 5_000,
            stream_idle_timeout_ms: 15_000,
            pool_idle_timeout_ms: 30_000,
            pool_max_idle_per_server: 256,
            max_answer_bytes: 64 * 1024 * 1024,
        }
    }
}

/// A setting outside its allowed range.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum InvalidHttpClientSettings {
    /// The named timeout or limit is zero.
    #[error("{field} must be at least 1")]
    Zero {
        /// Name of the field.
        field: &'static str,
    },
}

impl HttpClientSettings {
    /// Checks that no timeout or limit is zero.
    pub fn validate(&self) -> Result<(), InvalidHttpClientSettings> {
        let fields = [
            ("connect_timeout_ms", self.connect_timeout_ms),
            ("request_timeout_ms", self.request_timeout_ms),
            ("stream_idle_timeout_ms", self.stream_idle_timeout_ms),
            ("pool_idle_timeout_ms", self.pool_idle_timeout_ms),
            ("max_answer_bytes", self.max_answer_bytes as u64),
        ];
        match fields.into_iter().find(|(_, value)| *value == 0) {
            Some((field, _)) => Err(InvalidHttpClientSettings::Zero { field }),
            None => Ok(()),
        }
    }

    /// The time within which an answer's head must come.
    pub fn request_timeout(&self) -> Duration {
        Duration::from_millis(self.request_timeout_ms)
    }

    /// The time a stream may stay without a byte.
    pub fn stream_idle_timeout(&self) -> Duration {
        Duration::from_millis(self.stream_idle_timeout_ms)
    }
}

/// Why an exchange failed below the level of the wire format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum HttpError {
    /// No connection could be established, so not one byte of the request was sent.
    #[error("no connection could be established")]
    NotConnected,
    /// The connection broke or the time ran out; the server may have acted.
    #[error("no whole answer came")]
    NoAnswer,
    /// The request could not be written as HTTP; nothing was sent.
    #[error("the request cannot be written as HTTP")]
    InvalidRequest,
}

/// A short answer, read whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShortAnswer {
    /// Status code.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
    /// Entity tag of the body, if the server gave one.
    pub entity_tag: Option<HeaderValue>,
}

impl ShortAnswer {
    /// The body read as JSON, or `None` when it is something else.
    pub fn json<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }
}

/// A pooled HTTP/1.1 client.
#[derive(Debug, Clone)]
pub struct HttpClient {
    settings: HttpClientSettings,
    client: Client<CountingConnector, Full<Bytes>>,
    traffic: HttpTraffic,
}

impl HttpClient {
    /// Makes a client; connections are opened when needed.
    pub fn new(settings: HttpClientSettings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(settings.connect_timeout_ms)));
        let traffic = HttpTraffic::default();
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_millis(settings.pool_idle_timeout_ms))
            .pool_max_idle_per_host(settings.pool_max_idle_per_server)
            .build(CountingConnector::new(connector, traffic.clone()));
        Self {
            settings,
            client,
            traffic,
        }
    }

    /// Counters of what its connections carry.
    pub fn traffic(&self) -> HttpTraffic {
        self.traffic.clone()
    }

    /// The settings it was made with.
    pub fn settings(&self) -> &HttpClientSettings {
        &self.settings
    }

    /// Sends a request and waits for the answer's head.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, HttpError> {
        match tokio::time::timeout(timeout, self.client.request(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) if error.is_connect() => Err(HttpError::NotConnected),
            Ok(Err(_)) | Err(_) => Err(HttpError::NoAnswer),
        }
    }

    /// Sends a request and reads a short answer whole, all within `timeout`.
    pub async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<ShortAnswer, HttpError> {
        let exchange = async {
            let response = self.send(request, timeout).await?;
            let status = response.status();
            let entity_tag = response.headers().get(header::ETAG).cloned();
            let body = self.read_whole(response).await?;
            Ok(ShortAnswer {
                status,
                body,
                entity_tag,
            })
        };
        tokio::time::timeout(timeout, exchange)
            .await
            .unwrap_or(Err(HttpError::NoAnswer))
    }

    /// Reads a body whole, up to the limit of the settings.
    pub async fn read_whole(&self, response: Response<Incoming>) -> Result<Bytes, HttpError> {
        let limited =
            http_body_util::Limited::new(response.into_body(), self.settings.max_answer_bytes);
        let collected = limited.collect().await.map_err(|_| HttpError::NoAnswer)?;
        Ok(collected.to_bytes())
    }

    /// Sends a GET request within the request timeout of the settings.
    pub async fn get(&self, server: SocketAddr, path: &str) -> Result<ShortAnswer, HttpError> {
        self.get_within(server, path, self.settings.request_timeout())
            .await
    }

    /// Sends a GET request and reads the answer whole within `timeout`.
    pub async fn get_within(
        &self,
        server: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<ShortAnswer, HttpError> {
        let request = request(Method::GET, server, path, Bytes::new())?;
        self.exchange(request, timeout).await
    }

    /// Sends a JSON body with POST within the request timeout of the settings.
    pub async fn post<T: Serialize + Sync>(
        &self,
        server: SocketAddr,
        path: &str,
        body: &T,
    ) -> Result<ShortAnswer, HttpError> {
        self.exchange(
            json_request(server, path, body)?,
            self.settings.request_timeout(),
        )
        .await
    }

    /// Sends bytes with PUT within the request timeout of the settings.
    pub async fn put(
        &self,
        server: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<ShortAnswer, HttpError> {
        let request = request(Method::PUT, server, path, body)?;
        self.exchange(request, self.settings.request_timeout())
            .await
    }
}

/// A POST request with a JSON body.
pub fn json_request<T: Serialize>(
    server: SocketAddr,
    path: &str,
    body: &T,
) -> Result<Request<Full<Bytes>>, HttpError> {
    let encoded = serde_json::to_vec(body).map_err(|_| HttpError::InvalidRequest)?;
    request(Method::POST, server, path, Bytes::from(encoded))
}

fn request(
    method: Method,
    server: SocketAddr,
    path: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, HttpError> {
    Request::builder()
        .method(method)
        .uri(format!("http://{server}{path}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(|_| HttpError::InvalidRequest)
}
