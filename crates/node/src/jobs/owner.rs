//! Owns jobs: keeps the rules and versions of each in its stream and assigns its open slots to
//! nodes. Two owners at once assign a slot to the same node, which runs it once; whatever happens,
//! the stream's order decides which sample counts.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use havenstage_ledger::jobs::OpenSlot;
use havenstage_membership::ownership;
use havenstage_placement::stragglers::{ExpectedSample, dispatch_order};
use havenstage_types::ids::{JobName, Revision, SampleId, StepNumber, streams};
use havenstage_types::job::{JobRecord, JobRules};
use havenstage_types::peer::{SampleAssignment, SampleProgress};
use havenstage_types::resource::{JobSpec, job_key};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use super::committer::Committer;
use super::follower::{FollowedJob, JobFollowers};
use super::sample_drive::SampleDrive;
use crate::context::NodeContext;
use crate::locks::lock;
use crate::node::JobStatus;

/// Time after which a job is looked at even if nothing is known to have changed.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);

/// A step with fewer open slots than this share (in percent) is near its end.
const STRAGGLER_PERCENT: u64 = 10;

/// The jobs this node owns.
pub(crate) struct JobOwners {
    context: Arc<NodeContext>,
    followers: Arc<JobFollowers>,
    owned: Mutex<BTreeMap<JobName, Arc<OwnedJob>>>,
}

/// One job owned by this node.
pub(super) struct OwnedJob {
    pub(super) job: JobName,
    pub(super) followed: Arc<FollowedJob>,
    committer: Committer,
    /// Slots with a task; a task removes its own when it ends.
    pub(super) active: Mutex<BTreeMap<SampleId, JoinHandle<Option<()>>>>,
    pub(super) slot_freed: Notify,
    pub(super) lengths: Mutex<havenstage_placement::stragglers::LengthEstimator>,
    task: Mutex<Option<JoinHandle<Option<()>>>>,
}

impl OwnedJob {
    fn stop(&self) {
        if let Some(task) = lock(&self.task).take() {
            task.abort();
        }
        for (_, task) in std::mem::take(&mut *lock(&self.active)) {
            task.abort();
        }
    }
}

impl JobOwners {
    pub(crate) fn new(context: Arc<NodeContext>, followers: Arc<JobFollowers>) -> Arc<Self> {
        Arc::new(Self {
            context,
            followers,
            owned: Mutex::new(BTreeMap::new()),
        })
    }

    /// Jobs as operators see them.
    pub(crate) fn status(&self) -> Vec<JobStatus> {
        lock(&self.owned)
            .values()
            .map(|owned| {
                let running = lock(&owned.active).len() as u64;
                owned.followed.follower.with(|fold| JobStatus {
                    name: owned.job.clone(),
                    step: fold.ledger.open_steps().next().unwrap_or_default(),
                    open_slots: fold.ledger.open_slots().count() as u64,
                    running,
                })
            })
            .collect()
    }

    fn reconcile(self: &Arc<Self>) {
        let state = self.context.state();
        let view = self.context.view();
        let own = self.context.node_id();
        let wanted: BTreeSet<JobName> = state
            .jobs()
            .map(|(name, _)| name)
            .filter(|name| ownership::owner_of_job(&view, name) == Some(own))
            .collect();
        let mut owned = lock(&self.owned);
        owned.retain(|name, job| {
            let keep = wanted.contains(name);
            if !keep {
                log::info!(job = name.as_str(); "job handed over");
                job.stop();
            }
            keep
        });
        for name in wanted {
            owned
                .entry(name.clone())
                .or_insert_with(|| self.take_over(name));
        }
    }

    fn take_over(self: &Arc<Self>, job: JobName) -> Arc<OwnedJob> {
        log::info!(job = job.as_str(); "job taken over");
        let owned = Arc::new(OwnedJob {
            followed: self.followers.follow(&job),
            committer: Committer::start(self.context.clone(), streams::job(&job)),
            job,
            active: Mutex::new(BTreeMap::new()),
            slot_freed: Notify::new(),
            lengths: Mutex::default(),
            task: Mutex::new(None),
        });
        let driver = JobDriver {
            owners: self.clone(),
            owned: owned.clone(),
        };
        let task = self.context.environment.spawner.spawn(driver.run());
        *lock(&owned.task) = Some(task);
        owned
    }
}

/// Takes over and hands over jobs as configuration and membership change, for ever.
pub(crate) async fn run(owners: Arc<JobOwners>) {
    let mut config = owners.context.config.subscribe();
    let mut view = owners.context.members.subscribe();
    loop {
        owners.reconcile();
        tokio::select! {
            biased;
            changed = config.changed() => if changed.is_err() { return },
            changed = view.changed() => if changed.is_err() { return },
        }
    }
}

/// Drives one owned job.
struct JobDriver {
    owners: Arc<JobOwners>,
    owned: Arc<OwnedJob>,
}

impl JobDriver {
    async fn run(self) {
        let follower = self.owned.followed.follower.clone();
        follower.caught_up().await;
        let mut config = self.owners.context.config.subscribe();
        let mut progress = follower.subscribe();
        loop {
            config.borrow_and_update();
            progress.borrow_and_update();
            self.review().await;
            tokio::select! {
                biased;
                _ = config.changed() => {}
                _ = progress.changed() => {}
                () = self.owned.slot_freed.notified() => {}
                () = tokio::time::sleep(REVIEW_INTERVAL) => {}
            }
        }
    }

    async fn review(&self) {
        let state = self.owners.context.state();
        let Some(spec) = state.job(&self.owned.job) else {
            return;
        };
        let Some(resource) = state.get(&job_key(&self.owned.job)) else {
            return;
        };
        self.record_rules(spec, resource.revision).await;
        self.record_version(&state, spec).await;
        self.forget_finished_steps();
        self.start_slots(spec);
    }

    fn staleness_bound(&self, spec: &JobSpec) -> u64 {
        if self.owners.context.mechanisms.staleness_bound {
            spec.staleness_bound
        } else {
            u64::MAX
        }
    }

    async fn record_rules(&self, spec: &JobSpec, revision: Revision) {
        let follower = &self.owned.followed.follower;
        let known = follower.with(|fold| fold.ledger.rules_revision());
        if known >= Some(revision) {
            return;
        }
        let record = JobRecord::RulesChanged {
            revision,
            rules: JobRules {
                staleness_bound: self.staleness_bound(spec),
                ..JobRules::from(spec)
            },
        };
        self.append_and_read_back(&record).await;
    }

    async fn record_version(&self, state: &havenstage_config::ConfigState, spec: &JobSpec) {
        let published = state
            .pool(&spec.pool)
            .and_then(|pool| state.newest_version(&pool.model))
            .map(|version| version.number);
        let follower = &self.owned.followed.follower;
        let known = follower.with(|fold| fold.ledger.newest_version());
        if let Some(version) = published.filter(|_| known < published) {
            self.append_and_read_back(&JobRecord::VersionPublished(version))
                .await;
        }
    }

    async fn append_and_read_back(&self, record: &JobRecord) {
        if let Some(offset) = self.owned.committer.append(record).await {
            let next = havenstage_types::ids::LogOffset(offset.0 + 1);
            self.owned.followed.follower.reached(next).await;
        }
    }

    /// Stops tasks of steps that are not open any more.
    fn forget_finished_steps(&self) {
        let open: BTreeSet<StepNumber> = self
            .owned
            .followed
            .follower
            .with(|fold| fold.ledger.open_steps().collect());
        lock(&self.owned.active).retain(|sample, task| {
            let keep = open.contains(&sample.step);
            if !keep {
                task.abort();
            }
            keep
        });
    }

    fn start_slots(&self, spec: &JobSpec) {
        let context = &self.owners.context;
        if context.lifecycle.is_stopping() || context.check_dispatch().is_err() {
            return;
        }
        let follower = &self.owned.followed.follower;
        let slots: Vec<OpenSlot> = follower.with(|fold| fold.ledger.open_slots().collect());
        let straggling = is_near_end(&slots, spec);
        let mut active = lock(&self.owned.active);
        let room = self.room(spec).saturating_sub(active.len());
        let idle: Vec<OpenSlot> = slots
            .into_iter()
            .filter(|slot| !active.contains_key(&self.sample_id(slot)))
            .collect();
        for index in self.longest_first(&idle, spec).into_iter().take(room) {
            let slot = &idle[index];
            let id = self.sample_id(slot);
            let task = self.start_sample(id.clone(), slot, spec, straggling);
            active.insert(id, task);
        }
    }

    /// Samples that may be assigned at once: enough to keep the pool's queues filled, so that the
    /// longest of the others still can go first.
    fn room(&self, spec: &JobSpec) -> usize {
        let state = self.owners.context.state();
        let slots_per_engine = state
            .pool(&spec.pool)
            .map_or(0, |pool| pool.max_running_per_engine as usize);
        let slots = state.engines_of_pool(&spec.pool).count() * slots_per_engine;
        let percent = self.owners.context.settings.placement.assigned_percent;
        let wanted = slots * percent as usize / 100;
        wanted.clamp(1, self.owners.context.settings.max_running_samples)
    }

    fn longest_first(&self, slots: &[OpenSlot], spec: &JobSpec) -> Vec<usize> {
        let lengths = lock(&self.owned.lengths);
        let expected: Vec<ExpectedSample> = slots
            .iter()
            .map(|slot| ExpectedSample {
                index: slot.index,
                expected_tokens: lengths.expected_tokens(slot.prompt_index, spec.max_tokens),
            })
            .collect();
        dispatch_order(&expected)
    }

    fn start_sample(
        &self,
        id: SampleId,
        slot: &OpenSlot,
        spec: &JobSpec,
        straggler: bool,
    ) -> JoinHandle<Option<()>> {
        let prompt = spec
            .prompts
            .get(slot.prompt_index as usize)
            .cloned()
            .unwrap_or_default();
        let assignment = SampleAssignment {
            id,
            prompt_index: slot.prompt_index,
            prompt,
            pool: spec.pool.clone(),
            max_tokens: spec.max_tokens,
            staleness_bound: self.staleness_bound(spec),
            straggler,
            progress: SampleProgress::default(),
        };
        let context = self.owners.context.clone();
        let drive = SampleDrive::new(context.clone(), self.owned.clone());
        context.environment.spawner.spawn(drive.run(assignment))
    }

    fn sample_id(&self, slot: &OpenSlot) -> SampleId {
        SampleId {
            job: self.owned.job.clone(),
            step: slot.step,
            index: slot.index,
        }
    }
}

/// Whether the oldest open step has so few open slots that they hold up the trainer.
fn is_near_end(slots: &[OpenSlot], spec: &JobSpec) -> bool {
    let Some(oldest) = slots.iter().map(|slot| slot.step).min() else {
        return false;
    };
    let left = slots.iter().filter(|slot| slot.step == oldest).count() as u64;
    left * 100 <= u64::from(spec.samples_per_step) * STRAGGLER_PERCENT
}
