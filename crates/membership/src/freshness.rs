//! Whether this node's configuration is recent enough to take new work.
//!
//! Two kinds of evidence count. Both are dated by the time at which the request was sent, never by
//! the time at which the answer arrived, since the process may be suspended in between:
//! - a report of the end of the configuration log, from the log itself or relayed by a peer;
//! - answers of a strict majority of the latest member list that the log contains.

use std::collections::BTreeMap;
use std::time::Duration;

use havenstage_types::clock::Moment;
use havenstage_types::config::MemberList;
use havenstage_types::ids::{LogOffset, NodeId};
use thiserror::Error;

/// The configuration may be out of date, so the node must refuse new work.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error(
    "the configuration is stale: applied {applied}, last known end {known_end:?} as of \
     {log_word_age:?} ago, heard {heard} of {named} members within {bound:?}"
)]
pub struct StaleConfig {
    /// Maximum age of evidence that counts.
    pub bound: Duration,
    /// Offset up to which this node has applied the configuration log.
    pub applied: LogOffset,
    /// Age of the latest report of the log's end; `None` without any report.
    pub log_word_age: Option<Duration>,
    /// The log end in that report.
    pub known_end: Option<LogOffset>,
    /// Highest applied offset among members that answered within the bound; `None` if none did.
    pub highest_heard: Option<LogOffset>,
    /// Number of listed members that answered within the bound; this node counts if listed.
    pub heard: usize,
    /// Number of members in the latest member list.
    pub named: usize,
}

/// Time in milliseconds on this process's clock; negative if a relayed report dates from before
/// the start of the clock.
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

/// Latest answer of a member.
#[derive(Debug, Clone, Copy)]
struct MemberReport {
    asked_at: Moment,
    config_offset: LogOffset,
}

/// Evidence of how recent this node's configuration is.
#[derive(Debug, Clone)]
pub struct Freshness {
    bound: Duration,
    /// For each reported log end, the latest time at which it was the end. A higher end always has
    /// a later time; reports that break this order are redundant and dropped.
    log_ends: BTreeMap<LogOffset, KnownAsOf>,
    member_reports: BTreeMap<NodeId, MemberReport>,
    /// Evidence from before this time does not count; `None` if the process was never suspended.
    not_before: Option<Moment>,
}

impl Freshness {
    /// Creates a state without evidence, in which the configuration is stale.
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            log_ends: BTreeMap::new(),
            member_reports: BTreeMap::new(),
            not_before: None,
        }
    }

    /// Discards all evidence requested before `now`, at which a suspended process resumes: other
    /// members may have acted on a change in the meantime.
    pub fn discard_before(&mut self, now: Moment) {
        self.log_ends.clear();
        self.member_reports.clear();
        self.not_before = Some(now);
    }

    /// Records the end of the configuration stream that the log returned to a request sent at
    /// `asked_at`.
    pub fn record_log_end(&mut self, asked_at: Moment, end: LogOffset) {
        self.add_log_end(KnownAsOf::before(asked_at, Duration::ZERO), end);
    }

    /// Records the answer of a peer, to a request sent at `asked_at`, that `end` was the log's end
    /// `age` ago.
    pub fn record_relayed_log_end(&mut self, asked_at: Moment, age: Duration, end: LogOffset) {
        self.add_log_end(KnownAsOf::before(asked_at, age), end);
    }

    /// Records that a member, in answer to a request sent at `asked_at`, reported that it has
    /// applied `config_offset`.
    pub fn record_member_report(
        &mut self,
        asked_at: Moment,
        member: NodeId,
        config_offset: LogOffset,
    ) {
        if Some(asked_at) < self.not_before {
            return;
        }
        let report = MemberReport {
            asked_at,
            config_offset,
        };
        match self.member_reports.get_mut(&member) {
            Some(earlier) if earlier.asked_at > asked_at => {
                earlier.config_offset = earlier.config_offset.max(config_offset);
            }
            _ => {
                self.member_reports.insert(member, report);
            }
        }
    }

    /// Drops evidence older than the bound, except the latest report of the log's end.
    pub fn discard_expired(&mut self, now: Moment) {
        let bound = self.bound;
        self.member_reports
            .retain(|_, report| now.since(report.asked_at) <= bound);
        let youngest = self.log_ends.last_key_value().map(|(end, _)| *end);
        self.log_ends
            .retain(|end, as_of| as_of.age(now) <= bound || Some(*end) == youngest);
    }

    /// Age of the latest report of the log's end, whether or not this node has applied it.
    pub fn log_end_age(&self, now: Moment) -> Option<Duration> {
        let (_, as_of) = self.log_ends.last_key_value()?;
        Some(as_of.age(now))
    }

    /// Age of the latest report whose log end is at most `applied`: at that time this node lacked no
    /// record of the log. Only this age may be relayed to other members.
    pub fn applied_log_end_age(&self, now: Moment, applied: LogOffset) -> Option<Duration> {
        let (_, as_of) = self.log_ends.range(..=applied).next_back()?;
        Some(as_of.age(now))
    }

    /// Checks whether the node may take new work now.
    ///
    /// It may if at some time within the bound the log contained no record beyond `applied`; or if a
    /// strict majority of `last_named`, the latest member list, answered within the bound (`self_id`
    /// counts as answered) and none of the members that answered has applied more.
    ///
    /// # Errors
    ///
    /// Returns [`StaleConfig`] if neither condition holds.
    pub fn check(
        &self,
        now: Moment,
        applied: LogOffset,
        last_named: &MemberList,
        self_id: NodeId,
    ) -> Result<(), StaleConfig> {
        let log_end_age = self.applied_log_end_age(now, applied);
        if log_end_age.is_some_and(|age| age <= self.bound) {
            return Ok(());
        }
        let heard = self.count_answered(now, last_named, self_id);
        let named = last_named.members.len();
        let highest_heard = self.highest_answered_offset(now);
        let has_majority = heard * 2 > named;
        let is_behind = highest_heard.is_some_and(|highest| highest > applied);
        if has_majority && !is_behind {
            return Ok(());
        }
        Err(StaleConfig {
            bound: self.bound,
            applied,
            log_word_age: self.log_end_age(now),
            known_end: self.log_ends.last_key_value().map(|(end, _)| *end),
            highest_heard,
            heard,
            named,
        })
    }

    fn add_log_end(&mut self, as_of: KnownAsOf, end: LogOffset) {
        let not_before = self.not_before;
        if not_before.is_some_and(|moment| as_of < KnownAsOf::before(moment, Duration::ZERO)) {
            return;
        }
        let is_redundant = self
            .log_ends
            .range(..=end)
            .any(|(_, known_as_of)| *known_as_of >= as_of);
        if is_redundant {
            return;
        }
        self.log_ends
            .retain(|known_end, known_as_of| *known_end < end || *known_as_of > as_of);
        self.log_ends.insert(end, as_of);
    }

    fn count_answered(&self, now: Moment, last_named: &MemberList, self_id: NodeId) -> usize {
        last_named
            .members
            .iter()
            .filter(|member| member.id == self_id || self.has_answered(now, member.id))
            .count()
    }

    fn has_answered(&self, now: Moment, member: NodeId) -> bool {
        self.member_reports
            .get(&member)
            .is_some_and(|report| now.since(report.asked_at) <= self.bound)
    }

    fn highest_answered_offset(&self, now: Moment) -> Option<LogOffset> {
        self.member_reports
            .values()
            .filter(|report| now.since(report.asked_at) <= self.bound)
            .map(|report| report.config_offset)
            .max()
    }
}
