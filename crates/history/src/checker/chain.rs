//! The versions of an answer that several executions produced one after the other.
//!
//! An execution that resumes `n` tokens continues the first `n` tokens of an earlier execution for
//! the same subject or logical request, which may itself have resumed. The record does not say
//! which earlier one, so all that fit are followed.

use havenstage_types::version::VersionSegments;

use super::index::{Execution, HistoryIndex};
use crate::fingerprint::Fingerprint;

/// One way in which the tokens of an answer can have come about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Chain {
    /// Versions of all tokens, the resumed ones included.
    pub segments: VersionSegments,
    /// All token ids, where every part was recorded with them.
    tokens: Option<Vec<u32>>,
}

/// All ways in which the tokens of an execution can have come about.
#[derive(Debug, Default)]
pub(super) struct Chains {
    /// The ways that the record supports.
    pub known: Vec<Chain>,
    /// Whether an execution without a recorded end may account for others.
    pub may_have_others: bool,
}

impl Chains {
    /// Whether the tokens can have come about at all.
    pub fn is_possible(&self) -> bool {
        self.may_have_others || !self.known.is_empty()
    }

    /// Whether the record rules out that the tokens have these versions.
    pub fn rule_out(&self, segments: &VersionSegments) -> bool {
        !self.may_have_others && self.known.iter().all(|chain| chain.segments != *segments)
    }
}

/// Follows the executions that `execution` may continue.
pub(super) fn chains(history: &HistoryIndex<'_>, execution: &Execution<'_>) -> Chains {
    let mut result = Chains::default();
    let Some(ended) = execution.ended else {
        result.may_have_others = true;
        return result;
    };
    let own_segments = &ended.what.segments;
    let own_tokens = ended.what.produced.as_deref();
    let resumed_tokens = execution.started.what.resumed_tokens;
    let prefixes = if resumed_tokens == 0 {
        fresh_start()
    } else {
        resumed_prefixes(history, execution)
    };
    result.may_have_others = prefixes.may_have_others;
    for prefix in prefixes.known {
        let chain = extend(prefix, own_segments, own_tokens);
        if !result.known.contains(&chain) {
            result.known.push(chain);
        }
    }
    result
}

fn fresh_start() -> Chains {
    let empty = Chain {
        segments: VersionSegments::default(),
        tokens: Some(Vec::new()),
    };
    Chains {
        known: vec![empty],
        may_have_others: false,
    }
}

fn resumed_prefixes(history: &HistoryIndex<'_>, execution: &Execution<'_>) -> Chains {
    let started = execution.started.what;
    let mut result = Chains::default();
    for earlier in predecessors(history, execution) {
        let earlier_chains = chains(history, earlier);
        result.may_have_others |= earlier_chains.may_have_others;
        let fitting = earlier_chains
            .known
            .into_iter()
            .filter_map(|chain| cut(chain, started.resumed_tokens))
            .filter(|chain| matches_resumed(chain, started.resumed));
        result.known.extend(fitting);
    }
    result
}

fn predecessors<'i, 'h>(
    history: &'i HistoryIndex<'h>,
    execution: &Execution<'h>,
) -> Vec<&'i Execution<'h>> {
    let related = match execution.owner {
        Some(owner) => history.executions_owned_by(owner),
        None => history.executions_for(&execution.started.what.subject),
    };
    related
        .into_iter()
        .filter(|other| other.started.position() < execution.started.position())
        .collect()
}

/// The first `token_count` tokens of a chain, or `None` when it is shorter.
fn cut(chain: Chain, token_count: u32) -> Option<Chain> {
    if chain.segments.token_count() < token_count {
        return None;
    }
    let mut segments = VersionSegments::default();
    for segment in &chain.segments.0 {
        let wanted = token_count.saturating_sub(segment.first_token);
        segments.push(segment.version, wanted.min(segment.token_count));
    }
    let tokens = chain.tokens.map(|mut tokens| {
        tokens.truncate(token_count as usize);
        tokens
    });
    Some(Chain { segments, tokens })
}

fn matches_resumed(chain: &Chain, resumed: Option<Fingerprint>) -> bool {
    match (&chain.tokens, resumed) {
        (Some(tokens), Some(resumed)) => Fingerprint::of_tokens(tokens) == resumed,
        _ => true,
    }
}

fn extend(prefix: Chain, own_segments: &VersionSegments, own_tokens: Option<&[u32]>) -> Chain {
    let mut segments = prefix.segments;
    for segment in &own_segments.0 {
        segments.push(segment.version, segment.token_count);
    }
    let tokens = match (prefix.tokens, own_tokens) {
        (Some(mut tokens), Some(own)) => {
            tokens.extend_from_slice(own);
            Some(tokens)
        }
        _ => None,
    };
    Chain { segments, tokens }
}
