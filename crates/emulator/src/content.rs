//! What the model "generates". Everything follows from the content seed, the subject and the
//! token's index, so a repeated or resumed execution yields the same tokens on any engine.

use havenstage_types::request::FinishReason;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal, Pareto, StandardNormal};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::settings::LengthDistribution;

/// Number of different token ids.
pub const VOCABULARY_SIZE: u32 = 32_000;

const TOKEN_SALT: u64 = 0x746f_6b65_6e73;
const LENGTH_SALT: u64 = 0x6c65_6e67_7468;
const PROMPT_SALT: u64 = 0x7072_6f6d_7074;
const LOG_PROBABILITY_STEPS: u32 = 1_000;
const LOWEST_LOG_PROBABILITY: f32 = -4.0;

const WORDS: [&str; 32] = [
    "account",
    "balance",
    "bill",
    "crate",
    "delivery",
    "driver",
    "due",
    "evening",
    "family",
    "grocery",
    "help",
    "household",
    "kindly",
    "late",
    "meter",
    "morning",
    "notice",
    "order",
    "payment",
    "plan",
    "please",
    "power",
    "road",
    "route",
    "slot",
    "stock",
    "thanks",
    "today",
    "tomorrow",
    "utility",
    "van",
    "water",
];

/// The answer the model gives for one subject.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    subject_seed: u64,
    length: u32,
    finish: FinishReason,
}

impl Answer {
    /// Draws the answer for `subject`, cut at `max_tokens`.
    pub fn new(
        content_seed: u64,
        subject: &str,
        lengths: &LengthDistribution,
        max_tokens: u32,
    ) -> Self {
        Self::to_prompt(content_seed, subject, "", 0.0, lengths, max_tokens)
    }

    /// The same for a prompt that decides `prompt_share` of the variance of log-normal lengths.
    pub fn to_prompt(
        content_seed: u64,
        subject: &str,
        prompt: &str,
        prompt_share: f64,
        lengths: &LengthDistribution,
        max_tokens: u32,
    ) -> Self {
        let subject_seed = xxh3_64_with_seed(subject.as_bytes(), content_seed);
        let prompt_seed = xxh3_64_with_seed(prompt.as_bytes(), content_seed);
        let natural_length = match *lengths {
            LengthDistribution::LogNormal {
                median_tokens,
                sigma,
            } if prompt_share > 0.0 => {
                let of_prompt = standard_normal(prompt_seed ^ LENGTH_SALT) * prompt_share.sqrt();
                let rest = (1.0 - prompt_share).max(0.0).sqrt();
                let of_subject = standard_normal(subject_seed ^ LENGTH_SALT) * rest;
                let length = median_tokens * (sigma * (of_prompt + of_subject)).exp();
                (length.round() as u32).max(1)
            }
            _ => draw_length(subject_seed ^ LENGTH_SALT, lengths),
        };
        let finish = if natural_length <= max_tokens {
            FinishReason::Stop
        } else {
            FinishReason::Length
        };
        Self {
            subject_seed,
            length: natural_length.min(max_tokens),
            finish,
        }
    }

    /// Number of tokens in the answer.
    pub fn length(&self) -> u32 {
        self.length
    }

    /// Why the answer ends.
    pub fn finish(&self) -> FinishReason {
        self.finish
    }

    /// Token id at `index`.
    pub fn token(&self, index: u32) -> u32 {
        let hash = xxh3_64_with_seed(&index.to_le_bytes(), self.subject_seed ^ TOKEN_SALT);
        reduce(hash, VOCABULARY_SIZE)
    }
}

/// Natural-log probability that goes with each token.
pub fn log_probabilities(tokens: &[u32]) -> Vec<f32> {
    tokens.iter().map(|token| log_probability(*token)).collect()
}

fn log_probability(token: u32) -> f32 {
    let step = (token % LOG_PROBABILITY_STEPS) as f32 / LOG_PROBABILITY_STEPS as f32;
    LOWEST_LOG_PROBABILITY * step
}

/// Tokens as text, each word with a space before it.
pub fn text_of(tokens: &[u32]) -> String {
    let mut text = String::new();
    for token in tokens {
        text.push(' ');
        text.push_str(WORDS[*token as usize % WORDS.len()]);
    }
    text
}

/// Token ids of a prompt, one for each word; an empty prompt counts as one token.
pub fn prompt_tokens(prompt: &str) -> Vec<u32> {
    let tokens: Vec<u32> = prompt
        .split_whitespace()
        .map(|word| {
            reduce(
                xxh3_64_with_seed(word.as_bytes(), PROMPT_SALT),
                VOCABULARY_SIZE,
            )
        })
        .collect();
    if tokens.is_empty() { vec![0] } else { tokens }
}

fn reduce(hash: u64, bound: u32) -> u32 {
    (hash % u64::from(bound)) as u32
}

fn standard_normal(seed: u64) -> f64 {
    StandardNormal.sample(&mut ChaCha8Rng::seed_from_u64(seed))
}

/// A length of at least one token; `distribution` has passed validation.
fn draw_length(seed: u64, distribution: &LengthDistribution) -> u32 {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let length = match *distribution {
        LengthDistribution::Fixed { tokens } => f64::from(tokens),
        LengthDistribution::LogNormal {
            median_tokens,
            sigma,
        } => LogNormal::new(median_tokens.ln(), sigma)
            .map_or(median_tokens, |lengths| lengths.sample(&mut random)),
        LengthDistribution::Pareto {
            minimum_tokens,
            shape,
        } => Pareto::new(minimum_tokens, shape)
            .map_or(minimum_tokens, |lengths| lengths.sample(&mut random)),
    };
    (length.round() as u32).max(1)
}
