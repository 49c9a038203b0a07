//! Order of waiting items by expected end: the item that is expected to end last starts first. The longer an item waits,
//! the earlier it starts, so that no item is passed over for good while longer ones break off and come back.
//!
//! This also holds for optional items. A group that a step leaves unfinished is submitted again in a later
//! step, and that step then lasts as long as the group's longest item.

use crate::Millis;

use super::WaitingItem;

/// Time at no back end from which on an item gains on longer ones.
const PATIENCE_MS: Millis = 3_000;
/// Milliseconds by which each further millisecond of waiting counts as a later expected end. Expected run times differ by
/// some ten seconds at most.
const WAIT_WEIGHT: f64 = 4.0;

/// Sorts items by their expected end if they start now, measured from the start of their batch, latest first:
/// the latest end decides how long a training step lasts. So a long item of a new batch goes before a short
/// item of an older batch, and of equally long items the one of the older batch goes first. An item that waits for
/// longer than [`PATIENCE_MS`] soon goes before all others.
pub fn sort_by_expected_end(waiting: &mut [WaitingItem], now: Millis, token_ms: f64) {
    let end_ms = |item: &WaitingItem| {
        let age_ms = now.saturating_sub(item.batch_first_seen) as f64;
        let waited_ms = now.saturating_sub(item.waiting_since);
        let gained_ms = WAIT_WEIGHT * waited_ms.saturating_sub(PATIENCE_MS) as f64;
        age_ms + f64::from(item.expected_tokens) * token_ms + gained_ms
    };
    waiting.sort_by(|left, right| {
        let order = end_ms(right).total_cmp(&end_ms(left));
        order.then_with(|| left.item.cmp(&right.item))
    });
}
