//! JSON documents in which operators read resources.

use std::fmt;
use std::str::FromStr;

use havenstage_gateway::context::Context;
use havenstage_rollout::backend::BackendRecord;
use havenstage_rollout::route::{Pool, RequestKind, Route, RoutingConfig};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use thiserror::Error;

/// Kinds of resources. Paths and documents name them in the plural.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ResourceKind {
    /// Pools of engines.
    Pools,
    /// Routes for the requests of callers and trainers.
    Routes,
    /// Engines in the directory of back ends.
    Engines,
}

impl fmt::Display for ResourceKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Pools => "pools",
            Self::Routes => "routes",
            Self::Engines => "engines",
        })
    }
}

/// The text names no kind of resource.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("kind {0}: allowed are pools, routes and engines")]
pub struct UnknownKind(pub String);

impl FromStr for ResourceKind {
    type Err = UnknownKind;

    fn from_str(text: &str) -> Result<Self, UnknownKind> {
        match text {
            "pools" => Ok(Self::Pools),
            "routes" => Ok(Self::Routes),
            "engines" => Ok(Self::Engines),
            _ => Err(UnknownKind(text.to_owned())),
        }
    }
}

/// A resource as the node knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KnownResource {
    /// Name of the resource.
    pub name: String,
    /// Version of the configuration that contains the resource; `None` for an engine, which is not part of
    /// the configuration.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// Specification and state of the resource, with fields that depend on its kind.
    pub spec: Value,
}

/// All resources of a kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KnownResources {
    /// The resources that the node knows.
    pub items: Vec<KnownResource>,
    /// Age of this knowledge: milliseconds since the start of the node's last read that left nothing unread.
    pub age_ms: u64,
}

/// Answer to a watch: the resources of a kind after a change, or unchanged if the wait ended first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchAnswer {
    /// Digest of the resources, which the next watch passes as `seen`.
    pub state: u64,
    /// The resources and their age.
    #[serde(flatten)]
    pub known: KnownResources,
}

/// Returns the pools of a configuration, with the number of their engines that the node knows.
pub(super) fn pools(config: &RoutingConfig, context: &Context) -> Vec<KnownResource> {
    let pools = config.pools.iter();
    let known = pools.map(|pool| KnownResource {
        name: pool.name.to_string(),
        revision: Some(config.version),
        spec: pool_spec(pool, context),
    });
    known.collect()
}

fn pool_spec(pool: &Pool, context: &Context) -> Value {
    let backends = context.backends.lock();
    let listed = backends.list.all();
    let engines: Vec<&BackendRecord> = listed
        .map(|(_, record)| record)
        .filter(|record| record.pool == pool.name)
        .collect();
    let leaving = engines.iter().filter(|record| record.draining);
    json!({
        "models": pool.models,
        "connections": pool.connections,
        "engines": engines.len(),
        "engines_leaving": leaving.count(),
    })
}

/// Returns the routes of a configuration; a route appears once for each host.
pub(super) fn routes(config: &RoutingConfig) -> Vec<KnownResource> {
    let routes = config.routes.iter();
    let known = routes.map(|route| KnownResource {
        name: route.name.clone(),
        revision: Some(config.version),
        spec: route_spec(route),
    });
    known.collect()
}

fn route_spec(route: &Route) -> Value {
    let pools = route.pools.iter();
    let pools = pools.map(|share| json!({ "pool": share.pool, "weight": share.weight }));
    json!({
        "host": route.host,
        "path_prefix": route.path_prefix,
        "kind": kind_name(route.kind),
        "pools": pools.collect::<Vec<_>>(),
        "timeout_ms": route.timeout_ms,
        "objective_ms": route.objective_ms,
        "attempts": route.attempts,
        "priority": route.priority,
    })
}

fn kind_name(kind: RequestKind) -> &'static str {
    match kind {
        RequestKind::Repeatable => "call",
        RequestKind::AtMostOnce => "call_once",
        RequestKind::Stream { .. } => "stream",
        RequestKind::Batch => "batch",
    }
}

/// Returns the engines that the node knows.
pub(super) fn engines(context: &Context) -> Vec<KnownResource> {
    let backends = context.backends.lock();
    let listed = backends.list.all();
    let known = listed.map(|(name, record)| KnownResource {
        name: name.to_owned(),
        revision: None,
        spec: json!({
            "pool": record.pool,
            "zone": record.zone,
            "address": record.address,
            "slots": record.slots,
            "is_leaving": record.draining,
            "models": record.models,
            "started_at_ms": record.started_at,
        }),
    });
    known.collect()
}
