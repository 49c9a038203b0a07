//! A back end's memory in tokens, which its running items share.
//!
//! A back end that runs out of memory preempts an item and later reads its prompt and output again.

/// What a back end's memory takes and what its items are expected to need.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokenMemory {
    /// Tokens that it takes; `None` if that is not known, or its work holds none.
    pub capacity: Option<u32>,
    /// Tokens that the items there, of all nodes, are expected to hold when they end.
    pub expected: u32,
}

impl TokenMemory {
    /// Whether an item of so many tokens at its end fits beside the others. An empty back end takes
    /// whatever comes.
    pub fn fits(&self, tokens: u32) -> bool {
        self.expected == 0 || self.shortage(tokens) == 0
    }

    /// Tokens by which an item's end would exceed the memory.
    pub fn shortage(&self, tokens: u32) -> u32 {
        let needed = self.expected.saturating_add(tokens);
        self.capacity
            .map_or(0, |capacity| needed.saturating_sub(capacity))
    }

    /// Share of the memory that is expected to be taken with an item more; `None` if its size is not
    /// known.
    pub fn share_with(&self, tokens: u32) -> Option<f64> {
        let needed = f64::from(self.expected) + f64::from(tokens);
        self.capacity
            .filter(|capacity| *capacity > 0)
            .map(|capacity| needed / f64::from(capacity))
    }

    /// An item is added.
    pub fn take(&mut self, tokens: u32) {
        self.expected = self.expected.saturating_add(tokens);
    }

    /// An item is taken away.
    pub fn give_back(&mut self, tokens: u32) {
        self.expected = self.expected.saturating_sub(tokens);
    }
}
