//! Converts the settings to the gateway's configuration of routes and pools.

use havenstage_rollout::ids::{ModelName, PoolName};
use havenstage_rollout::residency::Residency;
use havenstage_rollout::route::{
    CallerLimits, Pool, RequestKind, Route, RoutingConfig, WeightedPool,
};

use super::{PoolSettings, RouteKind, RouteSettings, ServeSettings};

/// Time after which an item of a batch may be given up, in milliseconds: the maximum duration of a training
/// step.
const GIVE_UP_AFTER_MS: u64 = 26 * 60 * 1_000;
/// Number of tokens in one event of an emulated engine's stream.
const TOKENS_PER_EVENT: u32 = 1;

impl RouteKind {
    fn request_kind(self) -> RequestKind {
        match self {
            Self::Call => RequestKind::Repeatable,
            Self::CallOnce => RequestKind::AtMostOnce,
            Self::Stream => RequestKind::Stream { resumable: true },
            Self::Batch => RequestKind::Batch,
        }
    }
}

impl ServeSettings {
    /// Returns the configuration, with each route at each host. `version` must increase with each change.
    pub fn routing(&self, version: u64) -> RoutingConfig {
        let routes = self.hosts.iter().flat_map(|host| {
            let routes = self.routes.iter();
            routes.map(move |route| route.to_route(host))
        });
        RoutingConfig {
            version,
            routes: routes.collect(),
            pools: self.pools.iter().map(PoolSettings::to_pool).collect(),
            limits: CallerLimits::default(),
            tenants: Vec::new(),
        }
    }
}

impl PoolSettings {
    fn to_pool(&self) -> Pool {
        Pool {
            name: PoolName::from(self.name.as_str()),
            connections: self.connections,
            models: vec![ModelName::from(self.model.as_str())],
            tokens_per_event: TOKENS_PER_EVENT,
            memory_tokens: None,
            scaling: None,
            cold_limit: None,
        }
    }
}

impl RouteSettings {
    fn to_route(&self, host: &str) -> Route {
        let pools = self.pools.iter().map(|share| WeightedPool {
            pool: PoolName::from(share.pool.as_str()),
            weight: share.weight,
        });
        Route {
            name: self.name.clone(),
            host: host.to_owned(),
            path_prefix: self.path_prefix.clone(),
            kind: self.kind.request_kind(),
            timeout_ms: self.timeout_ms,
            objective_ms: self.objective_ms,
            attempts: self.attempts,
            priority: self.priority,
            pools: pools.collect(),
            due_ms: None,
            give_up_after_ms: (self.kind == RouteKind::Batch).then_some(GIVE_UP_AFTER_MS),
            single_version: false,
            is_public: true,
            residency: Residency::anywhere(),
        }
    }
}
