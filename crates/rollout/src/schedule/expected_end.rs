//! Order of waiting items by expected end: the item that is expected to end last starts first.
//!
//! This also holds for optional items. A group that a step leaves unfinished is submitted again in a later
//! step, and that step then lasts as long as the group's longest item.

use crate::Millis;

use super::WaitingItem;

/// Sorts items by their expected end if they start now, measured from the start of their batch, latest first:
/// the latest end decides how long a training step lasts. So a long item of a new batch goes before a short
/// item of an older batch, and of equally long items the one of the older batch goes first.
pub fn sort_by_expected_end(waiting: &mut [WaitingItem], now: Millis, token_ms: f64) {
    let end_ms = |item: &WaitingItem| {
        let age_ms = now.saturating_sub(item.batch_first_seen) as f64;
        age_ms + f64::from(item.expected_tokens) * token_ms
    };
    waiting.sort_by(|left, right| {
        let order = end_ms(right).total_cmp(&end_ms(left));
        order.then_with(|| left.item.cmp(&right.item))
    });
}
