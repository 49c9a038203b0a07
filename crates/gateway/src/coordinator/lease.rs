//! The order lease: claim, renewal by heartbeats, release, and how long the holder relies on it.

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

/// Share of the silence timeout, after which other nodes claim the lease, for which the holder relies on its
/// lease after a heartbeat.
const VALIDITY_SHARE: f64 = 0.7;

impl Coordinator {
    /// Sets this node's lease to what the log says about the lease holder.
    pub(super) fn update_lease(&mut self) {
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
                // The lease is not valid until a heartbeat is confirmed.
                self.lease = Some(HeldLease {
                    term,
                    since: now,
                    last_heartbeat_at: 0,
                    heartbeat_logged_at: None,
                });
                self.follow_pending_orders();
            }
            (None, Some(lease)) => {
                info!(event = "order_lease_lost", term = lease.term; "");
                self.lease = None;
                self.context.set_lease_grant(None);
                self.valid_until.store(0, Ordering::Relaxed);
                self.accepted_orders.clear();
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

    /// Claims the lease if the log, read to its end, still shows no heartbeat of its holder.
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
        // The log decides whether the claim succeeded.
        let _ = view.confirm(log.as_ref(), clock, Duration::ZERO).await;
    }

    /// Appends a heartbeat when one is due. The lease is extended if the log confirms the heartbeat.
    pub(super) async fn send_heartbeat_if_due(&mut self) {
        let Some(lease) = self.lease else { return };
        let tuning = &self.context.settings.tuning;
        let sent = self.context.now();
        if sent.saturating_sub(lease.last_heartbeat_at) < tuning.keep_ms {
            return;
        }
        let validity_ms = (tuning.silence_ms as f64 * VALIDITY_SHARE) as Millis;
        let since_last = lease.heartbeat_logged_at.map(|at| at.elapsed());
        let holder = self.context.node.clone();
        let record = ControlRecord::LeaseKept {
            term: lease.term,
            holder,
            after_ms: since_last.unwrap_or_default().as_millis() as Millis,
        };
        let appended = append_heartbeat(&self.context, &record).await.ok();
        let heartbeat_logged_at = appended.map(|_| AwakeInstant::now());
        let is_current = match appended {
            Some(appended) => self.is_renewed_by(appended, lease.term).await,
            None => false,
        };
        if let Some(lease) = &mut self.lease {
            lease.last_heartbeat_at = sent;
            lease.heartbeat_logged_at = heartbeat_logged_at;
            if is_current {
                self.valid_until
                    .store(sent + validity_ms, Ordering::Relaxed);
            }
        }
    }

    /// Whether an appended heartbeat renews the lease: no newer term precedes it in the log. A successful
    /// append alone proves nothing, as the log also accepts the heartbeats of a former holder.
    async fn is_renewed_by(&self, appended: Appended, term: Term) -> bool {
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

    /// Gives the lease up, if this node holds it, and appends the release to the log.
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

    /// Whether this node may send orders: its lease is valid, and it has held the lease for at least
    /// `order_thaw_ms`.
    pub(super) fn can_order(&self) -> bool {
        let Some(lease) = self.lease else {
            return false;
        };
        let now = self.context.now();
        let is_thaw_over =
            now.saturating_sub(lease.since) >= self.context.settings.bounds.order_thaw_ms;
        now < self.valid_until.load(Ordering::Relaxed) && is_thaw_over
    }
}
