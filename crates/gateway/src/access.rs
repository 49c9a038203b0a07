//! Callers' keys at the edge of a node: whose request it is, and what back ends are told of that.

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

/// Who makes a request on a route. That it is turned away is told.
pub(crate) fn admit(
    context: &Context,
    table: &RouteTable,
    route: &Route,
    head: &Parts,
) -> Result<Caller, Denied> {
    let caller = presented_key(context, head).and_then(|key| table.admit(route, key));
    caller.inspect_err(|denied| tell_denied(context, table, head, *denied))
}

/// Who makes a call on a batch that was handed in; that it is turned away is told. Before a configuration is known,
/// batches that belong to no tenant are still there for everybody.
pub(crate) async fn admit_to_batches(context: &Context, head: &Parts) -> Result<Caller, Denied> {
    let Some(table) = context.routes_soon().await else {
        return Ok(Caller::Unverified);
    };
    let host = request_host(head).unwrap_or_default();
    let caller = presented_key(context, head).and_then(|key| table.admit_to_batches(&host, key));
    caller.inspect_err(|denied| tell_denied(context, &table, head, *denied))
}

/// The answer to a caller that is turned away.
pub(crate) fn unauthorized() -> Response<Body> {
    empty_response(StatusCode::UNAUTHORIZED)
}

/// The key that a request presents. One that cannot be a key, or several, are a key that nobody holds.
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

fn tell_denied(context: &Context, table: &RouteTable, head: &Parts, denied: Denied) {
    let id = head.headers.get(&context.dialect.headers().request_id);
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
    metrics::caller_denied(denied);
    info!(event = "caller_denied", request = id, path = head.uri.path(),
        reason = denied.to_string().as_str(), routes_version = table.version(),
        contact_age_ms = context.contact_age(), status = 401u16; "");
}

/// Puts the tenant's name into the headers for a back end and takes out what the caller said of that: its key
/// is a secret, and the name is the system's word.
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
