//! One engine at its home: admission and the askers that wait for its answers.

use std::collections::BTreeMap;

use havenstage_placement::admission::{AdmissionAction, AdmissionLimits, EngineAdmission};
use havenstage_types::clock::Moment;
use havenstage_types::decision::EngineStopReason;
use havenstage_types::engine::EngineEndpoint;
use havenstage_types::ids::AttemptId;
use havenstage_types::peer::PeerResponseBody;
use havenstage_types::resource::EngineSpec;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;

/// One engine this node is the home of.
pub(super) struct EngineHome {
    pub(super) admission: EngineAdmission,
    endpoint: EngineEndpoint,
    limits: AdmissionLimits,
    waiting: BTreeMap<AttemptId, Vec<oneshot::Sender<PeerResponseBody>>>,
    stopped: BTreeMap<StopKey, bool>,
    reported: watch::Sender<Option<Moment>>,
    poller: JoinHandle<Option<()>>,
}

/// The stop reasons that configuration and machine list set and clear.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum StopKey {
    Operator,
    MachineList,
}

impl EngineHome {
    pub(super) fn new(
        endpoint: EngineEndpoint,
        limits: AdmissionLimits,
        poller: JoinHandle<Option<()>>,
    ) -> Self {
        Self {
            admission: EngineAdmission::new(endpoint.name.clone(), limits.clone()),
            endpoint,
            limits,
            waiting: BTreeMap::new(),
            stopped: BTreeMap::new(),
            reported: watch::Sender::new(None),
            poller,
        }
    }

    /// Whether the engine still belongs here, at the address it had.
    pub(super) fn is_still_wanted(&self, spec: Option<&EngineSpec>) -> bool {
        spec.is_some_and(|spec| spec.address == self.endpoint.address)
    }

    /// Registers an asker; it hears the answer through the receiver.
    pub(super) fn wait_for(&mut self, attempt: AttemptId) -> oneshot::Receiver<PeerResponseBody> {
        let (sender, receiver) = oneshot::channel();
        self.waiting.entry(attempt).or_default().push(sender);
        receiver
    }

    /// The engine has reported about itself, asked at this moment.
    pub(super) fn note_report(&self, asked_at: Moment) {
        self.reported.send_replace(Some(asked_at));
    }

    /// When the engine was asked for its last report; `None` before the first.
    pub(super) fn reported(&self) -> watch::Receiver<Option<Moment>> {
        self.reported.subscribe()
    }

    /// Answers every asker of the attempt.
    pub(super) fn answer(&mut self, attempt: AttemptId, answer: PeerResponseBody) {
        for sender in self.waiting.remove(&attempt).unwrap_or_default() {
            // An asker that went away has given up; its release follows.
            let _ = sender.send(answer.clone());
        }
    }

    pub(super) fn set_limits(
        &mut self,
        now: Moment,
        limits: AdmissionLimits,
    ) -> Vec<AdmissionAction> {
        if self.limits == limits {
            return Vec::new();
        }
        self.limits = limits.clone();
        self.admission.set_limits(now, limits)
    }

    /// Sets or clears a reason to stop; nothing happens when it is as it was.
    pub(super) fn set_stopped(
        &mut self,
        now: Moment,
        reason: EngineStopReason,
        stopped: bool,
    ) -> Vec<AdmissionAction> {
        let key = match reason {
            EngineStopReason::Operator => StopKey::Operator,
            _ => StopKey::MachineList,
        };
        let was = self.stopped.insert(key, stopped).unwrap_or(false);
        match (was, stopped) {
            (false, true) => self.admission.stop(now, reason),
            (true, false) => self.admission.resume(now, reason),
            _ => Vec::new(),
        }
    }
}

impl Drop for EngineHome {
    fn drop(&mut self) {
        self.poller.abort();
    }
}
