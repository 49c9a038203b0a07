//! The lease for orders: who holds it, and until when its holder relies on it.

use std::sync::atomic::Ordering;
use std::time::Duration;

use havenstage_clock::AwakeInstant;
use havenstage_rollout::Millis;
use havenstage_rollout::control_record::ControlRecord;
use havenstage_rollout::lease::Term;
use log::{info, warn};

use super::{Coordinator, HeldLease};
use crate::claim_timing::claim_timing;
use crate::edge::Appended;
use crate::lease_grant::LeaseGrant;
use crate::log_writes::{append_control, append_heartbeat};

/// Share of the silence after which others claim in which the holder relies on its lease.
const RELIABLE_SHARE: f64 = 0.7;

impl Coordinator {
    /// Believes the log about who holds the lease.
    pub(super) fn follow_lease(&mut self) {
        let inner = self.context.control.lock();
        let lease = inner.state.lease();
        let term = lease.is_held_by(&self.context.node).then(|| lease.term());
        drop(inner);
        let now = self.context.now();
        match (term, self.lease) {
            (Some(term), None) if !self.context.is_stopping() => {
                info!(event = "order_lease_held", term = term; "");
                self.context.set_lease_grant(Some(LeaseGrant {
                    term,
                    since: AwakeInstant::now(),
                    valid_until: self.valid_until.clone(),
                }));
                // Not reliable until a sign of life was answered.
                self.lease = Some(HeldLease {
                    term,
                    since: now,
                    kept_at: 0,
                    sign_stood_at: None,
                });
                self.settle_pending();
            }
            (None, Some(lease)) => {
                info!(event = "order_lease_lost", term = lease.term; "");
                self.lease = None;
                self.context.set_lease_grant(None);
                self.valid_until.store(0, Ordering::Relaxed);
                self.taken.clear();
            }
            _ => {}
        }
    }

    /// The current term, if this node may claim the lease now.
    pub(super) fn claimable_term(&self) -> Option<Term> {
        let view = &self.context.control;
        let readable_since = view.readable_since(self.context.now())?;
        let term = view.lock().state.lease().term();
        let timing = claim_timing(&self.context, &format!("{} {term}", self.context.node));
        let inner = view.lock();
        let lease = inner.state.lease();
        let at = lease.claimable_at(&self.context.node, readable_since, &timing);
        (self.context.now() >= at).then(|| lease.term())
    }

    /// Claims the lease if the log, read to its end, still shows no sign of its holder.
    pub(super) async fn claim(&mut self) {
        let (log, clock) = (self.context.log.clone(), self.context.clock);
        let view = &self.context.control;
        if view
            .confirm(log.as_ref(), clock, Duration::ZERO)
            .await
            .is_err()
        {
            view.read_failed();
            return;
        }
        let Some(term) = self.claimable_term() else {
            return;
        };
        let holder = self.context.node.clone();
        let record = ControlRecord::LeaseClaimed {
            term: term + 1,
            holder,
        };
        if let Err(error) = append_control(&self.context, &record).await {
            warn!(event = "order_claim_failed", reason = error.to_string().as_str(); "");
        }
        // Whether the claim counts is seen in the log.
        let _ = view.confirm(log.as_ref(), clock, Duration::ZERO).await;
    }

    /// Gives a sign of life when one is due; its answer is what the lease rests on.
    pub(super) async fn keep_lease(&mut self) {
        let Some(lease) = self.lease else { return };
        let tuning = &self.context.settings.tuning;
        let sent = self.context.now();
        if sent.saturating_sub(lease.kept_at) < tuning.keep_ms {
            return;
        }
        let reliable_ms = (tuning.silence_ms as f64 * RELIABLE_SHARE) as Millis;
        let after = lease.sign_stood_at.map(|at| at.elapsed());
        let holder = self.context.node.clone();
        let record = ControlRecord::LeaseKept {
            term: lease.term,
            holder,
            after_ms: after.unwrap_or_default().as_millis() as Millis,
        };
        let appended = append_heartbeat(&self.context, &record).await.ok();
        let sign_stood_at = appended.map(|_| AwakeInstant::now());
        let is_current = match appended {
            Some(appended) => self.is_kept(appended, lease.term).await,
            None => false,
        };
        if let Some(lease) = &mut self.lease {
            lease.kept_at = sent;
            lease.sign_stood_at = sign_stood_at;
            if is_current {
                self.valid_until
                    .store(sent + reliable_ms, Ordering::Relaxed);
            }
        }
    }

    /// Whether a sign of life that was written counts: no newer term stands before it. That the
    /// log took it proves nothing by itself, as it takes those of a former holder too.
    async fn is_kept(&self, appended: Appended, term: Term) -> bool {
        let (log, view) = (self.context.log.as_ref(), &self.context.control);
        if view
            .confirm(log, self.context.clock, Duration::ZERO)
            .await
            .is_err()
        {
            return false;
        }
        let inner = view.lock();
        let lease = inner.state.lease();
        inner.next > appended.offset && lease.term() == term && lease.is_held_by(&self.context.node)
    }

    pub(super) async fn release(&mut self) {
        let Some(lease) = self.lease.take() else {
            return;
        };
        self.context.set_lease_grant(None);
        self.valid_until.store(0, Ordering::Relaxed);
        let record = ControlRecord::LeaseReleased { term: lease.term };
        if let Err(error) = append_control(&self.context, &record).await {
            warn!(event = "order_release_failed", reason = error.to_string().as_str(); "");
        }
        info!(event = "order_lease_released", term = lease.term; "");
    }

    /// Whether the lease certainly holds.
    pub(super) fn may_order(&self) -> bool {
        let Some(lease) = self.lease else {
            return false;
        };
        let now = self.context.now();
        let is_awake =
            now.saturating_sub(lease.since) >= self.context.settings.bounds.order_thaw_ms;
        now < self.valid_until.load(Ordering::Relaxed) && is_awake
    }
}
