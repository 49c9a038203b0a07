//! Whether this node's configuration is recent enough to take new work.
//!
//! Two kinds of evidence count, and both are dated by the moment the question was sent, never by
//! the moment the answer came, since a process may be frozen in between:
//! - word of the log's end, from the log itself or passed on by a peer;
//! - answers of a strict majority of the members that the log last named.

use std::collections::BTreeMap;
use std::time::Duration;

use havenstage_types::clock::Moment;
use havenstage_types::config::MemberList;
use havenstage_types::ids::{LogOffset, NodeId};
use thiserror::Error;

/// The node must refuse new work: its configuration may be out of date.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error(
    "the configuration is stale: applied {applied}, last known end {known_end:?} as of \
     {log_word_age:?} ago, heard {heard} of {named} members within {bound:?}"
)]
pub struct StaleConfig {
    /// The freshness bound.
    pub bound: Duration,
    /// Offset this node has applied.
    pub applied: LogOffset,
    /// Age of the youngest word of the log's end.
    pub log_word_age: Option<Duration>,
    /// The end which that word named.
    pub known_end: Option<LogOffset>,
    /// Highest offset reported by a member heard within the bound.
    pub highest_heard: Option<LogOffset>,
    /// Members of the last named list heard within the bound, this node included.
    pub heard: usize,
    /// Members of the last named list.
    pub named: usize,
}

/// A moment of this process's clock, or before its start when a peer's word is older than that.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct KnownAsOf(i64);

impl KnownAsOf {
    fn before(moment: Moment, age: Duration) -> Self {
        let moment = i64::try_from(moment.0).unwrap_or(i64::MAX);
        let age = i64::try_from(age.as_millis()).unwrap_or(i64::MAX);
        Self(moment.saturating_sub(age))
    }

    fn age(self, now: Moment) -> Duration {
        let now = i64::try_from(now.0).unwrap_or(i64::MAX);
        let age = now.saturating_sub(self.0).max(0);
        Duration::from_millis(age.unsigned_abs())
    }
}

/// A member's latest answer.
#[derive(Debug, Clone, Copy)]
struct Heard {
    asked_at: Moment,
    config_offset: LogOffset,
}

/// What a node knows about how recent its configuration is.
#[derive(Debug, Clone)]
pub struct Freshness {
    bound: Duration,
    /// For each end named, the latest moment as of which it held. A higher end is always known as
    /// of a later moment; other words say nothing new and are dropped.
    words: BTreeMap<LogOffset, KnownAsOf>,
    heard: BTreeMap<NodeId, Heard>,
    /// What was known before this moment does not count; `None` when the process was never frozen.
    not_before: Option<Moment>,
}

impl Freshness {
    /// Knows nothing yet, so the configuration is stale.
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            words: BTreeMap::new(),
            heard: BTreeMap::new(),
            not_before: None,
        }
    }

    /// The process was paused and goes on at `now`: nothing that was asked or known before counts
    /// any more, since others may have acted on a change in the meantime.
    pub fn forget_before(&mut self, now: Moment) {
        self.words.clear();
        self.heard.clear();
        self.not_before = Some(now);
    }

    /// The log, asked at `asked_at`, named the end of the configuration stream.
    pub fn log_word(&mut self, asked_at: Moment, end: LogOffset) {
        self.add_word(KnownAsOf::before(asked_at, Duration::ZERO), end);
    }

    /// A peer, asked at `asked_at`, answered that it knew `end` to be the end `age` ago.
    pub fn relayed_log_word(&mut self, asked_at: Moment, age: Duration, end: LogOffset) {
        self.add_word(KnownAsOf::before(asked_at, age), end);
    }

    /// A member answered a question sent at `asked_at` and has applied `config_offset`.
    pub fn heard_member(&mut self, asked_at: Moment, member: NodeId, config_offset: LogOffset) {
        if Some(asked_at) < self.not_before {
            return;
        }
        let heard = Heard {
            asked_at,
            config_offset,
        };
        match self.heard.get_mut(&member) {
            Some(earlier) if earlier.asked_at > asked_at => {
                earlier.config_offset = earlier.config_offset.max(config_offset);
            }
            _ => {
                self.heard.insert(member, heard);
            }
        }
    }

    /// Drops what is older than the bound and can no longer count.
    pub fn forget_old(&mut self, now: Moment) {
        let bound = self.bound;
        self.heard
            .retain(|_, heard| now.since(heard.asked_at) <= bound);
        let youngest = self.words.last_key_value().map(|(end, _)| *end);
        self.words
            .retain(|end, as_of| as_of.age(now) <= bound || Some(*end) == youngest);
    }

    /// Age of the youngest word of the log's end, whether or not this node has applied it.
    pub fn log_word_age(&self, now: Moment) -> Option<Duration> {
        let (_, as_of) = self.words.last_key_value()?;
        Some(as_of.age(now))
    }

    /// Age of the youngest word that named no more than `applied`: so long ago, the log held
    /// nothing that this node lacks. This is what may be passed on.
    pub fn applied_log_word_age(&self, now: Moment, applied: LogOffset) -> Option<Duration> {
        let (_, as_of) = self.words.range(..=applied).next_back()?;
        Some(as_of.age(now))
    }

    /// Checks whether the node may take new work now.
    ///
    /// It may if, as of a moment within the bound, the log held nothing that it has not applied;
    /// or if a strict majority of `last_named` was heard within the bound (`self_id` counts as
    /// heard) and no member heard has applied more.
    pub fn check(
        &self,
        now: Moment,
        applied: LogOffset,
        last_named: &MemberList,
        self_id: NodeId,
    ) -> Result<(), StaleConfig> {
        let word_age = self.applied_log_word_age(now, applied);
        if word_age.is_some_and(|age| age <= self.bound) {
            return Ok(());
        }
        let heard = self.count_heard(now, last_named, self_id);
        let named = last_named.members.len();
        let highest_heard = self.highest_heard(now);
        let has_majority = heard * 2 > named;
        let is_behind = highest_heard.is_some_and(|highest| highest > applied);
        if has_majority && !is_behind {
            return Ok(());
        }
        Err(StaleConfig {
            bound: self.bound,
            applied,
            log_word_age: self.log_word_age(now),
            known_end: self.words.last_key_value().map(|(end, _)| *end),
            highest_heard,
            heard,
            named,
        })
    }

    fn add_word(&mut self, as_of: KnownAsOf, end: LogOffset) {
        let not_before = self.not_before;
        if not_before.is_some_and(|moment| as_of < KnownAsOf::before(moment, Duration::ZERO)) {
            return;
        }
        let says_nothing_new = self
            .words
            .range(..=end)
            .any(|(_, known_as_of)| *known_as_of >= as_of);
        if says_nothing_new {
            return;
        }
        self.words
            .retain(|known_end, known_as_of| *known_end < end || *known_as_of > as_of);
        self.words.insert(end, as_of);
    }

    fn count_heard(&self, now: Moment, last_named: &MemberList, self_id: NodeId) -> usize {
        last_named
            .members
            .iter()
            .filter(|member| member.id == self_id || self.is_heard(now, member.id))
            .count()
    }

    fn is_heard(&self, now: Moment, member: NodeId) -> bool {
        self.heard
            .get(&member)
            .is_some_and(|heard| now.since(heard.asked_at) <= self.bound)
    }

    fn highest_heard(&self, now: Moment) -> Option<LogOffset> {
        self.heard
            .values()
            .filter(|heard| now.since(heard.asked_at) <= self.bound)
            .map(|heard| heard.config_offset)
            .max()
    }
}
