//! Staggers the swaps of a pool's engines to a new weight version. Each home node computes the
//! delays of its own engines from the configuration alone, without communication.
//!
//! # Arithmetic
//!
//! The engines are sorted by a hash of name and fencing token (rendezvous order). The order is the
//! same at every home node and differs between swap orders. With `n` engines, a store that allows
//! `f` fetches a second and a configured spread `s`, the window is `w = max(s, n / f)` and the
//! engine of rank `r` starts after `w * r / n`.
//!
//! - *Store:* starts are `w / n >= 1 / f` apart, so no second contains more than `f` starts, plus
//!   one at its edge.
//! - *Capacity:* a swap that takes `t` keeps about `t / w` of the engines busy at once: with
//!   `s` = 6 s and `t` = 1.5 s a quarter, and three quarters serve live calls.
//! - *End:* the last engine starts before `w` and has finished before `w + t`. With `n` = 680 and
//!   `f` = 120 a second, `n / f` = 5.7 s, so `w` = 6 s and all finish within 8 s if `t` is at
//!   most 2 s. Below 113.4 fetches a second the store determines the window, and below
//!   680 / (8 - `t`) no sequence of swaps could finish in 8 s.
//!
//! Start times follow exact ranks rather than uniform random draws from the window, because random
//! draws cluster into bursts that exceed the store's limit. Home nodes whose engine lists differ
//! temporarily compute slightly different ranks, which shifts a few starts.

use std::time::Duration;

use havenstage_types::ids::{EngineName, FencingToken};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::settings::InvalidSetting;

/// Settings that determine the window over which swaps are staggered.
#[derive(Debug, Clone, PartialEq)]
pub struct WaveSettings {
    /// Minimum window over which the swaps of a pool are staggered; the rate limit of the weight
    /// store may extend it.
    pub spread: Duration,
    /// Fetches per second that the weight store allows for this pool.
    pub fetches_per_second: f64,
}

impl Default for WaveSettings {
    fn default() -> Self {
        Self {
            spread: Duration::from_secs(6),
            fetches_per_second: 120.0,
        }
    }
}

impl WaveSettings {
    /// Checks the range of `fetches_per_second`.
    ///
    /// # Errors
    ///
    /// Returns the setting when it is not a finite number above zero.
    pub fn validate(&self) -> Result<(), InvalidSetting> {
        InvalidSetting::unless(
            self.fetches_per_second > 0.0 && self.fetches_per_second.is_finite(),
            "waves.fetches_per_second",
            self.fetches_per_second,
            "above 0",
        )
    }

    /// The length of the window in which the swaps of `engine_count` engines start.
    pub fn window(&self, engine_count: usize) -> Duration {
        let min_store_window =
            Duration::from_secs_f64(engine_count as f64 / self.fetches_per_second);
        self.spread.max(min_store_window)
    }
}

/// Returns how long `engine` waits before it starts the swap ordered with `token`. `engines` holds
/// all engines of its pool, including itself, in any order.
pub fn swap_delay(
    engine: &EngineName,
    token: FencingToken,
    engines: &[EngineName],
    settings: &WaveSettings,
) -> Duration {
    let own_key = rendezvous_key(engine, token);
    let rank = engines
        .iter()
        .filter(|other| rendezvous_key(other, token) < own_key)
        .count();
    let engine_count = engines.len().max(1);
    let share = rank as f64 / engine_count as f64;
    settings.window(engine_count).mul_f64(share)
}

/// Sort key in the rendezvous order of one fencing token; the name breaks ties.
fn rendezvous_key(engine: &EngineName, token: FencingToken) -> (u64, &EngineName) {
    let hash = xxh3_64_with_seed(engine.as_str().as_bytes(), token.0);
    (hash, engine)
}
