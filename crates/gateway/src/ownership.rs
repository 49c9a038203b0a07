//! Which partitions this node owns, by the group's leases.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use havenstage_rollout::Millis;
use log::{info, warn};
use tokio::sync::Notify;

use crate::context::Context;
use crate::edge::{JoinRequest, LogStream, Membership, StreamPartition};

/// Calls that keep the membership, for each lease.
const CALLS_PER_LEASE: u32 = 4;
/// Share of a lease in which its holder may rely on it, by its own clock.
const RELIABLE_SHARE: f64 = 0.75;
/// Pause after which a failed call is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Time for the owner's work to write down what it has of partitions that move away.
const HAND_OVER_PAUSE: Duration = Duration::from_millis(60);

/// What this node owns.
pub struct Ownership {
    inner: Mutex<Owned>,
    work: Arc<Notify>,
}

#[derive(Default)]
struct Owned {
    partitions: BTreeSet<StreamPartition>,
    generation: u64,
    reliable_until: Millis,
}

impl Ownership {
    /// Owns nothing; changes wake `work`.
    pub fn new(work: Arc<Notify>) -> Self {
        Self {
            inner: Mutex::new(Owned::default()),
            work,
        }
    }

    /// Whether the node owns a partition, as far as it was told.
    pub fn owns(&self, partition: StreamPartition) -> bool {
        self.lock().partitions.contains(&partition)
    }

    /// Whether the lease of a partition has certainly not run out.
    pub fn holds(&self, partition: StreamPartition, now: Millis) -> bool {
        let owned = self.lock();
        owned.partitions.contains(&partition) && now < owned.reliable_until
    }

    /// Partitions of a stream that the node owns.
    pub fn owned(&self, stream: LogStream) -> Vec<StreamPartition> {
        let owned = self.lock();
        owned
            .partitions
            .iter()
            .filter(|partition| partition.stream == stream)
            .copied()
            .collect()
    }

    /// Takes the answer to a call that was sent at `sent`.
    fn take(&self, membership: Membership, sent: Millis, lease: Duration) -> OwnershipChange {
        let mut owned = self.lock();
        let partitions: BTreeSet<_> = membership.partitions.into_iter().collect();
        let change = OwnershipChange {
            gained: partitions.difference(&owned.partitions).copied().collect(),
            lost: owned.partitions.difference(&partitions).copied().collect(),
        };
        owned.partitions = partitions;
        owned.generation = membership.generation;
        owned.reliable_until = sent + (lease.as_millis() as f64 * RELIABLE_SHARE) as Millis;
        drop(owned);
        if !change.is_empty() {
            self.work.notify_one();
        }
        change
    }

    /// Gives up everything.
    fn clear(&self) {
        let mut owned = self.lock();
        owned.partitions.clear();
        owned.reliable_until = 0;
        drop(owned);
        self.work.notify_one();
    }

    fn generation(&self) -> u64 {
        self.lock().generation
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Owned> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct OwnershipChange {
    gained: Vec<StreamPartition>,
    lost: Vec<StreamPartition>,
}

impl OwnershipChange {
    fn is_empty(&self) -> bool {
        self.gained.is_empty() && self.lost.is_empty()
    }
}

/// Keeps the membership until the node stops, then leaves.
pub async fn keep_membership(context: Arc<Context>) {
    let lease = context.settings.lease();
    let mut connected = true;
    while !context.is_stopping() {
        let sent = context.now();
        let request = JoinRequest {
            member: context.node.to_string(),
            ttl: lease,
            generation: context.ownership.generation(),
        };
        match context.log.join(request).await {
            Ok(membership) => {
                if !connected {
                    info!(event = "dependency_regained", dependency = "membership"; "");
                    connected = true;
                }
                let generation = membership.generation;
                let change = context.ownership.take(membership, sent, lease);
                report(&change, generation);
                if change.lost.is_empty() {
                    tokio::time::sleep(lease / CALLS_PER_LEASE).await;
                } else {
                    // The next call, which names this generation, passes the partitions on.
                    tokio::time::sleep(HAND_OVER_PAUSE).await;
                }
            }
            Err(error) => {
                if connected {
                    warn!(event = "dependency_lost", dependency = "membership",
                        reason = error.to_string().as_str(); "");
                    connected = false;
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Gives up all partitions and leaves the group.
pub async fn leave(context: &Context) {
    context.ownership.clear();
    tokio::time::sleep(HAND_OVER_PAUSE).await;
    let member = context.node.to_string();
    if let Err(error) = context.log.leave(&member).await {
        warn!(event = "leave_failed", reason = error.to_string().as_str(); "");
    }
}

fn report(change: &OwnershipChange, generation: u64) {
    for (partitions, outcome) in [(&change.gained, "gained"), (&change.lost, "lost")] {
        for id in partitions {
            let stream = format!("{:?}", id.stream);
            info!(event = "partition_owner", stream = stream.as_str(), partition = id.partition,
                generation = generation, outcome = outcome; "");
        }
    }
}
