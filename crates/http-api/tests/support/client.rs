//! Sends requests to the interface of a node, in process.

use axum::Router;
use axum::body::Body;
use havenstage_http_api::router::router;
use havenstage_http_api::settings::HttpApiSettings;
use havenstage_http_api::state::ApiState;
use http::{Request, Response};
use http_body_util::BodyExt;
use serde_json::Value;
use tower::ServiceExt;

use crate::support::node;

/// The interface of [`node`].
fn api() -> Router {
    let settings = HttpApiSettings {
        max_body_bytes: 1_024,
        ..HttpApiSettings::default()
    };
    router(ApiState::new(node(), settings))
}

/// Sends one request to a fresh interface.
pub async fn send(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Answer {
    let mut request = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Body::from(body.to_owned()))
        .expect("request is well formed");
    let response = api()
        .oneshot(request)
        .await
        .expect("the router never fails");
    Answer::read(response).await
}

/// A response read to its end.
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Body as text.
    pub text: String,
}

impl Answer {
    /// Reads a response to its end.
    pub async fn read(response: Response<Body>) -> Self {
        let (parts, body) = response.into_parts();
        let body = body.collect().await.expect("the body is whole").to_bytes();
        Self {
            status: parts.status.as_u16(),
            headers: parts.headers,
            text: String::from_utf8(body.to_vec()).expect("the body is text"),
        }
    }

    /// The body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).expect("the body is JSON")
    }

    /// `error.code` of the body.
    pub fn code(&self) -> String {
        let json = self.json();
        json["error"]["code"].as_str().expect("a code").to_owned()
    }
}
