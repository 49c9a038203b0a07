//! Extractors whose rejections are typed JSON errors.

use axum::body::Bytes;
use axum::extract::rejection::BytesRejection;
use axum::extract::{FromRequest, FromRequestParts, Path, Query, Request};
use http::StatusCode;
use http::request::Parts;
use serde::de::DeserializeOwned;

use crate::error::ApiError;
use crate::state::ApiState;

/// A JSON body. The content type is not looked at, so that a plain `curl -d` works.
pub struct ApiJson<T>(pub T);

impl<T: DeserializeOwned> FromRequest<ApiState> for ApiJson<T> {
    type Rejection = ApiError;

    async fn from_request(request: Request, state: &ApiState) -> Result<Self, ApiError> {
        let body = Bytes::from_request(request, state)
            .await
            .map_err(|rejection| body_error(&rejection, state))?;
        serde_json::from_slice(&body)
            .map(Self)
            .map_err(|error| ApiError::malformed(error.to_string()))
    }
}

fn body_error(rejection: &BytesRejection, state: &ApiState) -> ApiError {
    if rejection.status() == StatusCode::PAYLOAD_TOO_LARGE {
        return ApiError::body_too_large(state.settings().max_body_bytes);
    }
    ApiError::malformed(rejection.body_text())
}

/// Parameters of the query.
pub struct ApiQuery<T>(pub T);

impl<T: DeserializeOwned> FromRequestParts<ApiState> for ApiQuery<T> {
    type Rejection = ApiError;

    async fn from_request_parts(parts: &mut Parts, state: &ApiState) -> Result<Self, ApiError> {
        let query = Query::<T>::from_request_parts(parts, state)
            .await
            .map_err(|rejection| ApiError::BadParameter {
                detail: rejection.body_text(),
            })?;
        Ok(Self(query.0))
    }
}

/// Segments of the path.
pub struct ApiPath<T>(pub T);

impl<T: DeserializeOwned + Send> FromRequestParts<ApiState> for ApiPath<T> {
    type Rejection = ApiError;

    async fn from_request_parts(parts: &mut Parts, state: &ApiState) -> Result<Self, ApiError> {
        let path = Path::<T>::from_request_parts(parts, state)
            .await
            .map_err(|rejection| ApiError::BadParameter {
                detail: rejection.body_text(),
            })?;
        Ok(Self(path.0))
    }
}
