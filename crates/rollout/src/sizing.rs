//! Autoscaling: how many back ends of a pool are ordered in each zone where the platform starts and stops them on
//! demand.
//!
//! A pool grows when nearly all its slots are occupied for a while and a batch is about to be late: work then waits for
//! slots that it needs now. Occupied slots alone are no reason to grow, as every step of a trainer begins with a burst
//! that occupies them all.

use std::collections::BTreeMap;

use crate::Millis;
use crate::ids::{PoolName, ZoneName};

/// Limits and prices for scaling a pool.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolScaling {
    /// Minimum number of back ends per zone.
    pub min_backends: u32,
    /// Maximum number of back ends per zone.
    pub max_backends: u32,
    /// Milliseconds from an order until a new back end serves; the pool does not grow again sooner.
    pub boot_ms: Millis,
    /// Relative price of a back end per second in each zone. Back ends are added only in these zones, the cheapest first.
    pub zone_prices: BTreeMap<ZoneName, f64>,
}

/// Number of back ends in each zone.
pub type ZoneSizes = BTreeMap<ZoneName, u32>;

/// The current load of a pool.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolLoad {
    /// Number of back ends that accept work, by zone.
    pub ready: ZoneSizes,
    /// Total number of slots of these back ends.
    pub slots: u32,
    /// Number of items that run on these back ends.
    pub running_items: u32,
    /// Whether an open batch has used up most of the time until it is due.
    pub is_behind: bool,
}

/// Share of occupied slots from which a pool counts as full. It is below 1 because slots become free and are occupied
/// again all the time.
const FULL_SHARE: f64 = 0.9;
/// Time for which a pool must be full before it grows: a shorter burst is over before new back ends serve.
const MIN_FULL_MS: Millis = 600;
/// Share of its size by which a pool grows at a time.
const GROWTH_SHARE: f64 = 0.25;

/// Decides when a pool grows, and in which zones.
#[derive(Debug, Default)]
pub struct PoolSizer {
    full_since: Option<Millis>,
    grown_at: Option<Millis>,
    /// Largest number of back ends observed in each zone.
    max_observed: ZoneSizes,
}

impl PoolSizer {
    /// Records the number of back ends that accept work now. An order sets the size of a whole zone, so back ends that are
    /// temporarily missing (crashed or not listed) must still be counted, or the order would remove others.
    pub fn observe_ready(&mut self, ready: &ZoneSizes) {
        raise_to(&mut self.max_observed, ready);
    }

    /// Plans the sizes to order, given those ordered last and the time `now` in milliseconds; `None` if nothing changes.
    pub fn plan(
        &mut self,
        scaling: &PoolScaling,
        ordered: &ZoneSizes,
        load: &PoolLoad,
        now: Millis,
    ) -> Option<ZoneSizes> {
        let is_full = f64::from(load.running_items) >= f64::from(load.slots) * FULL_SHARE;
        if !(is_full && load.is_behind) || load.slots == 0 {
            self.full_since = None;
            return None;
        }
        let full_since = *self.full_since.get_or_insert(now);
        let has_booted = self
            .grown_at
            .is_none_or(|at| now.saturating_sub(at) > scaling.boot_ms);
        if now.saturating_sub(full_since) < MIN_FULL_MS || !has_booted {
            return None;
        }
        self.grown_at = Some(now);
        self.full_since = None;
        let mut base = ordered.clone();
        raise_to(&mut base, &self.max_observed);
        Some(grown(scaling, &base))
    }
}

/// Raises each size to the one in `others` if that is larger.
fn raise_to(sizes: &mut ZoneSizes, others: &ZoneSizes) {
    for (zone, other) in others {
        let size = sizes.entry(zone.clone()).or_default();
        *size = (*size).max(*other);
    }
}

/// The sizes after growing by [`GROWTH_SHARE`], cheapest zones first, each up to its maximum.
fn grown(scaling: &PoolScaling, ordered: &ZoneSizes) -> ZoneSizes {
    let total: u32 = ordered.values().sum();
    let mut missing = (f64::from(total) * GROWTH_SHARE).ceil() as u32;
    let mut zones: Vec<(&ZoneName, f64)> = scaling
        .zone_prices
        .iter()
        .map(|(zone, price)| (zone, *price))
        .collect();
    zones.sort_by(|left, right| left.1.total_cmp(&right.1));
    let mut sizes = ordered.clone();
    for (zone, _) in zones {
        let size = sizes.entry(zone.clone()).or_default();
        let added = missing.min(scaling.max_backends.saturating_sub(*size));
        *size = (*size + added).max(scaling.min_backends);
        missing -= added;
    }
    sizes
}

/// The sizes that were ordered last, by pool.
pub type OrderedSizes = BTreeMap<PoolName, ZoneSizes>;
