//! Claims trials: single runs of requests that are suspected of crashing back ends, to find out whether they do.
//!
//! [`havenstage_rollout::crash_ledger`] decides when a trial is due. A node claims it in the control stream, so that the
//! fleet makes one trial at a time.

use std::collections::HashSet;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use havenstage_rollout::control_record::ControlRecord;
use havenstage_rollout::crash_ledger::Fingerprint;
use log::info;

use crate::context::Context;
use crate::log_writes::append_control_and_read;
use crate::metrics;

/// Maximum time that a call waits for its claim of a trial: some ten times what an append and a read of the log take.
const TRIAL_CLAIM_TIMEOUT: Duration = Duration::from_millis(200);

/// The requests of which this node is claiming a trial.
#[derive(Default)]
pub(crate) struct TrialClaims(Mutex<HashSet<Fingerprint>>);

impl TrialClaims {
    fn lock(&self) -> MutexGuard<'_, HashSet<Fingerprint>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Marks that this node is claiming a trial of a request, until it is dropped.
struct ClaimInProgress<'a> {
    claims: &'a TrialClaims,
    request: Fingerprint,
}

impl<'a> ClaimInProgress<'a> {
    /// `None` if this node is claiming a trial of the request already.
    fn begin(claims: &'a TrialClaims, request: Fingerprint) -> Option<Self> {
        let is_first = claims.lock().insert(request);
        is_first.then_some(Self { claims, request })
    }
}

impl Drop for ClaimInProgress<'_> {
    fn drop(&mut self) {
        self.claims.lock().remove(&self.request);
    }
}

/// Claims the next trial of a request for this node if one is due. Returns whether this node may make it now. Without the
/// log there are no trials, since other nodes could make the same one.
pub(crate) async fn claim(context: &Context, request: &Fingerprint, id: &str) -> bool {
    let due = {
        let control = context.control.lock();
        control.state.crashes().due_trial(request, context.now())
    };
    let Some(number) = due else {
        return false;
    };
    let Some(_claim_in_progress) = ClaimInProgress::begin(&context.trial_claims, *request) else {
        return false;
    };
    let record = ControlRecord::TrialClaimed {
        request: *request,
        number,
        node: context.node.clone(),
    };
    let appended = append_control_and_read(context, &record);
    let appended = tokio::time::timeout(TRIAL_CLAIM_TIMEOUT, appended).await;
    let is_held = {
        let control = context.control.lock();
        let crashes = control.state.crashes();
        crashes.holds_unused_trial(request, &context.node)
    };
    let failure = match appended {
        Ok(Ok(())) => String::new(),
        Ok(Err(error)) => error.to_string(),
        Err(elapsed) => elapsed.to_string(),
    };
    info!(event = "trial_claimed", request = id, content = request.to_string().as_str(),
        number = number, is_held = is_held, reason = failure.as_str(); "");
    metrics::trial_claimed(is_held);
    is_held
}
