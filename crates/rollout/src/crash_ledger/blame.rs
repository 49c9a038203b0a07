//! What may be done with a request under which back ends ended: whether it is run, waits, is left to another machine or
//! is barred.

use std::collections::BTreeSet;
use std::ops::Range;
use std::sync::Arc;

use super::judgement::Judgement;
use super::{
    BAR_AFTER_ENDS, BAR_AFTER_SHARED_ENDS, CrashLedger, DOUBT_MS, Fingerprint, SETTLING_MS, Suspect,
};
use crate::Millis;
use crate::ids::BackendId;

/// The requests that were found to be the cause of their ends.
#[derive(Debug, Clone)]
pub(super) struct Verdict {
    culprits: Arc<BTreeSet<Fingerprint>>,
    /// When it holds if nothing is told meanwhile.
    valid: Range<Millis>,
}

impl CrashLedger {
    /// Runs of a request that is not barred that may be under way here together, as if each ended its back end.
    pub(super) fn runs_left(&self, request: &Fingerprint, suspect: &Suspect, now: Millis) -> usize {
        let ends = suspect.ended.len();
        if ends < BAR_AFTER_ENDS {
            return BAR_AFTER_ENDS - ends;
        }
        if self.is_settling(request, suspect, now) {
            return 0;
        }
        match is_in_doubt(suspect, now) {
            true => BAR_AFTER_SHARED_ENDS.saturating_sub(ends),
            false => usize::from(self.may_try(suspect)),
        }
    }

    /// Whether a request is the cause of its ends, as far as can be told.
    pub(super) fn is_culprit(&self, request: &Fingerprint, suspect: &Suspect, now: Millis) -> bool {
        suspect.ended.len() >= BAR_AFTER_ENDS && self.all_culprits(now).contains(request)
    }

    /// All requests that are the cause of their ends. Judged anew only if something was told or a moment has passed that
    /// counts: this is asked before each send of a suspected request.
    pub(super) fn all_culprits(&self, now: Millis) -> Arc<BTreeSet<Fingerprint>> {
        if !self.has_bar_candidates() {
            return Arc::default();
        }
        let mut verdict = self.verdict.borrow_mut();
        match &*verdict {
            Some(known) if known.valid.contains(&now) => known.culprits.clone(),
            _ => {
                let culprits = Arc::new(Judgement::new(self, now).culprits());
                *verdict = Some(Verdict {
                    culprits: culprits.clone(),
                    valid: self.unchanged_around(now),
                });
                culprits
            }
        }
    }

    /// The span of time around `now` in which the passing of time changes no verdict.
    fn unchanged_around(&self, now: Millis) -> Range<Millis> {
        let suspects = self.suspects.values();
        let suspects = suspects.filter(|suspect| suspect.ended.len() >= BAR_AFTER_ENDS);
        let moments = suspects.flat_map(|suspect| {
            let settled = suspect.last_end + SETTLING_MS;
            [settled, suspect.told_at + DOUBT_MS]
        });
        let (past, coming): (Vec<Millis>, Vec<Millis>) = moments.partition(|at| *at <= now);
        let begins = past.into_iter().max().unwrap_or(0);
        let ends = coming.into_iter().min().unwrap_or(Millis::MAX);
        begins..ends
    }

    /// Whether others' words on the ends that may bar a request may be on their way: an end is seen by each node that
    /// had sent there. One that was alone at an end was there with nobody who could be the cause as well; where another
    /// one is known to share all ends, what is missing is another try.
    pub(super) fn is_settling(
        &self,
        request: &Fingerprint,
        suspect: &Suspect,
        now: Millis,
    ) -> bool {
        let is_recent = now.saturating_sub(suspect.last_end) < SETTLING_MS;
        suspect.ended.len() >= BAR_AFTER_ENDS
            && is_recent
            && !self.was_alone_before_the_last(suspect)
            && !self.another_shares_all_of(request, suspect)
    }

    /// Whether this machine is the one that may try a request which may be harmful, one run at a time. Others
    /// would send it at the same moment: in a soaked seed four did, more than 3 s after the third end.
    fn may_try(&self, suspect: &Suspect) -> bool {
        let seen_by = suspect.ended.iter().map(|ended| &ended.seen_by);
        seen_by.min() == Some(&self.own_machine)
    }

    /// Whether a request was alone at an end before its last one, of which others may still tell.
    fn was_alone_before_the_last(&self, suspect: &Suspect) -> bool {
        let (_last, earlier) = suspect.ended.split_last().unzip();
        let mut earlier = earlier.into_iter().flatten();
        earlier.any(|ended| self.was_alone_at(&ended.backend))
    }

    fn was_alone_at(&self, backend: &BackendId) -> bool {
        let running = self.running_at.get(backend);
        running.is_none_or(|running| running.len() == 1)
    }

    /// Other requests that ran at a back end when it ended.
    pub(super) fn others_at<'a>(
        &'a self,
        backend: &BackendId,
        request: &'a Fingerprint,
    ) -> impl Iterator<Item = &'a Suspect> {
        let running = self.running_at.get(backend).into_iter().flatten();
        let others = running.filter(move |other| *other != request);
        others.filter_map(|other| self.suspects.get(other))
    }

    fn another_shares_all_of(&self, request: &Fingerprint, suspect: &Suspect) -> bool {
        let first = suspect.ended.first();
        let mut others = first
            .into_iter()
            .flat_map(|first| self.others_at(&first.backend, request));
        others.any(|other| other.shares_all_of(suspect))
    }
}

/// Whether callers may not yet have come again since the end that may bar a request.
pub(super) fn is_in_doubt(suspect: &Suspect, now: Millis) -> bool {
    now.saturating_sub(suspect.told_at) < DOUBT_MS
}
