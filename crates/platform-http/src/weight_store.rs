//! Wire format of the weight store: a version is stored with `PUT` and fetched with `GET` on
//! `/models/{model}/versions/{number}`;
//! `/info` below that path answers whether it is there without the weights themselves.

use std::net::SocketAddr;

use async_trait::async_trait;
use havenstage_edge::weight_store::{WeightStore, WeightStoreError};
use havenstage_types::ids::{ModelName, VersionNumber};
use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::http_client::HttpClient;

/// What the store says about a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionInfo {
    /// Size of the stored version in bytes.
    pub size_bytes: u64,
}

/// Path under which the version is stored and fetched.
pub fn version_path(model: &ModelName, version: VersionNumber) -> String {
    format!("/models/{model}/versions/{version}")
}

/// Path that answers a [`VersionInfo`] when the version is stored whole.
pub fn version_info_path(model: &ModelName, version: VersionNumber) -> String {
    format!("/models/{model}/versions/{version}/info")
}

/// Client of the weight store.
#[derive(Debug, Clone)]
pub struct HttpWeightStore {
    client: HttpClient,
    server: SocketAddr,
}

impl HttpWeightStore {
    /// A client of the weight store at `server`.
    pub fn new(client: HttpClient, server: SocketAddr) -> Self {
        Self { client, server }
    }
}

#[async_trait]
impl WeightStore for HttpWeightStore {
    async fn exists(
        &self,
        model: &ModelName,
        version: VersionNumber,
    ) -> Result<bool, WeightStoreError> {
        let answer = self
            .client
            .get(self.server, &version_info_path(model, version))
            .await
            .map_err(|_| WeightStoreError::Unavailable)?;
        match answer.status {
            StatusCode::OK => {
                let info: Option<VersionInfo> = answer.json();
                info.map(|_| true).ok_or(WeightStoreError::Malformed)
            }
            StatusCode::NOT_FOUND => Ok(false),
            StatusCode::TOO_MANY_REQUESTS => Err(WeightStoreError::RateLimited),
            _ => Err(WeightStoreError::Unavailable),
        }
    }
}
