//! A token bucket on passed-in time.

use std::time::Duration;

use tokio::time::Instant;

/// A token bucket. It may go into debt, which later takers wait for.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    tokens_per_second: f64,
    capacity: f64,
    tokens: f64,
    updated: Instant,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(tokens_per_second: f64, capacity: f64, now: Instant) -> Self {
        Self {
            tokens_per_second,
            capacity,
            tokens: capacity,
            updated: now,
        }
    }

    /// Takes tokens if they are there now.
    pub fn try_take(&mut self, tokens: f64, now: Instant) -> bool {
        self.refill(now);
        let enough = self.tokens >= tokens;
        if enough {
            self.tokens -= tokens;
        }
        enough
    }

    /// Takes tokens in advance and returns when they will have been there.
    pub fn take_later(&mut self, tokens: f64, now: Instant) -> Instant {
        self.refill(now);
        self.tokens -= tokens;
        let missing = (-self.tokens).max(0.0);
        now + Duration::from_secs_f64(missing / self.tokens_per_second)
    }

    fn refill(&mut self, now: Instant) {
        let seconds = now.saturating_duration_since(self.updated).as_secs_f64();
        self.tokens = (self.tokens + seconds * self.tokens_per_second).min(self.capacity);
        self.updated = now;
    }
}
