//! Authentication of callers by API key, and the tenant header that back ends receive.

use havenstage_rollout::access::{Caller, Denied};
use havenstage_rollout::ids::TenantName;
use havenstage_rollout::route::{Route, RouteTable};
use http::header::{HeaderMap, HeaderValue};
use http::request::Parts;
use http::{Response, StatusCode};
use log::info;

use crate::context::Context;
use crate::edge::HeaderNames;
use crate::metrics;
use crate::request_head::request_host;
use crate::responses::{Body, empty_response};

/// Authenticates the caller of a request on a route. A denied request is logged and counted.
pub(crate) fn admit(
    context: &Context,
    table: &RouteTable,
    route: &Route,
    head: &Parts,
) -> Result<Caller, Denied> {
    let caller = presented_key(context, head).and_then(|key| table.admit(route, key));
    caller.inspect_err(|denied| record_denial(context, table, head, *denied))
}

/// Authenticates the caller of a request on a submitted batch. A denied request is logged and counted. While no
/// configuration is known, the caller is unverified and reaches only batches without a tenant.
pub(crate) async fn admit_to_batches(context: &Context, head: &Parts) -> Result<Caller, Denied> {
    let Some(table) = context.wait_for_routes().await else {
        return Ok(Caller::Unverified);
    };
    let host = request_host(head).unwrap_or_default();
    let caller = presented_key(context, head).and_then(|key| table.admit_to_batches(&host, key));
    caller.inspect_err(|denied| record_denial(context, &table, head, *denied))
}

/// Response to a caller whose key was denied.
pub(crate) fn unauthorized() -> Response<Body> {
    empty_response(StatusCode::UNAUTHORIZED)
}

/// The key that a request presents; `None` without a key header. A header that is not text, or more than one
/// header, counts as an unknown key.
fn presented_key<'a>(context: &Context, head: &'a Parts) -> Result<Option<&'a str>, Denied> {
    let mut values = head
        .headers
        .get_all(&context.dialect.headers().api_key)
        .iter();
    let Some(first) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(Denied::UnknownKey);
    }
    first.to_str().map(Some).map_err(|_| Denied::UnknownKey)
}

fn record_denial(context: &Context, table: &RouteTable, head: &Parts, denied: Denied) {
    let id = head.headers.get(&context.dialect.headers().request_id);
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
    metrics::caller_denied(denied);
    info!(event = "caller_denied", request = id, path = head.uri.path(),
        reason = denied.to_string().as_str(), routes_version = table.version(),
        contact_age_ms = context.contact_age(), status = 401u16; "");
}

/// Sets the tenant header for a back end, after removing the key and the tenant header that the caller sent. The
/// key is a secret, and only this system may name the tenant.
pub(crate) fn set_tenant_header(
    names: &HeaderNames,
    headers: &mut HeaderMap,
    tenant: Option<&TenantName>,
) {
    headers.remove(&names.api_key);
    headers.remove(&names.tenant);
    let value = tenant.and_then(|tenant| HeaderValue::from_str(tenant.as_str()).ok());
    if let Some(value) = value {
        headers.insert(names.tenant.clone(), value);
    }
}
