//! Routes: which pool serves a host and path, and within which limits.

use std::collections::HashMap;
use std::sync::Arc;

use crate::access::{AccessTable, Caller, Denied, Tenant};
use crate::ids::{ModelName, PoolName, TenantName};
use crate::residency::Residency;
use crate::sizing::PoolScaling;
use crate::slow_start::ColdLimit;

/// How a request on a route may be treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once for each attempt of a caller.
    AtMostOnce,
    /// A stream of events; `resumable` ones may go on at another back end.
    Stream {
        /// Whether another back end may go on where one stopped.
        resumable: bool,
    },
    /// Items handed in together and read later.
    Batch,
}

impl RequestKind {
    /// Whether a request may run again after it may have run.
    pub fn can_repeat(self) -> bool {
        matches!(
            self,
            Self::Repeatable | Self::Batch | Self::Stream { resumable: true }
        )
    }
}

/// A pool's share of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedPool {
    /// The pool.
    pub pool: PoolName,
    /// Its share, relative to the other weights.
    pub weight: u32,
}

/// One route of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Beginning of the path; starts and ends with a slash.
    pub path_prefix: String,
    /// How requests may be treated.
    pub kind: RequestKind,
    /// Longest time a request is held.
    pub timeout_ms: u64,
    /// Time within which an answer is on time.
    pub objective_ms: u64,
    /// Most back ends that one request may run on.
    pub attempts: u32,
    /// 0 is the most urgent.
    pub priority: u32,
    /// Pools that serve it.
    pub pools: Vec<WeightedPool>,
    /// Time within which a batch is to be done.
    pub due_ms: Option<u64>,
    /// Time after which an item of a batch may be given up.
    pub give_up_after_ms: Option<u64>,
    /// Whether every event of a result must come from the same version.
    pub single_version: bool,
    /// Whether callers need no key.
    pub is_public: bool,
    /// Where its requests may be served and their data kept.
    pub residency: Residency,
}

impl Route {
    /// The pool for a request: its hash decides, in proportion to the weights.
    pub fn pool_for(&self, request_hash: u64) -> Option<&PoolName> {
        let total: u64 = self.pools.iter().map(|pool| u64::from(pool.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut ticket = request_hash % total;
        for pool in &self.pools {
            if ticket < u64::from(pool.weight) {
                return Some(&pool.pool);
            }
            ticket -= u64::from(pool.weight);
        }
        None
    }
}

/// A pool of back ends.
#[derive(Debug, Clone, PartialEq)]
pub struct Pool {
    /// Its name.
    pub name: PoolName,
    /// Most connections that one back end accepts from all callers.
    pub connections: u32,
    /// Models whose versions the system rolls out here; empty for plain applications.
    pub models: Vec<ModelName>,
    /// Tokens that one event of a stream holds.
    pub tokens_per_event: u32,
    /// Tokens that the memory of one back end takes; `None` where it is not told.
    pub memory_tokens: Option<u32>,
    /// What may be ordered of it; `None` where its size is the operator's.
    pub scaling: Option<PoolScaling>,
    /// What its back ends bear while they are cold; `None` where they start warm.
    pub cold_limit: Option<ColdLimit>,
}

/// Bounds on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Most bytes of a head.
    pub head_bytes: usize,
    /// Most bytes of a body.
    pub body_bytes: usize,
    /// Longest time for a head.
    pub head_timeout_ms: u64,
    /// Longest time a connection rests between requests.
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

/// A whole configuration of routes.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingConfig {
    /// Rises with each change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All pools.
    pub pools: Vec<Pool>,
    /// Bounds on what callers send.
    pub limits: CallerLimits,
    /// Tenants; without any, callers need no keys.
    pub tenants: Vec<Tenant>,
}

/// A configuration prepared for look-ups.
#[derive(Debug)]
pub struct RouteTable {
    version: u64,
    limits: CallerLimits,
    by_host: HashMap<String, Vec<Arc<Route>>>,
    pools: HashMap<PoolName, Pool>,
    access: AccessTable,
}

impl RouteTable {
    /// Prepares a configuration.
    pub fn new(config: RoutingConfig) -> Self {
        Self::replacing(config, None)
    }

    /// Prepares a configuration that takes the place of `previous`.
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

    /// Version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Bounds on what callers send.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// The route with the longest prefix that begins the path. A port in the host is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes_of(host)?
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    fn routes_of(&self, host: &str) -> Option<&[Arc<Route>]> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        self.by_host.get(&host).map(Vec::as_slice)
    }

    /// Who makes a request on a route, by the key that it presents.
    pub fn admit(&self, route: &Route, key: Option<&str>) -> Result<Caller, Denied> {
        self.access.admit(key, route.is_public)
    }

    /// Who makes a call on a batch that was handed in: its path names no route, so one that takes batches
    /// from anybody at that host is enough.
    pub fn admit_to_batches(&self, host: &str, key: Option<&str>) -> Result<Caller, Denied> {
        let routes = self.routes_of(host).unwrap_or_default();
        let is_public = routes
            .iter()
            .any(|route| route.kind == RequestKind::Batch && route.is_public);
        self.access.admit(key, is_public)
    }

    /// Where a request of a tenant on a route may be served and its data kept: both bind.
    pub fn residency(&self, route: &Route, tenant: Option<&TenantName>) -> Residency {
        match tenant {
            Some(tenant) => route.residency.and(&self.access.residency_of(tenant)),
            None => route.residency.clone(),
        }
    }

    /// Rank of a tenant's requests on a route, where 0 is the most urgent: the tenant's own takes
    /// precedence over the route's.
    pub fn priority(&self, route: &Route, tenant: Option<&TenantName>) -> u32 {
        tenant
            .and_then(|tenant| self.access.priority_of(tenant))
            .unwrap_or(route.priority)
    }

    /// What the back ends of each pool bear while they are cold.
    pub fn cold_limits(&self) -> HashMap<PoolName, ColdLimit> {
        let pools = self.pools.values();
        pools
            .filter_map(|pool| Some((pool.name.clone(), pool.cold_limit?)))
            .collect()
    }

    /// A pool by name.
    pub fn pool(&self, name: &PoolName) -> Option<&Pool> {
        self.pools.get(name)
    }

    /// Names of all pools.
    pub fn pool_names(&self) -> impl Iterator<Item = &PoolName> {
        self.pools.keys()
    }

    /// All pools whose size is to be ordered.
    pub fn scaled_pools(&self) -> impl Iterator<Item = (&Pool, &PoolScaling)> {
        let pools = self.pools.values();
        pools.filter_map(|pool| Some((pool, pool.scaling.as_ref()?)))
    }

    /// All pools whose back ends take orders, in the order of their names.
    pub fn pools_with_models(&self) -> Vec<&Pool> {
        let mut pools: Vec<&Pool> = self
            .pools
            .values()
            .filter(|pool| !pool.models.is_empty())
            .collect();
        pools.sort_by(|left, right| left.name.cmp(&right.name));
        pools
    }

    /// Whether a pool serves batches whose results must come from one version each.
    pub fn has_single_version_routes(&self, pool: &PoolName) -> bool {
        let mut routes = self.by_host.values().flatten();
        routes.any(|route| {
            route.single_version && route.pools.iter().any(|weighted| weighted.pool == *pool)
        })
    }

    /// The route of a host and path, if it takes batches.
    pub fn batch_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.find(host, path)
            .filter(|route| route.kind == RequestKind::Batch)
    }
}
