//! Tests of the choice of a route by host and path, and of a pool by weight.

use havenstage_rollout::ids::PoolName;
use havenstage_rollout::residency::Residency;
use havenstage_rollout::route::{
    CallerLimits, RequestKind, Route, RouteTable, RoutingConfig, WeightedPool,
};

fn route(name: &str, prefix: &str, weights: &[(&str, u32)]) -> Route {
    let weighted = |(pool, weight): &(&str, u32)| WeightedPool {
        pool: PoolName::from(*pool),
        weight: *weight,
    };
    Route {
        name: name.to_owned(),
        host: "Host.Example".to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RequestKind::Repeatable,
        timeout_ms: 1_000,
        objective_ms: 100,
        attempts: 2,
        priority: 0,
        pools: weights.iter().map(weighted).collect(),
        due_ms: None,
        give_up_after_ms: None,
        single_version: false,
        is_public: false,
        residency: Residency::anywhere(),
    }
}

fn table(routes: Vec<Route>) -> RouteTable {
    RouteTable::new(RoutingConfig {
        version: 1,
        routes,
        pools: Vec::new(),
        limits: CallerLimits::default(),
        tenants: Vec::new(),
    })
}

#[test]
fn the_longest_prefix_wins() {
    let table = table(vec![
        route("short", "/a/", &[]),
        route("long", "/a/b/", &[]),
    ]);
    let name = |path: &str| {
        table
            .find("host.example:80", path)
            .map(|route| route.name.clone())
    };
    assert_eq!(name("/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("/a/c").as_deref(), Some("short"));
    assert_eq!(name("/ab/c"), None);
    assert!(table.find("other.example", "/a/b/c").is_none());
}

#[test]
fn requests_are_split_over_pools_by_weight() {
    let route = route("split", "/", &[("big", 90), ("small", 10), ("none", 0)]);
    let chosen: Vec<&PoolName> = (0..1_000).filter_map(|hash| route.pool_for(hash)).collect();
    let count = |name: &str| chosen.iter().filter(|pool| pool.as_str() == name).count();
    assert_eq!((count("big"), count("small"), count("none")), (900, 100, 0));
}

#[test]
fn a_route_whose_weights_are_all_zero_has_no_pool() {
    assert_eq!(route("empty", "/", &[("none", 0)]).pool_for(7), None);
}
