//! Requests to a node's HTTP interface.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use havenstage_http_api::error::{ErrorBody, ErrorDetail};
use havenstage_platform_http::http_client::{HttpClient, HttpClientSettings, HttpError};
use havenstage_types::refusal::Execution;
use http::header::CONTENT_TYPE;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Patience with one request, above the time the server was asked to wait.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Why a request got no result.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The server could not be asked, or did not answer.
    #[error("{server}")]
    Http {
        /// The server.
        server: SocketAddr,
        /// What happened.
        #[source]
        source: HttpError,
    },
    /// The server refused.
    #[error("{} ({})", detail.message, detail.code)]
    Refused {
        /// Status of the answer.
        status: StatusCode,
        /// What it said.
        detail: ErrorDetail,
    },
    /// The answer is not what this version of the program understands.
    #[error("{server} answered {status} with a body that cannot be read")]
    Malformed {
        /// The server.
        server: SocketAddr,
        /// Status of the answer.
        status: StatusCode,
    },
    /// The request could not be written.
    #[error("the request cannot be written as JSON")]
    Unwritable(#[from] serde_json::Error),
    /// The request could not be written.
    #[error("the request cannot be written as HTTP")]
    Invalid(#[from] http::Error),
}

impl ClientError {
    /// Whether the server may have acted all the same.
    pub fn may_have_acted(&self) -> bool {
        match self {
            Self::Http { source, .. } => *source == HttpError::NoAnswer,
            Self::Refused { detail, .. } => detail.execution == Execution::Unknown,
            // A success that cannot be read is a success of unknown content.
            Self::Malformed { status, .. } => status.is_success() || status.is_server_error(),
            Self::Unwritable(_) | Self::Invalid(_) => false,
        }
    }

    /// Whether the server is out of reach or refuses for now.
    pub fn is_passing(&self) -> bool {
        match self {
            Self::Http { .. } => true,
            Self::Refused { status, .. } => *status == StatusCode::SERVICE_UNAVAILABLE,
            _ => false,
        }
    }

    /// Status of a refusal.
    pub fn status(&self) -> Option<StatusCode> {
        match self {
            Self::Refused { status, .. } => Some(*status),
            _ => None,
        }
    }
}

/// A client of one node.
pub struct ApiClient {
    server: SocketAddr,
    client: HttpClient,
}

impl ApiClient {
    /// A client of the node at `server`.
    pub fn new(server: SocketAddr) -> Self {
        Self {
            server,
            client: HttpClient::new(HttpClientSettings::default()),
        }
    }

    /// Reads a path; `wait` is how long the server was asked to wait.
    pub async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        wait: Duration,
    ) -> Result<T, ClientError> {
        self.exchange(Method::GET, path, Bytes::new(), wait).await
    }

    /// Sends a body.
    pub async fn send<B: Serialize, T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &B,
        wait: Duration,
    ) -> Result<T, ClientError> {
        let body = Bytes::from(serde_json::to_vec(body)?);
        self.exchange(method, path, body, wait).await
    }

    async fn exchange<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<T, ClientError> {
        let server = self.server;
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{server}{path}"))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))?;
        let answer = self
            .client
            .exchange(request, REQUEST_TIMEOUT + wait)
            .await
            .map_err(|source| ClientError::Http { server, source })?;
        let status = answer.status;
        let malformed = ClientError::Malformed { server, status };
        if status.is_success() {
            return answer.json().ok_or(malformed);
        }
        match answer.json::<ErrorBody>() {
            Some(ErrorBody { error: detail }) => Err(ClientError::Refused { status, detail }),
            None => Err(malformed),
        }
    }
}
