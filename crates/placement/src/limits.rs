//! Limits on the number of requests that one caller has in flight at this node.

use std::collections::BTreeMap;

use havenstage_types::ids::CallerName;
use havenstage_types::refusal::{Refusal, RefusalReason};

/// Counts the requests in flight of each caller.
#[derive(Debug, Clone, Default)]
pub struct InFlightLimiter {
    in_flight: BTreeMap<CallerName, u32>,
}

impl InFlightLimiter {
    /// Counts one more request of `caller`. A `limit` of `None` means unlimited. Every success must
    /// be followed by one call of [`finish`](Self::finish).
    ///
    /// # Errors
    ///
    /// Returns a refusal when `limit` requests of the caller are in flight already.
    pub fn try_start(&mut self, caller: &CallerName, limit: Option<u32>) -> Result<(), Refusal> {
        let running = self.in_flight(caller);
        if limit.is_some_and(|limit| running >= limit) {
            return Err(Refusal::not_run(RefusalReason::CallerLimit, None));
        }
        self.in_flight.insert(caller.clone(), running + 1);
        Ok(())
    }

    /// Counts one request of `caller` less. The entry of a caller without requests in flight is
    /// removed.
    pub fn finish(&mut self, caller: &CallerName) {
        let Some(running) = self.in_flight.get_mut(caller) else {
            return;
        };
        *running -= 1;
        if *running == 0 {
            self.in_flight.remove(caller);
        }
    }

    /// Number of requests of `caller` in flight.
    pub fn in_flight(&self, caller: &CallerName) -> u32 {
        self.in_flight.get(caller).copied().unwrap_or(0)
    }

    /// Number of callers that have requests in flight.
    pub fn callers(&self) -> usize {
        self.in_flight.len()
    }
}
