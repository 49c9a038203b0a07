//! One execution inside the engine: its context, how much of it is computed, and what it has
//! generated.

use havenstage_types::engine::{GenerateRequest, TokenChunk};
use havenstage_types::ids::{AttemptId, VersionNumber};
use havenstage_types::resource::PriorityClass;
use xxhash_rust::xxh3::Xxh3;

use crate::content::{self, Answer};
use crate::kv_memory::KvLease;

/// Order of sequences: the more urgent class first, then the earlier arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
    pub(crate) class: PriorityClass,
    pub(crate) arrival: u64,
}

#[derive(Debug)]
pub(crate) struct Sequence {
    pub(crate) attempt: AttemptId,
    /// Tokens that make a chunk.
    pub(crate) chunk_tokens: usize,
    pub(crate) lease: KvLease,
    /// Tokens of the context whose KV is in memory.
    pub(crate) computed: u32,
    prompt: Vec<u32>,
    resumed: Vec<u32>,
    answer: Answer,
    /// Tokens of the answer there are, the resumed ones included.
    generated: u32,
    /// Prompt tokens found in the cache at the first admission.
    cached_prompt: Option<u32>,
    /// Generated and not put out yet.
    pending: Vec<u32>,
    /// Hashes of the context's whole blocks, as far as they were needed.
    chain: Vec<u64>,
    chain_start: u64,
}

impl Sequence {
    pub(crate) fn new(
        request: GenerateRequest,
        prompt: Vec<u32>,
        answer: Answer,
        chunk_tokens: usize,
    ) -> Self {
        Self {
            attempt: request.attempt,
            chunk_tokens,
            lease: KvLease::default(),
            computed: 0,
            prompt,
            generated: request.resume_tokens.len() as u32,
            resumed: request.resume_tokens,
            answer,
            cached_prompt: None,
            pending: Vec::new(),
            chain: Vec::new(),
            chain_start: 0,
        }
    }

    /// Tokens of the prompt and of the answer so far.
    pub(crate) fn context_tokens(&self) -> u32 {
        self.prompt.len() as u32 + self.generated
    }

    /// Tokens to compute before the next one can be generated.
    pub(crate) fn uncomputed(&self) -> u32 {
        self.context_tokens() - self.computed
    }

    /// Whether all tokens are generated.
    pub(crate) fn is_complete(&self) -> bool {
        self.generated >= self.answer.length()
    }

    /// Number of tokens waiting to be put out.
    pub(crate) fn pending_tokens(&self) -> usize {
        self.pending.len()
    }

    /// Generates the next token.
    pub(crate) fn generate_one(&mut self) {
        self.pending.push(self.answer.token(self.generated));
        self.generated += 1;
    }

    /// Generates all tokens that are left.
    pub(crate) fn generate_all(&mut self) {
        while !self.is_complete() {
            self.generate_one();
        }
    }

    /// Hashes of the first whole blocks, computed as far as the context reaches. Prefixes of
    /// different versions never have the same hash.
    pub(crate) fn chain(&mut self, block_tokens: usize) -> &[u64] {
        let whole_blocks = self.context_tokens() as usize / block_tokens;
        while self.chain.len() < whole_blocks {
            let index = self.chain.len();
            let previous = self.chain.last().copied().unwrap_or(self.chain_start);
            let first = index * block_tokens;
            let hash = self.block_hash(previous, first..first + block_tokens);
            self.chain.push(hash);
        }
        &self.chain
    }

    /// Notes that admission found `tokens` of the context in the cache. At least the last token
    /// is computed again, since its result is needed.
    pub(crate) fn admitted_with_cached(&mut self, tokens: u32) {
        self.computed = tokens.min(self.context_tokens() - 1);
        let prompt_tokens = self.prompt.len() as u32;
        self.cached_prompt
            .get_or_insert(self.computed.min(prompt_tokens));
    }

    /// Forgets everything computed; it will be computed again with `version`.
    pub(crate) fn restart_computing(&mut self, version: VersionNumber) {
        self.computed = 0;
        self.chain.clear();
        self.chain_start = version.0;
    }

    /// What there is to put out. Nothing unless tokens are pending or the answer is complete.
    pub(crate) fn take_chunk(&mut self, version: VersionNumber) -> Option<TokenChunk> {
        let complete = self.is_complete();
        if self.pending.is_empty() && !complete {
            return None;
        }
        let tokens = std::mem::take(&mut self.pending);
        Some(TokenChunk {
            version,
            log_probabilities: content::log_probabilities(&tokens),
            text: content::text_of(&tokens),
            tokens,
            finish: complete.then(|| self.answer.finish()),
            prompt_tokens: if complete {
                self.prompt.len() as u32
            } else {
                0
            },
            cached_tokens: if complete {
                self.cached_prompt.unwrap_or(0)
            } else {
                0
            },
        })
    }

    fn block_hash(&self, previous: u64, range: std::ops::Range<usize>) -> u64 {
        let mut hasher = Xxh3::with_seed(previous);
        for index in range {
            hasher.update(&self.context_token(index).to_le_bytes());
        }
        hasher.digest()
    }

    fn context_token(&self, index: usize) -> u32 {
        if let Some(token) = self.prompt.get(index) {
            return *token;
        }
        let answer_index = index - self.prompt.len();
        match self.resumed.get(answer_index) {
            Some(token) => *token,
            None => self.answer.token(answer_index as u32),
        }
    }
}
