//! Which of the requests that were there is the cause of an end, as far as can be told.
//!
//! The load that this answers: a few harmful requests come again and again, and honest ones that are retried meanwhile are
//! there at the ends of several of them, so that they have more ends than each. So causes are found one after the other,
//! the surest first, and what one of them explains makes no other request likelier.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use super::blame::is_in_doubt;
use super::{BAR_AFTER_ENDS, BAR_AFTER_SHARED_ENDS, CrashLedger, Fingerprint, Suspect};
use crate::Millis;
use crate::ids::BackendId;

/// How likely a request is the cause of its ends: those at which no other one was, the unexplained ones at which no other
/// one was that could be their cause as well, and all unexplained ones.
type Weight = (usize, usize, usize);

/// A request, by its place in [`Judgement::requests`].
type RequestIndex = usize;

/// A back end that ended, by its place in [`Judgement::running`].
type EndIndex = usize;

/// A request as it is judged.
struct Judged<'a> {
    fingerprint: &'a Fingerprint,
    suspect: &'a Suspect,
    ends: Vec<EndIndex>,
    /// Its ends that no culprit so far explains.
    unexplained: Vec<EndIndex>,
    /// How many of its ends it was alone at.
    ends_alone: usize,
    /// How many unexplained ones no other request contests.
    uncontested: usize,
    is_culprit: bool,
    /// Whether it was taken for a culprit until others explained its ends.
    is_excused: bool,
}

impl Judged<'_> {
    fn weight(&self) -> Weight {
        (self.ends_alone, self.uncontested, self.unexplained.len())
    }

    /// Whether it may be the cause of as many ends as bar a request.
    fn is_candidate(&self) -> bool {
        self.unexplained.len() >= BAR_AFTER_ENDS
    }

    fn was_at_all_of(&self, other: &Self) -> bool {
        other.ends.iter().all(|end| self.ends.contains(end))
    }

    /// How many unexplained ends it must be the likeliest cause of.
    fn needed_ends(&self) -> usize {
        // The likelier causes of the others are barred, or soon will be, so an end without company shows it.
        match self.ends.len() >= BAR_AFTER_SHARED_ENDS && self.ends_alone > 0 {
            true => 1,
            false => BAR_AFTER_ENDS,
        }
    }
}

/// The search for the requests that are the cause of their ends.
pub(super) struct Judgement<'a> {
    ledger: &'a CrashLedger,
    now: Millis,
    requests: Vec<Judged<'a>>,
    /// Which requests ran at each back end that ended.
    running: Vec<Vec<RequestIndex>>,
}

impl<'a> Judgement<'a> {
    /// All that is known, with no culprit found yet.
    pub(super) fn new(ledger: &'a CrashLedger, now: Millis) -> Self {
        let mut numbers: BTreeMap<&BackendId, EndIndex> = BTreeMap::new();
        let mut running: Vec<Vec<RequestIndex>> = Vec::new();
        let mut requests = Vec::new();
        for (fingerprint, suspect) in &ledger.suspects {
            let mut ends = Vec::new();
            for ended in &suspect.ended {
                let next = numbers.len();
                let end = *numbers.entry(&ended.backend).or_insert(next);
                running.resize_with(numbers.len(), Vec::new);
                running[end].push(requests.len());
                ends.push(end);
            }
            requests.push(Judged {
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
        let mut judgement = Self {
            ledger,
            now,
            requests,
            running,
        };
        judgement.weigh();
        judgement
    }

    /// The requests that are certainly the cause of their ends.
    pub(super) fn culprits(mut self) -> BTreeSet<Fingerprint> {
        loop {
            let found = self.find();
            if found.is_empty() {
                break;
            }
            for request in found {
                self.requests[request].is_culprit = true;
            }
            self.weigh();
            while let Some(request) = self.next_excused() {
                self.requests[request].is_culprit = false;
                self.requests[request].is_excused = true;
                self.weigh();
            }
        }
        let certain = self.culprit_indices();
        let certain = certain.filter(|request| self.is_certain(*request));
        certain
            .map(|request| *self.requests[request].fingerprint)
            .collect()
    }

    /// The next culprits: all that are contested at no end, or else the one that is contested at the fewest and had ends
    /// enough first.
    fn find(&self) -> Vec<RequestIndex> {
        let causes = 0..self.requests.len();
        let causes = causes.filter(|request| {
            let judged = &self.requests[*request];
            !judged.is_culprit && !judged.is_excused
        });
        let causes: Vec<RequestIndex> = causes.filter(|request| self.is_cause(*request)).collect();
        let sure = causes.iter().copied().filter(|request| {
            let judged = &self.requests[*request];
            judged.uncontested == judged.unexplained.len()
        });
        let sure: Vec<RequestIndex> = sure.collect();
        if !sure.is_empty() {
            return sure;
        }
        let surest = causes.into_iter().min_by_key(|request| {
            let judged = &self.requests[*request];
            (Reverse(judged.uncontested), judged.suspect.told_order)
        });
        surest.into_iter().collect()
    }

    /// A culprit whose ends the other ones explain: the one with the fewest ends left, and of these the one that had ends
    /// enough last.
    fn next_excused(&self) -> Option<RequestIndex> {
        let excused = self.culprit_indices();
        let excused = excused.filter(|request| !self.is_cause(*request));
        excused.min_by_key(|request| {
            let judged = &self.requests[*request];
            (judged.unexplained.len(), Reverse(judged.suspect.told_order))
        })
    }

    fn culprit_indices(&self) -> impl Iterator<Item = RequestIndex> {
        let requests = 0..self.requests.len();
        requests.filter(|request| self.requests[*request].is_culprit)
    }

    /// Works out what the culprits so far leave of each request's ends.
    fn weigh(&mut self) {
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

    /// Whether a culprit explains the ends at which both were. One that was at all ends of the other explains none, and
    /// neither does one that was alone at fewer: an honest one that is barred must excuse no harmful one.
    fn explains(&self, other: RequestIndex, request: RequestIndex) -> bool {
        let (other, request) = (&self.requests[other], &self.requests[request]);
        other.is_culprit && other.ends_alone >= request.ends_alone && !other.was_at_all_of(request)
    }

    /// How many unexplained ends of a request have no other candidate, but for ones that were there at all its ends.
    fn uncontested_ends(&self, request: RequestIndex) -> usize {
        let judged = &self.requests[request];
        let uncontested = judged.unexplained.iter().filter(|end| {
            let others = self.others_at(**end, request);
            let mut others = others.map(|other| &self.requests[other]);
            !others.any(|other| other.is_candidate() && !other.was_at_all_of(judged))
        });
        uncontested.count()
    }

    /// Whether a request is the likeliest cause of ends enough, given the culprits so far.
    fn is_cause(&self, request: RequestIndex) -> bool {
        let judged = &self.requests[request];
        let needed = judged.needed_ends();
        if judged.ends.len() < BAR_AFTER_ENDS || judged.unexplained.len() < needed {
            return false;
        }
        let weight = judged.weight();
        let caused = judged.unexplained.iter().filter(|end| {
            let mut others = self.others_at(**end, request);
            !others.any(|other| self.requests[other].weight() > weight)
        });
        judged.uncontested > 0 && caused.count() >= needed
    }

    /// Whether nothing that may yet be heard is likely to clear a culprit. One that is not certain explains its ends all
    /// the same, as the other ones that were there wait as long.
    fn is_certain(&self, request: RequestIndex) -> bool {
        let judged = &self.requests[request];
        let suspect = judged.suspect;
        if self
            .ledger
            .is_settling(judged.fingerprint, suspect, self.now)
        {
            return false;
        }
        suspect.ended.len() >= BAR_AFTER_SHARED_ENDS || !self.may_be_another(request)
    }

    /// Whether there is still doubt between a request and others that were there at all its ends. With one that was at
    /// the same ones it lasts until callers had time to come again; with more, or one that was at further ends, until a
    /// next run tells them apart: honest items of one batch are moved together.
    fn may_be_another(&self, request: RequestIndex) -> bool {
        let judged = &self.requests[request];
        let first = judged.ends.first().into_iter();
        let others = first.flat_map(|first| self.others_at(*first, request));
        let others = others.map(|other| &self.requests[other]);
        let rivals: Vec<&Judged<'_>> = others.filter(|other| other.was_at_all_of(judged)).collect();
        match rivals.as_slice() {
            [] => false,
            [rival] if rival.ends.len() == judged.ends.len() => {
                is_in_doubt(judged.suspect, self.now) || is_in_doubt(rival.suspect, self.now)
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
