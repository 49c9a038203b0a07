//! Which of the requests that were there is the cause of an end, as far as can be told.

use super::{
    BAR_AFTER_ENDS, BAR_AFTER_SHARED_ENDS, CrashLedger, DOUBT_MS, Fingerprint, SETTLING_MS, Suspect,
};
use crate::Millis;
use crate::ids::BackendId;

/// How likely a request is the cause of its ends: those at which no other one was, and all.
type Weight = (usize, usize);

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
        if suspect.ended.len() < BAR_AFTER_ENDS {
            return false;
        }
        let weight = self.weight(suspect);
        let is_peer = |peer: &Suspect, peer_weight| {
            peer_weight == weight && peer.told_order <= suspect.told_order
        };
        self.culprits_among(is_peer, now).contains(request)
    }

    /// All requests that are the cause of their ends. In one pass: asking for each one by itself takes 0.2 s where 256
    /// are remembered with three ends each, and this is asked after each read of what others told.
    pub(super) fn all_culprits(&self, now: Millis) -> Vec<Fingerprint> {
        self.culprits_among(|_, _| true, now)
    }

    /// Those of some requests that are the cause of their ends. Ones that are as likely are judged in the order in
    /// which they had their ends, so that none excuses another one for what a third one explains.
    fn culprits_among(
        &self,
        is_asked: impl Fn(&Suspect, Weight) -> bool,
        now: Millis,
    ) -> Vec<Fingerprint> {
        let may_be = self.suspects.iter();
        let may_be = may_be.filter(|(_, suspect)| suspect.ended.len() >= BAR_AFTER_ENDS);
        let mut asked: Vec<(Weight, &Fingerprint, &Suspect)> = may_be
            .map(|(request, suspect)| (self.weight(suspect), request, suspect))
            .filter(|(weight, _, suspect)| is_asked(suspect, *weight))
            .collect();
        asked.sort_by_key(|(weight, _, suspect)| (*weight, suspect.told_order));
        let mut culprits = Vec::new();
        for peers in asked.chunk_by(|one, next| one.0 == next.0) {
            let mut earlier = Vec::new();
            for (_, request, suspect) in peers {
                if self.is_culprit_beside(request, suspect, &earlier, now) {
                    earlier.push(*suspect);
                    culprits.push(**request);
                }
            }
        }
        culprits
    }

    /// Whether a request with ends enough is their cause, given which others are that had as many before.
    fn is_culprit_beside(
        &self,
        request: &Fingerprint,
        suspect: &Suspect,
        earlier_culprits: &[&Suspect],
        now: Millis,
    ) -> bool {
        if self.is_settling(request, suspect, now) {
            return false;
        }
        let unexplained = self.unexplained_ends(request, suspect, earlier_culprits);
        // A likelier cause of each is barred, or soon will be, so the next run shows it.
        if suspect.ended.len() >= BAR_AFTER_SHARED_ENDS {
            return unexplained > 0;
        }
        let may_be_another =
            is_in_doubt(suspect, now) && self.another_shares_all_of(request, suspect);
        unexplained >= BAR_AFTER_ENDS && !may_be_another
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

    /// Ends at which no request was that is a likelier cause. Of two that are as likely the earlier one explains what
    /// both were at, if it is the cause of its own and not just of the same: without this an honest item that had been
    /// beside harmful ones with as many ends was barred for good in a soaked seed.
    fn unexplained_ends(
        &self,
        request: &Fingerprint,
        suspect: &Suspect,
        earlier_culprits: &[&Suspect],
    ) -> usize {
        let weight = self.weight(suspect);
        let explainers: Vec<&&Suspect> = earlier_culprits
            .iter()
            .filter(|culprit| !culprit.shares_all_of(suspect))
            .collect();
        let unexplained = suspect.ended.iter().filter(|ended| {
            let mut others = self.others_at(&ended.backend, request);
            let is_beside_likelier = others.any(|other| self.weight(other) > weight);
            let mut explainers = explainers.iter();
            !is_beside_likelier && !explainers.any(|culprit| culprit.names(&ended.backend))
        });
        unexplained.count()
    }

    /// How likely a request is the cause of its ends.
    fn weight(&self, suspect: &Suspect) -> Weight {
        (self.ends_alone(suspect), suspect.ended.len())
    }

    /// Whether a request was alone at an end before its last one, of which others may still tell.
    fn was_alone_before_the_last(&self, suspect: &Suspect) -> bool {
        let (_last, earlier) = suspect.ended.split_last().unzip();
        let mut earlier = earlier.into_iter().flatten();
        earlier.any(|ended| self.was_alone_at(&ended.backend))
    }

    /// Ends at which no other request was.
    fn ends_alone(&self, suspect: &Suspect) -> usize {
        let ended = suspect.ended.iter();
        ended
            .filter(|ended| self.was_alone_at(&ended.backend))
            .count()
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
fn is_in_doubt(suspect: &Suspect, now: Millis) -> bool {
    now.saturating_sub(suspect.told_at) < DOUBT_MS
}
