//! The KV cache memory of a back end, in tokens, which its running items share.
//!
//! A back end that runs out of memory preempts an item and later recomputes its prompt and output.
//! Items grow while they run and free their memory when they end, so what counts is the peak of what
//! they are expected to hold at one time.

/// Tokens of an item in a back end's memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ItemTokens {
    /// Tokens of the prompt and of the output so far.
    pub held: u32,
    /// Output tokens that are still expected.
    pub remaining: u32,
}

impl ItemTokens {
    /// Tokens that the item is expected to hold when it ends.
    pub fn tokens_at_end(self) -> u32 {
        self.held.saturating_add(self.remaining)
    }
}

/// The memory capacity of a back end and the expected use by its items.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TokenMemory {
    /// Tokens that fit in the memory; `None` if unknown, or if the work there holds no tokens.
    pub capacity: Option<u32>,
    /// Tokens that items of other nodes are expected to hold there when they end.
    pub other_nodes_tokens: u32,
    /// Items of this node that run there.
    pub items: Vec<ItemTokens>,
}

impl TokenMemory {
    /// Tokens that all items there are expected to hold when they end.
    pub fn expected_tokens(&self) -> u32 {
        let own = self.items.iter().map(|item| item.tokens_at_end());
        own.fold(self.other_nodes_tokens, u32::saturating_add)
    }

    /// Whether an item fits in addition to those there. An empty back end accepts any item.
    pub fn fits(&self, item: ItemTokens) -> bool {
        self.expected_tokens() == 0 || self.shortage(item) == 0
    }

    /// Tokens by which the expected peak exceeds the capacity if `item` is added; 0 if it fits or the
    /// capacity is unknown.
    pub fn shortage(&self, item: ItemTokens) -> u32 {
        let needed = self.peak_with(item);
        self.capacity
            .map_or(0, |capacity| needed.saturating_sub(capacity))
    }

    /// Expected peak use if `item` is added. The peak falls just before some item ends, and is held by all
    /// items that run at least as long as that one. Assumes that all items generate tokens at the same rate.
    fn peak_with(&self, item: ItemTokens) -> u32 {
        let items = || self.items.iter().chain([&item]);
        let held_before_end_of = |ending: &ItemTokens| {
            let running = items().filter(|other| other.remaining >= ending.remaining);
            running
                .map(|other| other.held.saturating_add(ending.remaining))
                .fold(self.other_nodes_tokens, u32::saturating_add)
        };
        items().map(held_before_end_of).max().unwrap_or(0)
    }

    /// Share of the capacity that is used if all items there and `item` are at their expected end; `None`
    /// if the capacity is unknown.
    pub fn share_with(&self, item: ItemTokens) -> Option<f64> {
        let needed = f64::from(self.expected_tokens()) + f64::from(item.tokens_at_end());
        self.capacity
            .filter(|capacity| *capacity > 0)
            .map(|capacity| needed / f64::from(capacity))
    }

    /// Adds an item of this node.
    pub fn add(&mut self, item: ItemTokens) {
        self.items.push(item);
    }

    /// Removes one item of this node with these token counts, if there is one.
    pub fn remove(&mut self, item: ItemTokens) {
        if let Some(at) = self.items.iter().position(|other| *other == item) {
            self.items.swap_remove(at);
        }
    }
}
