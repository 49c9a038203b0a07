//! Reward calls wait in this node for their turn, so that no more are under way to a pool than it takes.
//!
//! The load that this answers: the items of a step end together and bring hundreds of reward calls at once to a
//! pool of a few applications. Turned away, they were tried again each 8 ms; that, and the connections for it,
//! took the places that callers' requests needed. 150 calls to 4 places of 20 ms are turned away 190 times
//! instead of 3,421 to 3,900 (`tests/reward_limiter.rs`).

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use havenstage_rollout::concurrency_limit::{CallEnd, ConcurrencyLimit};
use havenstage_rollout::ids::PoolName;
use tokio::sync::Notify;

use crate::edge::NodeClock;

/// Waiters that are woken when a call ends: the one that takes its place, and one more as the limit may have risen.
const WOKEN_BY_AN_END: usize = 2;

/// The limits of all pools.
pub(crate) struct RewardLimiter {
    clock: NodeClock,
    pools: Mutex<HashMap<PoolName, Arc<PoolLimiter>>>,
}

/// The limit of a pool, and those who wait for it. Each pool has waiters of its own: with one queue for all, those
/// of a slow pool were woken by the ends of another one's calls and left its places empty.
#[derive(Default)]
struct PoolLimiter {
    limit: Mutex<ConcurrencyLimit>,
    ended: Notify,
}

/// The right to have one reward call under way.
pub(crate) struct RewardPermit {
    clock: NodeClock,
    pool: Arc<PoolLimiter>,
    /// This node's even share of the pool's places.
    share: u32,
    end: CallEnd,
}

impl RewardLimiter {
    pub(crate) fn new(clock: NodeClock) -> Self {
        Self {
            clock,
            pools: Mutex::default(),
        }
    }

    /// Waits until one more reward call may be made to a pool.
    /// `share` is this node's even share of the pool's places.
    pub(crate) async fn acquire(&self, pool: &PoolName, share: u32) -> RewardPermit {
        let pool = self.pool(pool);
        loop {
            let ended = pool.ended.notified();
            if pool.lock().try_start() {
                break;
            }
            ended.await;
        }
        RewardPermit {
            clock: self.clock,
            pool,
            share,
            end: CallEnd::Unknown,
        }
    }

    fn pool(&self, name: &PoolName) -> Arc<PoolLimiter> {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        pools.entry(name.clone()).or_default().clone()
    }
}

impl PoolLimiter {
    fn lock(&self) -> MutexGuard<'_, ConcurrencyLimit> {
        self.limit.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RewardPermit {
    /// The call has ended so.
    pub(crate) fn finish(mut self, end: CallEnd) {
        self.end = end;
    }
}

impl Drop for RewardPermit {
    fn drop(&mut self) {
        let now = self.clock.now();
        self.pool.lock().record_end(self.end, self.share, now);
        for _ in 0..WOKEN_BY_AN_END {
            self.pool.ended.notify_one();
        }
    }
}
