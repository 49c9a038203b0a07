//! Engines of a pool that live calls go to first and on which training takes few slots.
//!
//! The time an engine takes for a token grows with the sequences it computes together, so live
//! calls beside a full batch of training are slow however soon they start. A few engines with
//! small batches keep them fast at a small cost in capacity. Every node picks the same engines
//! without a word to the others: the first in rendezvous order.

use havenstage_types::ids::EngineName;
use xxhash_rust::xxh3::xxh3_64;

/// The engines that are kept for live calls: `percent` of all, rounded to the nearest number, so
/// that very small pools keep none.
pub fn live_engines(engines: &[EngineName], percent: u8) -> Vec<EngineName> {
    let count = (engines.len() * usize::from(percent) + 50) / 100;
    let mut ordered: Vec<&EngineName> = engines.iter().collect();
    ordered.sort_by_key(|engine| (xxh3_64(engine.as_str().as_bytes()), *engine));
    ordered.into_iter().take(count).cloned().collect()
}
