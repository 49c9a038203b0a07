//! Promise 2: no sample is built on a weight version older than the bound.
//!
//! A sample that a trainer received is judged twice:
//! - Exactly, if its commit was observed in the job's stream: its oldest version plus the bound
//!   must reach the newest version published in the stream before its offset.
//! - By time: let `t` be the start of the last execution that finished the sample. A version whose
//!   publication was accepted at least [`Bounds::config_in_force_ms`] before `t` was in force when
//!   that execution started, and the commit came later still. The oldest version plus the bound
//!   must reach each such version. This never accuses wrongly, but misses a sample that became
//!   too old between that start and its commit; only the exact judgement catches it.

use std::collections::BTreeMap;

use havenstage_types::ids::{ModelName, SampleId, VersionNumber};
use thiserror::Error;

use super::bounds::{Bounds, JobBounds};
use super::index::{HistoryIndex, Seen};
use super::outcome::PromiseReport;
use super::true_versions::sample_producers;
use crate::event::EventBody;
use crate::event::engine::AttemptLabel;
use crate::event::trainer::{JobStreamCommitObserved, SampleReceived};

/// How the staleness bound was broken.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StalenessBroken {
    /// At its commit the sample was older than allowed.
    #[error(
        "sample {sample} holds version {oldest} although {newest} was published before its commit and the bound is {bound}"
    )]
    AtCommit {
        /// The sample.
        sample: SampleId,
        /// Oldest version in it.
        oldest: VersionNumber,
        /// Newest version published before its commit.
        newest: VersionNumber,
        /// Versions it may lag.
        bound: u64,
    },
    /// Already when its last execution started the sample was older than allowed.
    #[error(
        "sample {sample} holds version {oldest} although {newest} was in force before its last execution started and the bound is {bound}"
    )]
    AtStart {
        /// The sample.
        sample: SampleId,
        /// Oldest version in it.
        oldest: VersionNumber,
        /// Newest version in force at that time.
        newest: VersionNumber,
        /// Versions it may lag.
        bound: u64,
    },
}

type Commits<'h> = BTreeMap<(&'h SampleId, &'h AttemptLabel), Seen<&'h JobStreamCommitObserved>>;
type Published<'h> = BTreeMap<&'h ModelName, Vec<Seen<VersionNumber>>>;

/// Judges the promise.
pub(super) fn judge(history: &HistoryIndex<'_>, bounds: &Bounds) -> PromiseReport {
    let mut report = PromiseReport::default();
    let commits = commits(history);
    let published = published(history);
    let samples = history.select(|body| match body {
        EventBody::SampleReceived(received) => Some(received),
        _ => None,
    });
    for received in samples {
        let Some(job) = bounds.jobs.get(&received.what.sample.job) else {
            continue;
        };
        let Some(oldest) = received.what.segments.oldest() else {
            continue;
        };
        report.fact();
        judge_at_commit(&commits, job, received, oldest, &mut report);
        let versions = published.get(&job.model).map_or(&[][..], Vec::as_slice);
        let newest = newest_in_force(history, versions, bounds, received.what);
        judge_at_start(newest, job, received, oldest, &mut report);
    }
    report
}

fn judge_at_commit(
    commits: &Commits<'_>,
    job: &JobBounds,
    received: Seen<&SampleReceived>,
    oldest: VersionNumber,
    report: &mut PromiseReport,
) {
    let key = (&received.what.sample, &received.what.attempt);
    let Some(commit) = commits.get(&key) else {
        return;
    };
    if is_too_old(oldest, commit.what.newest, job) {
        let reason = StalenessBroken::AtCommit {
            sample: received.what.sample.clone(),
            oldest,
            newest: commit.what.newest,
            bound: job.staleness_bound,
        };
        report.broken(reason, &[received.index, commit.index]);
    }
}

fn judge_at_start(
    newest: Option<Seen<VersionNumber>>,
    job: &JobBounds,
    received: Seen<&SampleReceived>,
    oldest: VersionNumber,
    report: &mut PromiseReport,
) {
    let Some(newest) = newest.filter(|newest| is_too_old(oldest, newest.what, job)) else {
        return;
    };
    let reason = StalenessBroken::AtStart {
        sample: received.what.sample.clone(),
        oldest,
        newest: newest.what,
        bound: job.staleness_bound,
    };
    report.broken(reason, &[received.index, newest.index]);
}

fn is_too_old(oldest: VersionNumber, newest: VersionNumber, job: &JobBounds) -> bool {
    oldest.0.saturating_add(job.staleness_bound) < newest.0
}

/// The newest version that was in force when the last execution of the sample started. Of several
/// executions with the same result the earliest counts, in favour of the system.
fn newest_in_force(
    history: &HistoryIndex<'_>,
    published: &[Seen<VersionNumber>],
    bounds: &Bounds,
    received: &SampleReceived,
) -> Option<Seen<VersionNumber>> {
    let producers = sample_producers(history, received);
    let started_ms = producers.first()?.started.at_ms;
    published
        .iter()
        .filter(|version| version.at_ms.saturating_add(bounds.config_in_force_ms) < started_ms)
        .max_by_key(|version| version.what)
        .copied()
}

fn commits<'h>(history: &HistoryIndex<'h>) -> Commits<'h> {
    let observed = history.select(|body| match body {
        EventBody::JobStreamCommitObserved(commit) => Some(commit),
        _ => None,
    });
    observed
        .map(|commit| ((&commit.what.sample, &commit.what.attempt), commit))
        .collect()
}

fn published<'h>(history: &HistoryIndex<'h>) -> Published<'h> {
    let mut published: Published<'h> = BTreeMap::new();
    for (index, event) in history.events.iter().enumerate() {
        if let EventBody::VersionPublished(publication) = &event.body {
            published.entry(&publication.model).or_default().push(Seen {
                index,
                at_ms: event.at_ms,
                what: publication.version,
            });
        }
    }
    published
}
