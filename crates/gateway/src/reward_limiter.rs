//! Limits the reward calls that this node has in flight to each pool; further ones wait.
//!
//! The items of a training step end together and cause hundreds of reward calls at once to a pool of a few
//! applications. Without a limit, each rejected call is sent again every 8 ms, and these retries and their
//! connections take the slots that callers' requests need: 150 calls to 4 slots of 20 ms are rejected 3,421 to
//! 3,900 times without the limit and 190 times with it (`tests/reward_limiter.rs`).

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use havenstage_rollout::concurrency_limit::{CallEnd, ConcurrencyLimit};
use havenstage_rollout::ids::PoolName;
use tokio::sync::Notify;

use crate::edge::NodeClock;

/// Waiters that are woken when a call ends: one for the freed slot, and one more because the limit may have risen.
const WAITERS_WOKEN_PER_END: usize = 2;

/// Concurrency limits of the reward calls of this node, one for each pool.
pub(crate) struct RewardLimiter {
    clock: NodeClock,
    pools: Mutex<HashMap<PoolName, Arc<PoolLimiter>>>,
}

/// Limit of one pool, and the calls that wait for it. Each pool has its own waiters: with one queue for all pools, the
/// end of a call to a fast pool would wake waiters of a slow one, and slots of the fast pool would stay empty.
#[derive(Default)]
struct PoolLimiter {
    limit: Mutex<ConcurrencyLimit>,
    ended: Notify,
}

/// Permit to have one reward call in flight. Dropping it frees the slot.
pub(crate) struct RewardPermit {
    clock: NodeClock,
    pool: Arc<PoolLimiter>,
    /// This node's even share of the pool's slots.
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

    /// Waits until one more reward call may be made to a pool. `share` is this node's even share of the pool's
    /// slots.
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
    /// Frees the slot and records how the call ended, from which the limit is adjusted.
    pub(crate) fn finish(mut self, end: CallEnd) {
        self.end = end;
    }
}

impl Drop for RewardPermit {
    fn drop(&mut self) {
        let now = self.clock.now();
        self.pool.lock().record_end(self.end, self.share, now);
        for _ in 0..WAITERS_WOKEN_PER_END {
            self.pool.ended.notify_one();
        }
    }
}
