//! Drives one hosted partition: follows its stream, keeps time, sends and appends.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use havenstage_platform::log_service::LogError;
use havenstage_replication::{BatchEnd, ProposalAnswer};
use havenstage_types::claim::{ClaimCommand, ClaimRecord};
use havenstage_types::clock::Moment;
use havenstage_types::codec;
use havenstage_types::ids::{LogOffset, Partition, streams};
use havenstage_types::peer::{PeerRequestBody, PeerResponseBody, RawRecord};
use havenstage_types::replica::ReplicaEnvelope;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use super::partition::{Effect, PartitionState};
use super::tending;
use crate::context::NodeContext;
use crate::locks::lock;
use crate::stream_follower::{StreamFold, StreamFollower};

/// Time between two looks at the group's members.
const TENDING_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time an append to the log may take before it counts as failed.
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);

/// A partition's state as the fold of its stream.
struct PartitionFold(Arc<Mutex<PartitionState>>);

impl StreamFold for PartitionFold {
    fn next_offset(&self) -> LogOffset {
        lock(&self.0).next_offset()
    }

    fn apply(&mut self, record: &RawRecord) {
        let mut state = lock(&self.0);
        match codec::decode::<ClaimRecord>(&record.payload) {
            Ok(decoded) => state.apply(record.offset, &decoded),
            Err(_undecodable) => state.skip(record.offset),
        }
    }
}

/// One partition with its tasks.
pub(super) struct HostedPartition {
    pub(super) partition: Partition,
    pub(super) context: Arc<NodeContext>,
    state: Arc<Mutex<PartitionState>>,
    follower: Arc<StreamFollower<PartitionFold>>,
    /// Told when the time of the next tick may have changed.
    woken: Notify,
    tasks: Mutex<Vec<JoinHandle<Option<()>>>>,
}

impl HostedPartition {
    /// Starts following the partition's stream.
    pub(super) fn start(
        context: Arc<NodeContext>,
        partition: Partition,
        state: Arc<Mutex<PartitionState>>,
    ) -> Arc<Self> {
        let fold = PartitionFold(state.clone());
        let follower = StreamFollower::new(streams::claims(partition), fold);
        let hosted = Arc::new(Self {
            partition,
            context,
            state,
            follower,
            woken: Notify::new(),
            tasks: Mutex::new(Vec::new()),
        });
        let spawner = &hosted.context.environment.spawner;
        let follow = spawner.spawn(hosted.follower.clone().run(hosted.context.clone()));
        let keep_time = spawner.spawn(hosted.clone().run());
        lock(&hosted.tasks).extend([follow, keep_time]);
        hosted
    }

    /// Ends the partition's tasks. Its state stays with whoever holds it.
    pub(super) fn stop(&self) {
        for task in lock(&self.tasks).drain(..) {
            task.abort();
        }
    }

    /// Looks at the state.
    pub(super) fn with<T>(&self, look: impl FnOnce(&PartitionState) -> T) -> T {
        look(&lock(&self.state))
    }

    /// Changes the state and carries out what follows.
    pub(super) fn act<T>(
        self: &Arc<Self>,
        change: impl FnOnce(&mut PartitionState, Moment) -> (T, Vec<Effect>),
    ) -> T {
        let now = self.context.now();
        let (result, effects) = change(&mut lock(&self.state), now);
        for effect in effects {
            self.perform(effect);
        }
        self.woken.notify_one();
        result
    }

    /// When the last read that reached the stream's end was sent.
    pub(super) fn log_confirmed_at(&self) -> Option<Moment> {
        *self.follower.confirmations().borrow()
    }

    /// Proposes a command and waits for what comes of it.
    pub(super) async fn propose(self: &Arc<Self>, command: ClaimCommand) -> ProposalAnswer {
        let answer = self.act(|state, now| state.propose(now, command));
        answer.await.unwrap_or(ProposalAnswer::Interrupted)
    }

    async fn run(self: Arc<Self>) {
        let mut progress = self.follower.subscribe();
        let mut confirmations = self.follower.confirmations();
        let mut tend_at = tokio::time::Instant::now();
        loop {
            let wait = self.time_to_tick();
            tokio::select! {
                _ = progress.changed() => self.note_read(),
                _ = confirmations.changed() => self.note_read(),
                () = self.woken.notified() => {}
                () = tokio::time::sleep(wait) => {}
                () = tokio::time::sleep_until(tend_at) => {
                    tend_at = tokio::time::Instant::now() + TENDING_INTERVAL;
                    tending::tend(&self).await;
                }
            }
            self.tick();
        }
    }

    fn time_to_tick(&self) -> Duration {
        let now = self.context.now();
        let next_tick = self.with(|state| state.next_tick(now));
        next_tick.map_or(TENDING_INTERVAL, |next_tick| next_tick.since(now))
    }

    fn note_read(self: &Arc<Self>) {
        let id = self.context.node_id();
        let confirmed_at = self.log_confirmed_at();
        self.perform_all(|state, now| state.note_read(id, now, confirmed_at));
    }

    fn tick(self: &Arc<Self>) {
        self.perform_all(PartitionState::tick);
    }

    /// Like [`Self::act`], from the task that keeps the time itself.
    fn perform_all(
        self: &Arc<Self>,
        change: impl FnOnce(&mut PartitionState, Moment) -> Vec<Effect>,
    ) {
        let now = self.context.now();
        let effects = change(&mut lock(&self.state), now);
        for effect in effects {
            self.perform(effect);
        }
    }

    fn perform(self: &Arc<Self>, effect: Effect) {
        let hosted = self.clone();
        let spawner = &self.context.environment.spawner;
        match effect {
            Effect::Send(envelope) => {
                spawner.spawn(async move { hosted.send(*envelope).await });
            }
            Effect::WriteBatch {
                generation,
                batch,
                record,
            } => {
                spawner.spawn(async move { hosted.write_batch(generation, batch, record).await });
            }
        }
    }

    async fn send(self: Arc<Self>, envelope: ReplicaEnvelope<ClaimCommand>) {
        let to = envelope.to;
        let generation = envelope.group.generation;
        let Some(member) = envelope.group.member(to).cloned() else {
            return;
        };
        let timeout = self.context.settings.peer_timeout();
        let body = PeerRequestBody::Replica(Box::new(envelope));
        let answer = self.context.call_member(&member, body, timeout).await;
        let Ok(PeerResponseBody::Replica(messages)) = answer else {
            return;
        };
        for message in messages {
            self.act(|state, now| ((), state.take_answer(now, generation, to, message)));
        }
    }

    async fn write_batch(self: Arc<Self>, generation: LogOffset, batch: u64, record: ClaimRecord) {
        let end = match self.append(&record).await {
            Ok(()) => BatchEnd::Taken,
            Err(_) => BatchEnd::Failed,
        };
        self.act(|state, now| ((), state.batch_ended(now, generation, batch, end)));
    }

    /// Appends a record to the partition's stream.
    pub(super) async fn append(&self, record: &ClaimRecord) -> Result<(), LogError> {
        let payload: Bytes = codec::encode(record).map_err(|_unencodable| LogError::Malformed)?;
        let log = &self.context.environment.log;
        let append = log.append(self.follower.stream(), vec![payload]);
        let appended = tokio::time::timeout(APPEND_TIMEOUT, append).await;
        appended.unwrap_or(Err(LogError::NoAnswer)).map(|_| ())
    }
}
