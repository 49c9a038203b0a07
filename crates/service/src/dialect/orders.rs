//! Orders to engines, and their reports.

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

/// An order to load a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadOrder {
    /// The model.
    pub model: String,
    /// The version.
    pub version: Version,
    /// Whether running requests go on under the new version; else they end first.
    pub keeps_running: bool,
    /// Who gives it.
    pub holder: String,
    /// The holder's fencing token: an engine refuses a lower one than it has seen.
    pub fence: u64,
    /// Orders that the engine must have taken so far, if known.
    pub expected_orders: Option<u64>,
}

/// What an engine reports of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReportBody {
    /// Versions of its models.
    pub models: BTreeMap<String, Version>,
    /// Whether an order is under way.
    pub is_loading: bool,
    /// Orders it has taken.
    pub orders_taken: u64,
    /// When it started, in milliseconds since the beginning of 1970.
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
    // Without a body the engine refuses the order.
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
