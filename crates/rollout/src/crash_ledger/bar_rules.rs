//! Rules that decide whether a suspected request is run, waits, is run only as a trial or is barred.

use std::collections::BTreeSet;
use std::ops::Range;
use std::sync::Arc;

use super::attribution::Attribution;
use super::{
    AMBIGUITY_GRACE_MS, BAR_AFTER_ENDS, BAR_AFTER_SHARED_ENDS, CrashLedger, Fingerprint,
    MAX_REPORT_WAIT_MS, REPORT_WAIT_MS, Suspect,
};
use crate::Millis;
use crate::ids::BackendId;

/// The requests that the latest attribution found to be the cause of their ends.
#[derive(Debug, Clone)]
pub(super) struct CachedCulprits {
    culprits: Arc<BTreeSet<Fingerprint>>,
    /// Period in which the result stays valid as long as no report arrives.
    valid: Range<Millis>,
}

impl CrashLedger {
    /// Maximum number of concurrent runs here of a request that is not barred, assuming that each run ends its back end;
    /// trials do not count.
    pub(super) fn runs_left(&self, request: &Fingerprint, suspect: &Suspect, now: Millis) -> usize {
        let ends = suspect.ended.len();
        if ends < BAR_AFTER_ENDS {
            return BAR_AFTER_ENDS - ends;
        }
        if self.is_awaiting_reports(request, suspect, now) {
            return 0;
        }
        match is_in_ambiguity_grace(suspect, now) {
            true => BAR_AFTER_SHARED_ENDS.saturating_sub(ends),
            false => 0,
        }
    }

    /// Whether a request is taken to be the cause of its ends.
    pub(super) fn is_culprit(&self, request: &Fingerprint, suspect: &Suspect, now: Millis) -> bool {
        suspect.ended.len() >= BAR_AFTER_ENDS && self.all_culprits(now).contains(request)
    }

    /// All requests that are taken to be the cause of their ends. The result is cached until a report arrives or a time
    /// limit passes, as this is called before each send of a suspected request.
    pub(super) fn all_culprits(&self, now: Millis) -> Arc<BTreeSet<Fingerprint>> {
        if !self.has_bar_candidates() {
            return Arc::default();
        }
        let mut culprits_cache = self.culprits_cache.borrow_mut();
        match &*culprits_cache {
            Some(known) if known.valid.contains(&now) => known.culprits.clone(),
            _ => {
                let culprits = Arc::new(Attribution::new(self, now).culprits());
                *culprits_cache = Some(CachedCulprits {
                    culprits: culprits.clone(),
                    valid: self.validity_around(now),
                });
                culprits
            }
        }
    }

    /// The period around `now` in which no time limit of a request that can be barred passes.
    fn validity_around(&self, now: Millis) -> Range<Millis> {
        let suspects = self.suspects.values();
        let suspects = suspects.filter(|suspect| suspect.ended.len() >= BAR_AFTER_ENDS);
        let moments = suspects.flat_map(|suspect| {
            [
                self.latest_report(suspect) + REPORT_WAIT_MS,
                suspect.last_end + MAX_REPORT_WAIT_MS,
                suspect.barring_end_at + AMBIGUITY_GRACE_MS,
            ]
        });
        let (past, coming): (Vec<Millis>, Vec<Millis>) = moments.partition(|at| *at <= now);
        let begins = past.into_iter().max().unwrap_or(0);
        let ends = coming.into_iter().min().unwrap_or(Millis::MAX);
        begins..ends
    }

    /// Whether reports of other nodes on the ends of a request that can be barred may still arrive: every node with a
    /// request at a back end sees its end. There is no need to wait if the request was alone at an earlier end, since no
    /// other request can be the cause of that end, or if another request was at all its ends, since only a retry can then
    /// tell the two apart.
    pub(super) fn is_awaiting_reports(
        &self,
        request: &Fingerprint,
        suspect: &Suspect,
        now: Millis,
    ) -> bool {
        let is_recent = now < self.latest_report(suspect) + REPORT_WAIT_MS
            && now < suspect.last_end + MAX_REPORT_WAIT_MS;
        suspect.ended.len() >= BAR_AFTER_ENDS
            && is_recent
            && !self.was_alone_before_last_end(suspect)
            && !self.another_was_at_all_ends_of(request, suspect)
    }

    /// When this node learnt of the latest end, under any request, of a back end that ended under this one.
    fn latest_report(&self, suspect: &Suspect) -> Millis {
        let ended = suspect.ended.iter();
        let times = ended.filter_map(|ended| self.report_times.get(&ended.backend));
        let latest = times.map(|times| times.latest).max();
        latest.unwrap_or(suspect.last_end)
    }

    /// Whether a request was alone at an end before its last one. The last one does not count, as other nodes may still
    /// report other requests there.
    fn was_alone_before_last_end(&self, suspect: &Suspect) -> bool {
        let (_last, earlier) = suspect.ended.split_last().unzip();
        let mut earlier = earlier.into_iter().flatten();
        earlier.any(|ended| self.was_alone_at(&ended.backend))
    }

    fn was_alone_at(&self, backend: &BackendId) -> bool {
        let running = self.requests_at.get(backend);
        running.is_none_or(|running| running.len() == 1)
    }

    /// The other suspected requests that were running at a back end when it ended.
    pub(super) fn others_at<'a>(
        &'a self,
        backend: &BackendId,
        request: &'a Fingerprint,
    ) -> impl Iterator<Item = &'a Suspect> {
        let running = self.requests_at.get(backend).into_iter().flatten();
        let others = running.filter(move |other| *other != request);
        others.filter_map(|other| self.suspects.get(other))
    }

    fn another_was_at_all_ends_of(&self, request: &Fingerprint, suspect: &Suspect) -> bool {
        let first = suspect.ended.first();
        let mut others = first
            .into_iter()
            .flat_map(|first| self.others_at(&first.backend, request));
        others.any(|other| other.was_at_all_ends_of(suspect))
    }
}

/// Whether callers may not have retried yet since a request reached [`BAR_AFTER_ENDS`] ends.
pub(super) fn is_in_ambiguity_grace(suspect: &Suspect, now: Millis) -> bool {
    now.saturating_sub(suspect.barring_end_at) < AMBIGUITY_GRACE_MS
}
