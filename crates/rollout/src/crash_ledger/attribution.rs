//! Finds which of the requests that were running at back ends when these ended are the cause.
//!
//! A few harmful requests are retried again and again. Harmless requests that are retried meanwhile run beside several
//! of them and so can have more ends than any harmful one. The search therefore finds one culprit after the other, the
//! most certain first, and an end that a culprit explains no longer counts against other requests.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use super::bar_rules::is_in_ambiguity_grace;
use super::{BAR_AFTER_ENDS, BAR_AFTER_SHARED_ENDS, CrashLedger, Fingerprint, Suspect};
use crate::Millis;
use crate::ids::BackendId;

/// How likely a request is the cause of its ends, compared in this order: the number of ends at which it was alone, the
/// number of unexplained ends with no other candidate, and the number of unexplained ends.
type CauseScore = (usize, usize, usize);

/// Index of a request in [`Attribution::requests`].
type RequestIndex = usize;

/// Index of an ended back end in [`Attribution::running`].
type EndIndex = usize;

/// A request with the intermediate results of the search.
struct RequestState<'a> {
    fingerprint: &'a Fingerprint,
    suspect: &'a Suspect,
    ends: Vec<EndIndex>,
    /// Its ends that no culprit found so far explains.
    unexplained: Vec<EndIndex>,
    /// Number of ends at which no other request was running.
    ends_alone: usize,
    /// Number of unexplained ends with no other candidate.
    uncontested: usize,
    is_culprit: bool,
    /// Whether it was a culprit until other culprits explained its ends; it does not become one again.
    is_excused: bool,
}

impl RequestState<'_> {
    fn score(&self) -> CauseScore {
        (self.ends_alone, self.uncontested, self.unexplained.len())
    }

    /// Whether it has enough unexplained ends to be barred.
    fn is_candidate(&self) -> bool {
        self.unexplained.len() >= BAR_AFTER_ENDS
    }

    fn was_at_all_ends_of(&self, other: &Self) -> bool {
        other.ends.iter().all(|end| self.ends.contains(end))
    }

    /// Number of unexplained ends of which it must be the likeliest cause to become a culprit.
    fn needed_ends(&self) -> usize {
        // The likelier causes of its other ends are barred or soon will be, so one end at which it was alone is
        // enough.
        match self.ends.len() >= BAR_AFTER_SHARED_ENDS && self.ends_alone > 0 {
            true => 1,
            false => BAR_AFTER_ENDS,
        }
    }
}

/// The search for the requests that are the cause of their ends.
pub(super) struct Attribution<'a> {
    ledger: &'a CrashLedger,
    now: Millis,
    requests: Vec<RequestState<'a>>,
    /// The requests that were running at each ended back end.
    running: Vec<Vec<RequestIndex>>,
}

impl<'a> Attribution<'a> {
    /// Prepares the search over all suspected requests, with no culprit found yet.
    pub(super) fn new(ledger: &'a CrashLedger, now: Millis) -> Self {
        let mut indices: BTreeMap<&BackendId, EndIndex> = BTreeMap::new();
        let mut running: Vec<Vec<RequestIndex>> = Vec::new();
        let mut requests = Vec::new();
        for (fingerprint, suspect) in &ledger.suspects {
            let mut ends = Vec::new();
            for ended in &suspect.ended {
                let next = indices.len();
                let end = *indices.entry(&ended.backend).or_insert(next);
                running.resize_with(indices.len(), Vec::new);
                running[end].push(requests.len());
                ends.push(end);
            }
            requests.push(RequestState {
                fingerprint,
                suspect,
                unexplained: ends.clone(),
                ends,
                ends_alone: 0,
                uncontested: 0,
                is_culprit: false,
                is_excused: false,
            });
        }
        for request in &mut requests {
            let alone = request.ends.iter().filter(|end| running[**end].len() == 1);
            request.ends_alone = alone.count();
        }
        let mut attribution = Self {
            ledger,
            now,
            requests,
            running,
        };
        attribution.recompute_ends();
        attribution
    }

    /// Runs the search and returns the culprits that no report still to come is likely to clear.
    pub(super) fn culprits(mut self) -> BTreeSet<Fingerprint> {
        loop {
            let found = self.next_culprits();
            if found.is_empty() {
                break;
            }
            for request in found {
                self.requests[request].is_culprit = true;
            }
            self.recompute_ends();
            while let Some(request) = self.next_excused_culprit() {
                self.requests[request].is_culprit = false;
                self.requests[request].is_excused = true;
                self.recompute_ends();
            }
        }
        let confirmed = self.culprit_indices();
        let confirmed = confirmed.filter(|request| self.is_confirmed(*request));
        confirmed
            .map(|request| *self.requests[request].fingerprint)
            .collect()
    }

    /// The next culprits: all causes with no other candidate at any unexplained end. If there are none, the cause with
    /// the most uncontested ends, and among equals the one that reached [`BAR_AFTER_ENDS`] ends first.
    fn next_culprits(&self) -> Vec<RequestIndex> {
        let causes = 0..self.requests.len();
        let causes = causes.filter(|request| {
            let state = &self.requests[*request];
            !state.is_culprit && !state.is_excused
        });
        let causes: Vec<RequestIndex> = causes.filter(|request| self.is_cause(*request)).collect();
        let certain = causes.iter().copied().filter(|request| {
            let state = &self.requests[*request];
            state.uncontested == state.unexplained.len()
        });
        let certain: Vec<RequestIndex> = certain.collect();
        if !certain.is_empty() {
            return certain;
        }
        let likeliest = causes.into_iter().min_by_key(|request| {
            let state = &self.requests[*request];
            (Reverse(state.uncontested), state.suspect.barring_end_order)
        });
        likeliest.into_iter().collect()
    }

    /// A culprit whose ends the other culprits explain: the one with the fewest unexplained ends, and among equals the one
    /// that reached [`BAR_AFTER_ENDS`] ends last.
    fn next_excused_culprit(&self) -> Option<RequestIndex> {
        let excused = self.culprit_indices();
        let excused = excused.filter(|request| !self.is_cause(*request));
        excused.min_by_key(|request| {
            let state = &self.requests[*request];
            (
                state.unexplained.len(),
                Reverse(state.suspect.barring_end_order),
            )
        })
    }

    fn culprit_indices(&self) -> impl Iterator<Item = RequestIndex> {
        let requests = 0..self.requests.len();
        requests.filter(|request| self.requests[*request].is_culprit)
    }

    /// Recomputes the unexplained and uncontested ends of each request from the culprits found so far.
    fn recompute_ends(&mut self) {
        for request in 0..self.requests.len() {
            self.requests[request].unexplained = self.unexplained_ends(request);
        }
        for request in 0..self.requests.len() {
            self.requests[request].uncontested = self.uncontested_ends(request);
        }
    }

    fn unexplained_ends(&self, request: RequestIndex) -> Vec<EndIndex> {
        let ends = self.requests[request].ends.iter().copied();
        let unexplained = ends.filter(|end| {
            let mut others = self.others_at(*end, request);
            !others.any(|other| self.explains(other, request))
        });
        unexplained.collect()
    }

    /// Whether `other` is a culprit that explains the ends it shares with `request`. A culprit that was at all ends of
    /// `request`, or was alone at fewer ends, explains none: a harmless request that is wrongly barred must not excuse a
    /// harmful one.
    fn explains(&self, other: RequestIndex, request: RequestIndex) -> bool {
        let (other, request) = (&self.requests[other], &self.requests[request]);
        other.is_culprit
            && other.ends_alone >= request.ends_alone
            && !other.was_at_all_ends_of(request)
    }

    /// Number of unexplained ends of a request at which no other candidate was running. Candidates that were at all its
    /// ends do not count here.
    fn uncontested_ends(&self, request: RequestIndex) -> usize {
        let state = &self.requests[request];
        let uncontested = state.unexplained.iter().filter(|end| {
            let others = self.others_at(**end, request);
            let mut others = others.map(|other| &self.requests[other]);
            !others.any(|other| other.is_candidate() && !other.was_at_all_ends_of(state))
        });
        uncontested.count()
    }

    /// Whether a request is the likeliest cause of enough ends, given the culprits found so far.
    fn is_cause(&self, request: RequestIndex) -> bool {
        let state = &self.requests[request];
        let needed = state.needed_ends();
        if state.ends.len() < BAR_AFTER_ENDS || state.unexplained.len() < needed {
            return false;
        }
        let score = state.score();
        let caused = state.unexplained.iter().filter(|end| {
            let mut others = self.others_at(**end, request);
            !others.any(|other| self.requests[other].score() > score)
        });
        state.uncontested > 0 && caused.count() >= needed
    }

    /// Whether no report still to come is likely to clear a culprit. An unconfirmed culprit explains its ends all the
    /// same: the other requests at these ends wait just as long.
    fn is_confirmed(&self, request: RequestIndex) -> bool {
        let state = &self.requests[request];
        let suspect = state.suspect;
        if self
            .ledger
            .is_awaiting_reports(state.fingerprint, suspect, self.now)
        {
            return false;
        }
        suspect.ended.len() >= BAR_AFTER_SHARED_ENDS || !self.is_cause_ambiguous(request)
    }

    /// Whether another request that was at all ends of this one may be the cause instead. With a single rival that has
    /// exactly the same ends, the doubt ends when callers had time to retry. With several rivals, or one with further
    /// ends, it ends only when another run tells them apart: harmless items of one batch are moved together and so share
    /// their ends.
    fn is_cause_ambiguous(&self, request: RequestIndex) -> bool {
        let state = &self.requests[request];
        let first = state.ends.first().into_iter();
        let others = first.flat_map(|first| self.others_at(*first, request));
        let others = others.map(|other| &self.requests[other]);
        let rivals: Vec<&RequestState<'_>> = others
            .filter(|other| other.was_at_all_ends_of(state))
            .collect();
        match rivals.as_slice() {
            [] => false,
            [rival] if rival.ends.len() == state.ends.len() => {
                is_in_ambiguity_grace(state.suspect, self.now)
                    || is_in_ambiguity_grace(rival.suspect, self.now)
            }
            _ => true,
        }
    }

    fn others_at(
        &self,
        end: EndIndex,
        request: RequestIndex,
    ) -> impl Iterator<Item = RequestIndex> + Clone {
        let running = self.running[end].iter().copied();
        running.filter(move |other| *other != request)
    }
}
