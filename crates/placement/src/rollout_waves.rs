//! Spreads the swaps to a new weight version over the engines of a pool. Each home computes the
//! delay of its own engines from the configuration alone; the homes say nothing to each other.
//!
//! # Arithmetic
//!
//! The engines are put in an order by a hash of name and fencing token (rendezvous order): alike
//! at every home, different for every order. With `n` engines, a store that allows `f` fetches a
//! second and a wished spread `s`, the window is `w = max(s, n / f)` and the engine of rank `r`
//! starts after `w * r / n`.
//!
//! - *Store:* starts are `w / n >= 1 / f` apart, so no second holds more than `f` starts, but for
//!   one at its edge.
//! - *Capacity:* a swap that takes `t` keeps about `t / w` of the engines busy at once: with
//!   `s` = 6 s and `t` = 1.5 s a quarter, and three quarters serve live calls.
//! - *End:* the last engine starts before `w` and has finished before `w + t`. With `n` = 680 and
//!   `f` = 120 a second, `n / f` = 5.7 s, so `w` = 6 s and all finish within 8 s if `t` is at
//!   most 2 s. Below 113.4 fetches a second the store sets the window, and below 680 / (8 - `t`)
//!   no order of swaps could finish in 8 s.
//!
//! Ranks are exact, rather than drawn evenly from the window, because even draws come in bursts
//! that break the store's limit. Homes whose engine lists differ for a moment compute slightly
//! different ranks, which shifts a few starts.

use std::time::Duration;

use havenstage_types::ids::{EngineName, FencingToken};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::settings::InvalidSetting;

/// How swaps are spread.
#[derive(Debug, Clone, PartialEq)]
pub struct WaveSettings {
    /// Time over which a pool's swaps are spread when the weight store does not ask for longer.
    pub spread: Duration,
    /// Fetches a second the weight store allows for this pool.
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
    /// Checks the ranges.
    pub fn validate(&self) -> Result<(), InvalidSetting> {
        InvalidSetting::unless(
            self.fetches_per_second > 0.0 && self.fetches_per_second.is_finite(),
            "waves.fetches_per_second",
            self.fetches_per_second,
            "above 0",
        )
    }

    /// The window in which the swaps of `engine_count` engines start.
    pub fn window(&self, engine_count: usize) -> Duration {
        let by_store = Duration::from_secs_f64(engine_count as f64 / self.fetches_per_second);
        self.spread.max(by_store)
    }
}

/// How long `engine` waits before it starts the swap ordered under `token`; `engines` are all
/// engines of its pool, itself included, in any order.
pub fn swap_delay(
    engine: &EngineName,
    token: FencingToken,
    engines: &[EngineName],
    settings: &WaveSettings,
) -> Duration {
    let own_place = place(engine, token);
    let rank = engines
        .iter()
        .filter(|other| place(other, token) < own_place)
        .count();
    let engine_count = engines.len().max(1);
    let share = rank as f64 / engine_count as f64;
    settings.window(engine_count).mul_f64(share)
}

/// Place in the rendezvous order of one fencing token; the name breaks ties.
fn place(engine: &EngineName, token: FencingToken) -> (u64, &EngineName) {
    let hash = xxh3_64_with_seed(engine.as_str().as_bytes(), token.0);
    (hash, engine)
}
