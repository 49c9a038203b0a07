//! Trials: single runs of a request that is barred, or that another request excuses, to find out whether it is harmful.
//!
//! A node claims a trial with a record in the control stream before it makes it, so that the fleet makes one trial at a
//! time, and restarts of nodes don't add trials. A claim counts if it has the number after the last one; the first record
//! with that number wins.

use serde::{Deserialize, Serialize};

use super::{CrashLedger, Fingerprint, Suspect, Suspicion};
use crate::Millis;
use crate::ids::NodeId;

/// Pauses before the first trials of a request, each since its latest end or trial. The second one outlasts a series of
/// crashes of other origin; the third one comes when such a series is certainly over. Each trial of a harmful request ends
/// a back end, so their number is limited.
pub const TRIAL_PAUSES_MS: [Millis; 3] = [2_000, 6_000, 10 * 60_000];
/// Pause before each further trial.
pub const LATER_TRIAL_PAUSE_MS: Millis = 60 * 60_000;

/// The trials of one request.
#[derive(Debug, Clone, Default)]
pub(super) struct Trials {
    /// Number of claimed trials.
    claimed: u32,
    /// When this node learnt of the latest claim.
    last_claim: Millis,
    /// The node that may still make the latest trial; `None` if it was made, or by a former process.
    unused_by: Option<NodeId>,
}

impl Trials {
    /// Pause before the next trial.
    fn next_pause_ms(&self) -> Millis {
        let first_pauses = TRIAL_PAUSES_MS.get(self.claimed as usize);
        first_pauses.copied().unwrap_or(LATER_TRIAL_PAUSE_MS)
    }
}

/// The number of trials of a suspected request, as a checkpoint stores it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialCheckpoint {
    /// The suspected request.
    pub request: Fingerprint,
    /// Number of its claimed trials.
    pub claimed: u32,
}

impl CrashLedger {
    /// Number of the trial of a request that may be claimed now; `None` if it needs none or the pause is not over.
    pub fn due_trial(&self, request: &Fingerprint, now: Millis) -> Option<u32> {
        let suspect = self.suspects.get(request)?;
        let suspicion = self.suspicion(request, now);
        let needs_trial = matches!(
            suspicion,
            Suspicion::TrialOnly { .. } | Suspicion::Barred { .. }
        );
        let is_due = now >= next_trial_at(suspect);
        (needs_trial && is_due).then_some(suspect.trials.claimed + 1)
    }

    /// Records that a node claimed a trial. Returns whether the claim counts.
    pub fn record_trial_claim(
        &mut self,
        request: &Fingerprint,
        number: u32,
        node: NodeId,
        now: Millis,
    ) -> bool {
        let Some(suspect) = self.suspects.get_mut(request) else {
            return false;
        };
        if number != suspect.trials.claimed + 1 {
            return false;
        }
        suspect.trials = Trials {
            claimed: number,
            last_claim: now,
            unused_by: Some(node),
        };
        suspect.last_seen = now;
        true
    }

    /// Whether a node holds the latest trial of a request and has not made it.
    pub fn holds_unused_trial(&self, request: &Fingerprint, node: &NodeId) -> bool {
        let suspect = self.suspects.get(request);
        suspect.is_some_and(|suspect| suspect.trials.unused_by.as_ref() == Some(node))
    }

    /// Takes the latest trial of a request if the node holds it and has not made it; returns its number.
    pub fn take_trial(&mut self, request: &Fingerprint, node: &NodeId) -> Option<u32> {
        let trials = &mut self.suspects.get_mut(request)?.trials;
        trials.unused_by.take_if(|holder| holder == node)?;
        Some(trials.claimed)
    }

    /// Returns a trial that was taken and in which no back end ran the request.
    pub fn return_trial(&mut self, request: &Fingerprint, number: u32, node: &NodeId) {
        let Some(suspect) = self.suspects.get_mut(request) else {
            return;
        };
        if suspect.trials.claimed == number {
            suspect.trials.unused_by = Some(node.clone());
        }
    }

    /// The numbers of trials for a checkpoint.
    pub fn trial_checkpoint(&self) -> Vec<TrialCheckpoint> {
        let suspects = self.suspects.iter();
        let with_trials = suspects.filter(|(_, suspect)| suspect.trials.claimed > 0);
        with_trials
            .map(|(request, suspect)| TrialCheckpoint {
                request: *request,
                claimed: suspect.trials.claimed,
            })
            .collect()
    }

    pub(super) fn restore_trials(&mut self, trials: Vec<TrialCheckpoint>, now: Millis) {
        for trial in trials {
            if let Some(suspect) = self.suspects.get_mut(&trial.request) {
                suspect.trials = Trials {
                    claimed: trial.claimed,
                    last_claim: now,
                    unused_by: None,
                };
            }
        }
    }
}

fn next_trial_at(suspect: &Suspect) -> Millis {
    suspect.last_end.max(suspect.trials.last_claim) + suspect.trials.next_pause_ms()
}
