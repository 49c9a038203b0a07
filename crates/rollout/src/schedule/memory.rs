//! A back end's memory in tokens, which its running items share.
//!
//! A back end that runs out of memory preempts an item and later reads its prompt and output again.
//! Items grow while they run and give their memory back when they end, so what counts is the most
//! that they are expected to hold at one time.

/// Tokens of an item in a back end's memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ItemTokens {
    /// Of its prompt and its output so far.
    pub held: u32,
    /// Still expected.
    pub remaining: u32,
}

impl ItemTokens {
    /// Tokens that it is expected to hold when it ends.
    pub fn tokens_at_end(self) -> u32 {
        self.held.saturating_add(self.remaining)
    }
}

/// What a back end's memory takes and what its items are expected to need.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TokenMemory {
    /// Tokens that it takes; `None` if that is not known, or its work holds none.
    pub capacity: Option<u32>,
    /// Tokens that other nodes' items there are expected to hold when they end.
    pub other_nodes_tokens: u32,
    /// This node's items there.
    pub items: Vec<ItemTokens>,
}

impl TokenMemory {
    /// Tokens that all items there are expected to hold when they end.
    pub fn expected_tokens(&self) -> u32 {
        let own = self.items.iter().map(|item| item.tokens_at_end());
        own.fold(self.other_nodes_tokens, u32::saturating_add)
    }

    /// Whether an item fits beside the others. An empty back end takes whatever comes.
    pub fn fits(&self, item: ItemTokens) -> bool {
        self.expected_tokens() == 0 || self.shortage(item) == 0
    }

    /// Tokens by which the memory is expected to be exceeded with an item more.
    pub fn shortage(&self, item: ItemTokens) -> u32 {
        let needed = self.most_with(item);
        self.capacity
            .map_or(0, |capacity| needed.saturating_sub(capacity))
    }

    /// The most that is expected to be held at one time with an item more: just before one of them
    /// ends, by those that run at least as long. All make tokens at the same rate.
    fn most_with(&self, item: ItemTokens) -> u32 {
        let items = || self.items.iter().chain([&item]);
        let held_before_end_of = |ending: &ItemTokens| {
            let running = items().filter(|other| other.remaining >= ending.remaining);
            running
                .map(|other| other.held.saturating_add(ending.remaining))
                .fold(self.other_nodes_tokens, u32::saturating_add)
        };
        items().map(held_before_end_of).max().unwrap_or(0)
    }

    /// Share of the memory that is expected to be taken when all items there and one more end; `None`
    /// if its size is not known.
    pub fn share_with(&self, item: ItemTokens) -> Option<f64> {
        let needed = f64::from(self.expected_tokens()) + f64::from(item.tokens_at_end());
        self.capacity
            .filter(|capacity| *capacity > 0)
            .map(|capacity| needed / f64::from(capacity))
    }

    /// An item is added.
    pub fn add(&mut self, item: ItemTokens) {
        self.items.push(item);
    }

    /// An item is taken away.
    pub fn remove(&mut self, item: ItemTokens) {
        if let Some(at) = self.items.iter().position(|other| *other == item) {
            self.items.swap_remove(at);
        }
    }
}
