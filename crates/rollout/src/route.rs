//! Routing table: maps the host and path of a request to a route, and a route to the pools that serve it, with
//! its timeouts, priority and limits.

use std::collections::HashMap;
use std::sync::Arc;

use crate::access::{AccessTable, Caller, Denied, Tenant};
use crate::ids::{ModelName, PoolName, TenantName};
use crate::residency::Residency;
use crate::sizing::PoolScaling;
use crate::slow_start::ColdLimit;

/// How the requests of a route may be executed and retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once, so it is retried at another back end after a failure.
    Repeatable,
    /// Runs at most once for each attempt of a caller: it is not retried once it may have run.
    AtMostOnce,
    /// Answered with a stream of events.
    Stream {
        /// Whether another back end may continue a stream where the first one stopped.
        resumable: bool,
    },
    /// Items that are submitted together and whose results are read later.
    Batch,
}

impl RequestKind {
    /// Whether a request may be sent again after an attempt that may have run.
    pub fn can_repeat(self) -> bool {
        matches!(
            self,
            Self::Repeatable | Self::Batch | Self::Stream { resumable: true }
        )
    }
}

/// A pool that serves a route, with its share of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedPool {
    /// Name of the pool.
    pub pool: PoolName,
    /// Share of the requests, relative to the weights of the route's other pools; 0 gets none.
    pub weight: u32,
}

/// One route of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route in the configuration.
    pub name: String,
    /// Host that requests must name; matched without regard to case or port.
    pub host: String,
    /// Prefix that the path of a request must have; starts and ends with a slash.
    pub path_prefix: String,
    /// How requests may be executed and retried.
    pub kind: RequestKind,
    /// Maximum time that the gateway holds a request before it answers.
    pub timeout_ms: u64,
    /// Latency objective: time within which an answer counts as on time.
    pub objective_ms: u64,
    /// Maximum number of back ends that one request may run on.
    pub attempts: u32,
    /// Rank of the requests, where 0 is the most urgent; a tenant's own rank overrides it.
    pub priority: u32,
    /// Pools that serve the route, with their weights.
    pub pools: Vec<WeightedPool>,
    /// Time within which a batch should be complete; `None` where a batch has no deadline.
    pub due_ms: Option<u64>,
    /// Time after which an item of a batch may be given up; `None` uses the default of the gateway.
    pub give_up_after_ms: Option<u64>,
    /// Whether all events of a result must come from the same model version.
    pub single_version: bool,
    /// Whether callers without an API key are admitted.
    pub is_public: bool,
    /// Regions in which requests may be served and their data stored.
    pub residency: Residency,
}

impl Route {
    /// Chooses the pool for a request by its hash, in proportion to the weights; `None` if all weights are 0.
    pub fn pool_for(&self, request_hash: u64) -> Option<&PoolName> {
        let total: u64 = self.pools.iter().map(|pool| u64::from(pool.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut remaining = request_hash % total;
        for pool in &self.pools {
            if remaining < u64::from(pool.weight) {
                return Some(&pool.pool);
            }
            remaining -= u64::from(pool.weight);
        }
        None
    }
}

/// A pool of back ends.
#[derive(Debug, Clone, PartialEq)]
pub struct Pool {
    /// Name by which routes and back ends refer to the pool.
    pub name: PoolName,
    /// Maximum number of connections that one back end accepts from all callers together.
    pub connections: u32,
    /// Models whose versions the system rolls out to the pool; empty for back ends that serve no models.
    pub models: Vec<ModelName>,
    /// Number of tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Tokens that fit into the memory of one back end; `None` where the configuration doesn't say.
    pub memory_tokens: Option<u32>,
    /// Bounds for automatic scaling; `None` where operators set the size of the pool.
    pub scaling: Option<PoolScaling>,
    /// Request rate limit of a back end that has just started; `None` where back ends start warm.
    pub cold_limit: Option<ColdLimit>,
}

/// Limits on requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a whole request head.
    pub head_timeout_ms: u64,
    /// Maximum time that a connection may be idle between requests.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 32 * 1024 * 1024,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// The routing part of the configuration, as operators wrote it.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingConfig {
    /// Version of the configuration; increases with each change.
    pub version: u64,
    /// Routes of all hosts, in any order.
    pub routes: Vec<Route>,
    /// Pools that the routes refer to by name.
    pub pools: Vec<Pool>,
    /// Limits on requests and connections of callers.
    pub limits: CallerLimits,
    /// Tenants; if there are none, callers need no API keys.
    pub tenants: Vec<Tenant>,
}

/// An index of a [`RoutingConfig`] for look-ups by host, path, pool and API key.
#[derive(Debug)]
pub struct RouteTable {
    version: u64,
    limits: CallerLimits,
    by_host: HashMap<String, Vec<Arc<Route>>>,
    pools: HashMap<PoolName, Pool>,
    access: AccessTable,
}

impl RouteTable {
    /// Builds the table of the first configuration that a node reads.
    pub fn new(config: RoutingConfig) -> Self {
        Self::replacing(config, None)
    }

    /// Builds the table of a configuration that replaces `previous`, and keeps which tenants held an API key before.
    pub fn replacing(config: RoutingConfig, previous: Option<&Self>) -> Self {
        let access =
            AccessTable::replacing(&config.tenants, previous.map(|previous| &previous.access));
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in config.routes {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let pools = config
            .pools
            .into_iter()
            .map(|pool| (pool.name.clone(), pool))
            .collect();
        Self {
            version: config.version,
            limits: config.limits,
            by_host,
            pools,
            access,
        }
    }

    /// Version of the configuration that the table was built from.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Limits on requests and connections of callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// The route of the host whose path prefix is the longest match. A port in the host is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes_for_host(host)?
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    fn routes_for_host(&self, host: &str) -> Option<&[Arc<Route>]> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        self.by_host.get(&host).map(Vec::as_slice)
    }

    /// Identifies the caller of a request on a route by the API key that the request presents.
    ///
    /// # Errors
    ///
    /// [`Denied`] if the key is unknown, or if the route requires a key and the request has none.
    pub fn admit(&self, route: &Route, key: Option<&str>) -> Result<Caller, Denied> {
        self.access.admit(key, route.is_public)
    }

    /// Identifies the caller of a request about a submitted batch. The path of such a request names no route, so
    /// callers without a key are admitted if any batch route of the host is public.
    ///
    /// # Errors
    ///
    /// [`Denied`] if the key is unknown, or if a key is required and the request has none.
    pub fn admit_to_batches(&self, host: &str, key: Option<&str>) -> Result<Caller, Denied> {
        let routes = self.routes_for_host(host).unwrap_or_default();
        let is_public = routes
            .iter()
            .any(|route| route.kind == RequestKind::Batch && route.is_public);
        self.access.admit(key, is_public)
    }

    /// Regions in which a tenant's request on a route may be served and its data stored: those that both the route
    /// and the tenant allow.
    pub fn residency(&self, route: &Route, tenant: Option<&TenantName>) -> Residency {
        match tenant {
            Some(tenant) => route.residency.and(&self.access.residency_of(tenant)),
            None => route.residency.clone(),
        }
    }

    /// Rank of a tenant's requests on a route, where 0 is the most urgent: the tenant's rank overrides the
    /// route's.
    pub fn priority(&self, route: &Route, tenant: Option<&TenantName>) -> u32 {
        tenant
            .and_then(|tenant| self.access.priority_of(tenant))
            .unwrap_or(route.priority)
    }

    /// Request rate limits of cold back ends, for the pools that have one.
    pub fn cold_limits(&self) -> HashMap<PoolName, ColdLimit> {
        let pools = self.pools.values();
        pools
            .filter_map(|pool| Some((pool.name.clone(), pool.cold_limit?)))
            .collect()
    }

    /// Looks up a pool by its name.
    pub fn pool(&self, name: &PoolName) -> Option<&Pool> {
        self.pools.get(name)
    }

    /// Names of all pools, in no particular order.
    pub fn pool_names(&self) -> impl Iterator<Item = &PoolName> {
        self.pools.keys()
    }

    /// Pools that are scaled automatically, with their bounds.
    pub fn scaled_pools(&self) -> impl Iterator<Item = (&Pool, &PoolScaling)> {
        let pools = self.pools.values();
        pools.filter_map(|pool| Some((pool, pool.scaling.as_ref()?)))
    }

    /// Pools to whose back ends the system rolls out model versions, ordered by name.
    pub fn pools_with_models(&self) -> Vec<&Pool> {
        let mut pools: Vec<&Pool> = self
            .pools
            .values()
            .filter(|pool| !pool.models.is_empty())
            .collect();
        pools.sort_by(|left, right| left.name.cmp(&right.name));
        pools
    }

    /// Whether some route that the pool serves requires each result to come from a single model version.
    pub fn has_single_version_routes(&self, pool: &PoolName) -> bool {
        let mut routes = self.by_host.values().flatten();
        routes.any(|route| {
            route.single_version && route.pools.iter().any(|weighted| weighted.pool == *pool)
        })
    }

    /// The route of a host and path, if it is a batch route.
    pub fn batch_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.find(host, path)
            .filter(|route| route.kind == RequestKind::Batch)
    }
}
