//! The owner's side of at-most-once requests: appends claims to the partition's stream and answers
//! from what it reads back, so that two owners at once give the same answers.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use havenstage_edge::log_service::LogError;
use havenstage_ledger::claims::ClaimLedger;
use havenstage_membership::ownership;
use havenstage_types::claim::{Claim, ClaimOutcome, ClaimRecord, ClaimVerdict};
use havenstage_types::codec;
use havenstage_types::ids::{AttemptId, IdempotencyKey, LogOffset, Partition, streams};
use havenstage_types::peer::{PeerFailure, PeerResponseBody, RawRecord};
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout_at};

use crate::context::NodeContext;
use crate::locks::lock;
use crate::stream_follower::{StreamFold, StreamFollower};

/// Time a claim may take to be read back.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(2);

/// Partitions followed by this node.
pub(crate) struct ClaimOwner {
    context: Arc<NodeContext>,
    partitions: Mutex<BTreeMap<Partition, FollowedPartition>>,
}

struct FollowedPartition {
    follower: Arc<StreamFollower<ClaimFold>>,
    task: JoinHandle<Option<()>>,
}

impl Drop for FollowedPartition {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The claim fold behind a follower.
#[derive(Default)]
struct ClaimFold(ClaimLedger);

impl StreamFold for ClaimFold {
    fn next_offset(&self) -> LogOffset {
        self.0.next_offset()
    }

    fn apply(&mut self, record: &RawRecord) {
        let applied = match codec::decode::<ClaimRecord>(&record.payload) {
            Ok(decoded) => self.0.apply(record.offset, &decoded),
            Err(_undecodable) => self.0.skip(record.offset),
        };
        if let Err(error) = applied {
            log::error!("claim stream: {error}");
        }
    }
}

impl ClaimOwner {
    pub(crate) fn new(context: Arc<NodeContext>) -> Arc<Self> {
        Arc::new(Self {
            context,
            partitions: Mutex::new(BTreeMap::new()),
        })
    }

    /// Claims a key for an attempt and answers once the claim has been read back.
    pub(crate) async fn claim(&self, claim: Claim) -> PeerResponseBody {
        let Some(follower) = self.follower(&claim.key) else {
            return PeerResponseBody::Failed(PeerFailure::NotOwner);
        };
        let deadline = Instant::now() + READ_BACK_TIMEOUT;
        let verdict = self.claim_until(&follower, claim, deadline).await;
        verdict.map_or(
            PeerResponseBody::Failed(PeerFailure::LogAway),
            PeerResponseBody::Claim,
        )
    }

    async fn claim_until(
        &self,
        follower: &StreamFollower<ClaimFold>,
        claim: Claim,
        deadline: Instant,
    ) -> Option<ClaimVerdict> {
        timeout_at(deadline, follower.caught_up()).await.ok()?;
        let verdict =
            || follower.with(|fold| fold.0.verdict(&claim.key, claim.attempt, claim.fingerprint));
        if let Some(known) = verdict() {
            return Some(known);
        }
        let record = ClaimRecord::Claim(claim.clone());
        // Only what is said after the claim itself has been read back is final: before that,
        // another attempt may hold the key now and give it up before this claim comes in.
        let offset = self.append(follower, &record, deadline).await.ok()?;
        let read_back = follower.reached(LogOffset(offset.0 + 1));
        timeout_at(deadline, read_back).await.ok()?;
        verdict()
    }

    /// Records that an attempt was abandoned.
    pub(crate) async fn abandon(
        &self,
        key: IdempotencyKey,
        attempt: AttemptId,
    ) -> PeerResponseBody {
        let record = ClaimRecord::Abandon {
            key: key.clone(),
            attempt,
        };
        self.record(&key, record).await
    }

    /// Records what came of an attempt.
    pub(crate) async fn complete(
        &self,
        key: IdempotencyKey,
        attempt: AttemptId,
        outcome: ClaimOutcome,
    ) -> PeerResponseBody {
        let record = ClaimRecord::Outcome {
            key: key.clone(),
            attempt,
            outcome,
        };
        self.record(&key, record).await
    }

    /// Appends a record whose repetition does no harm.
    async fn record(&self, key: &IdempotencyKey, record: ClaimRecord) -> PeerResponseBody {
        let Some(follower) = self.follower(key) else {
            return PeerResponseBody::Failed(PeerFailure::NotOwner);
        };
        let deadline = Instant::now() + READ_BACK_TIMEOUT;
        match self.append(&follower, &record, deadline).await {
            Ok(_) => PeerResponseBody::Done,
            Err(_) => PeerResponseBody::Failed(PeerFailure::LogAway),
        }
    }

    async fn append(
        &self,
        follower: &StreamFollower<ClaimFold>,
        record: &ClaimRecord,
        deadline: Instant,
    ) -> Result<LogOffset, LogError> {
        let payload: Bytes = codec::encode(record).map_err(|_unencodable| LogError::Malformed)?;
        let log = &self.context.environment.log;
        let append = log.append(follower.stream(), vec![payload]);
        timeout_at(deadline, append)
            .await
            .unwrap_or(Err(LogError::NoAnswer))
    }

    /// The follower of the key's partition, started if need be; `None` when another node owns it.
    fn follower(&self, key: &IdempotencyKey) -> Option<Arc<StreamFollower<ClaimFold>>> {
        let partition = ownership::partition_of(key, self.context.settings.partitions);
        if !self.owns(partition) {
            return None;
        }
        let mut partitions = lock(&self.partitions);
        let followed = partitions
            .entry(partition)
            .or_insert_with(|| self.follow(partition));
        Some(followed.follower.clone())
    }

    fn follow(&self, partition: Partition) -> FollowedPartition {
        let follower = StreamFollower::new(streams::claims(partition), ClaimFold::default());
        let run = follower.clone().run(self.context.clone());
        FollowedPartition {
            follower,
            task: self.context.environment.spawner.spawn(run),
        }
    }

    fn owns(&self, partition: Partition) -> bool {
        let view = self.context.view();
        ownership::owner_of_partition(&view, partition) == Some(self.context.node_id())
    }
}

/// Stops following partitions that moved to other nodes, for ever.
pub(crate) async fn run(owner: Arc<ClaimOwner>) {
    let mut view = owner.context.members.subscribe();
    while view.changed().await.is_ok() {
        lock(&owner.partitions).retain(|partition, _| owner.owns(*partition));
    }
}
