//! In which order waiting items get places.
//!
//! The item that is expected to end last starts first, also if its step can do without it: a group
//! that is left open comes again in a later step, which then lasts as long as its longest item.

use crate::Millis;

use super::WaitingItem;

/// Orders waiting items by when they are expected to end, counted from their batch's begin, if they
/// start now: the latest first, since it decides how long its step lasts. So a long item of a new
/// batch goes before a short one of an older batch, and of equally long ones the older batch's.
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
