//! How many back ends of a pool are ordered in each zone, where the platform starts and stops them on demand.
//!
//! A pool grows when its slots are all running_items for a while and a batch is about to be late: work then waits for
//! slots that it needs now. Places that are all running_items say nothing alone, as every step of a trainer begins with
//! a burst that takes them.

use std::collections::BTreeMap;

use crate::Millis;
use crate::ids::{PoolName, ZoneName};

/// What may be ordered of a pool.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolScaling {
    /// Fewest back ends in a zone.
    pub min_backends: u32,
    /// Most back ends in a zone.
    pub max_backends: u32,
    /// Milliseconds from an order until a new back end serves.
    pub boot_ms: Millis,
    /// What a second of a back end costs in each zone, relative to others.
    pub zone_prices: BTreeMap<ZoneName, f64>,
}

/// Back ends that are wanted in each zone.
pub type ZoneSizes = BTreeMap<ZoneName, u32>;

/// A pool as it is now.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolLoad {
    /// Back ends that take work, by zone.
    pub ready: ZoneSizes,
    /// Places of all of them.
    pub slots: u32,
    /// Items that run there.
    pub running_items: u32,
    /// Whether an open batch has used up most of the time within which it is due.
    pub is_behind: bool,
}

/// Share of the slots that are running_items from which on work is running_items to wait: slots fall free and are running_items again
/// all the time.
const FULL_SHARE: f64 = 0.9;
/// Time for which a pool must be full to grow: a burst that ends sooner is over before new back ends serve.
const FULL_FOR_MS: Millis = 600;
/// Share by which a pool grows at a time.
const GROWTH: f64 = 0.25;

/// Decides the sizes of a pool.
#[derive(Debug, Default)]
pub struct PoolSizer {
    full_since: Option<Millis>,
    grown_at: Option<Millis>,
    /// Most back ends that each zone was seen to have.
    most_seen: ZoneSizes,
}

impl PoolSizer {
    /// So many back ends take work now. Those that are missing for a moment (ended, or not listed) must not be ordered
    /// away: a size is that of a whole zone.
    pub fn observe_ready(&mut self, ready: &ZoneSizes) {
        raise_to(&mut self.most_seen, ready);
    }

    /// The sizes to be ordered, given those ordered last; `None` if nothing is to change.
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
        if now.saturating_sub(full_since) < FULL_FOR_MS || !has_booted {
            return None;
        }
        self.grown_at = Some(now);
        self.full_since = None;
        let mut base = ordered.clone();
        raise_to(&mut base, &self.most_seen);
        Some(grown(scaling, &base))
    }
}

/// Raises sizes to those that are larger elsewhere.
fn raise_to(sizes: &mut ZoneSizes, others: &ZoneSizes) {
    for (zone, other) in others {
        let size = sizes.entry(zone.clone()).or_default();
        *size = (*size).max(*other);
    }
}

/// Sizes with a share more back ends, cheapest zones first, as far as each may grow.
fn grown(scaling: &PoolScaling, ordered: &ZoneSizes) -> ZoneSizes {
    let total: u32 = ordered.values().sum();
    let mut missing = (f64::from(total) * GROWTH).ceil() as u32;
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

/// Sizes that were ordered, by pool.
pub type OrderedSizes = BTreeMap<PoolName, ZoneSizes>;
