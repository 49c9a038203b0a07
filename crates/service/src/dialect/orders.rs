//! Requests that send orders to engines and read their reports.

use std::collections::BTreeMap;

use bytes::Bytes;
use havenstage_gateway::edge::{BackendReport, LoadMode, VersionOrder};
use havenstage_rollout::ids::{ModelName, Version};
use http::{HeaderValue, Method, Request, Uri, header};
use http_body_util::Full;
use log::error;
use serde::{Deserialize, Serialize};

use super::JSON;
use super::names::{ENGINE_ORDER_PATH, ENGINE_REPORT_PATH};

/// JSON body of an order to load a weight version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadOrder {
    /// Name of the model.
    pub model: String,
    /// Weight version to load.
    pub version: Version,
    /// Whether running requests continue with the new version. If false, the engine finishes them before
    /// it loads.
    pub keeps_running: bool,
    /// Node that holds the order lease and sends the order.
    pub holder: String,
    /// The holder's fencing token. An engine rejects an order whose token is lower than one it has seen.
    pub fence: u64,
    /// Number of orders that the engine must have accepted before this one; `None` if the sender does
    /// not know it.
    pub expected_orders: Option<u64>,
}

/// JSON body of an engine's report on its state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReportBody {
    /// Weight version of each model that the engine holds.
    pub models: BTreeMap<String, Version>,
    /// Whether the engine is carrying out an order.
    pub is_loading: bool,
    /// Number of orders that the engine has accepted since it started.
    pub orders_taken: u64,
    /// When the engine started, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
}

pub(super) fn order_request(order: &VersionOrder) -> Request<Full<Bytes>> {
    let body = LoadOrder {
        model: order.model.to_string(),
        version: order.version,
        keeps_running: order.mode == LoadMode::Retain,
        holder: order.holder.clone(),
        fence: order.fence,
        expected_orders: order.expected_orders,
    };
    // If the order cannot be serialized, the body is empty and the engine rejects the order.
    let bytes = serde_json::to_vec(&body).unwrap_or_else(|error| {
        error!(event = "order_not_written", reason = error.to_string().as_str(); "");
        Vec::new()
    });
    request(Method::POST, ENGINE_ORDER_PATH, Bytes::from(bytes))
}

pub(super) fn report_request() -> Request<Full<Bytes>> {
    request(Method::GET, ENGINE_REPORT_PATH, Bytes::new())
}

pub(super) fn read_report(body: &[u8]) -> Option<BackendReport> {
    let report: EngineReportBody = serde_json::from_slice(body).ok()?;
    let models = report.models.into_iter();
    Some(BackendReport {
        models: models
            .map(|(model, version)| (ModelName::from(model), version))
            .collect(),
        busy: report.is_loading,
        orders_taken: report.orders_taken,
        started_at: Some(report.started_at_ms),
    })
}

fn request(method: Method, path: &'static str, body: Bytes) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = Uri::from_static(path);
    let headers = request.headers_mut();
    headers.insert(header::HOST, HeaderValue::from_static("engine"));
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(JSON));
    request
}
