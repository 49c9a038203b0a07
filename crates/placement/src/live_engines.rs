//! Selection of the engines of a pool that live calls try first and on which training occupies few
//! slots.
//!
//! The time an engine needs per token grows with the number of sequences in its batch, so live
//! calls next to a full batch of training are slow however early they start. A few engines with
//! small batches keep live calls fast at a small cost in capacity. Every node selects the same
//! engines without communication: the first in rendezvous order.

use havenstage_types::ids::EngineName;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the engines that live calls try first: `percent` of all, rounded to the nearest number,
/// so that very small pools have none. The result does not depend on the order of `engines`.
pub fn live_engines(engines: &[EngineName], percent: u8) -> Vec<EngineName> {
    let count = (engines.len() * usize::from(percent) + 50) / 100;
    let mut ordered: Vec<&EngineName> = engines.iter().collect();
    ordered.sort_by_key(|engine| (xxh3_64(engine.as_str().as_bytes()), *engine));
    ordered.into_iter().take(count).cloned().collect()
}
