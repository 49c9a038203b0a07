//! Operators who race each other with changes to a few shared resources, and one who reads them
//! from all nodes.

use std::sync::Arc;
use std::time::Duration;

use havenstage_history::event::node::{ConfigRead, ReadResult};
use havenstage_history::event::operator::{
    ChangeAnswered, ChangeInForce, ChangeOutcome as ToldOutcome, ChangeProposed, ConfigKey,
};
use havenstage_history::event::{EventBody, EventSource};
use havenstage_history::fingerprint::Fingerprint;
use havenstage_types::config::{ChangeError, ChangeOutcome, ConfigChange, Precondition};
use havenstage_types::ids::{CallerName, ChangeId, Revision};
use havenstage_types::refusal::RefusalReason;
use havenstage_types::resource::{
    PriorityClass, PriorityRuleSpec, Resource, ResourceKey, ResourceKind, ResourceSpec,
};
use tokio::time::Instant;

use super::ask;
use crate::random::SharedRandom;
use crate::world::World;

/// Time beyond which an operator takes a node for dead.
const PATIENCE: Duration = Duration::from_secs(30);

/// Time beyond which a reader takes a node for dead.
const READ_PATIENCE: Duration = Duration::from_secs(5);

/// Longest wait for a change to be in force everywhere.
const WAIT_IN_FORCE: Duration = Duration::from_secs(15);

/// Times a change is sent again while its outcome is not known.
const MAX_REPEATS: u32 = 30;

/// Pause before a change is sent again.
const REPEAT_PAUSE: Duration = Duration::from_millis(500);

/// Rules that the operators race for.
const SHARED_RULES: u64 = 3;

/// Name of a resource in the history.
pub(crate) fn config_key(key: &ResourceKey) -> ConfigKey {
    ConfigKey(format!("{}/{}", key.kind, key.name))
}

/// Fingerprint of a specification in the history.
pub(crate) fn value_of(spec: &ResourceSpec) -> Fingerprint {
    let text = serde_json::to_string(spec).unwrap_or_default();
    Fingerprint::of_text(&text)
}

/// An operator with its own name and its own numbers.
pub(crate) struct Operator {
    pub(crate) world: Arc<World>,
    pub(crate) name: String,
    pub(crate) random: SharedRandom,
    changes: u64,
}

/// What became of a change that an operator pursued to the end.
pub(crate) type Pursued = Option<ChangeOutcome>;

impl Operator {
    pub(crate) fn new(world: Arc<World>, name: &str) -> Self {
        Self {
            random: SharedRandom::new(world.seed(), name),
            name: name.to_owned(),
            changes: 0,
            world,
        }
    }

    pub(crate) fn any_machine(&self) -> usize {
        self.random.below(self.world.machines().all().len() as u64) as usize
    }

    /// Reads a resource at one node and records what it answers. A node whose configuration may be
    /// stale refuses.
    pub(crate) async fn read(&self, machine: usize, key: &ResourceKey) -> Option<Resource> {
        let asked_at_ms = self.world.recorder().clock().now_ms();
        let wanted = key.clone();
        let answer = ask(
            &self.world,
            machine,
            READ_PATIENCE,
            move |node| async move {
                match node.ready() {
                    Err(RefusalReason::ConfigStale | RefusalReason::Stopping) => Err(()),
                    Ok(()) | Err(_) => Ok(node.get(&wanted)),
                }
            },
        )
        .await?;
        let result = match &answer.result {
            Err(()) => ReadResult::RefusedStale,
            Ok(None) => ReadResult::Absent,
            Ok(Some(resource)) => ReadResult::Found {
                revision: resource.revision,
                value: value_of(&resource.spec),
            },
        };
        self.record(EventBody::ConfigRead(ConfigRead {
            node: answer.node,
            asked_at_ms,
            key: config_key(key),
            result,
        }));
        answer.result.ok().flatten()
    }

    /// Proposes a change and repeats it, at any node, until its outcome is known.
    pub(crate) async fn pursue(
        &mut self,
        key: &ResourceKey,
        base: Option<Revision>,
        spec: Option<ResourceSpec>,
        wait_in_force: Option<Duration>,
    ) -> Pursued {
        self.changes += 1;
        let change = ConfigChange {
            id: ChangeId(format!("{}-{}", self.name, self.changes)),
            key: key.clone(),
            precondition: base.map_or(Precondition::Absent, Precondition::AtRevision),
            spec,
        };
        for _ in 0..MAX_REPEATS {
            self.record_proposal(&change, base);
            let outcome = self.propose(&change, wait_in_force).await;
            if outcome.is_some() {
                return outcome;
            }
            tokio::time::sleep(REPEAT_PAUSE).await;
        }
        None
    }

    async fn propose(&self, change: &ConfigChange, wait_in_force: Option<Duration>) -> Pursued {
        let proposed = change.clone();
        let machine = self.any_machine();
        let answer = ask(&self.world, machine, PATIENCE, move |node| async move {
            node.apply(proposed, wait_in_force).await
        });
        let report = match answer.await.map(|answer| answer.result) {
            Some(Ok(report)) => report,
            Some(Err(ChangeError::Invalid(invalid))) => {
                // Refused by one node's view; another may have a newer one, but the operator
                // gives up.
                return Some(ChangeOutcome::Invalid(invalid));
            }
            Some(Err(ChangeError::OutcomeUnknown { .. } | ChangeError::Stopping)) | None => {
                self.record_answer(change, ToldOutcome::Unknown);
                return None;
            }
        };
        match &report.outcome {
            ChangeOutcome::Accepted(revision) => {
                self.record_answer(change, ToldOutcome::Accepted(*revision));
                if report.in_force.is_some_and(|in_force| in_force.everywhere) {
                    self.record(EventBody::ChangeInForce(ChangeInForce {
                        change: change.id.clone(),
                        revision: *revision,
                    }));
                }
            }
            ChangeOutcome::Conflict { .. } | ChangeOutcome::Invalid(_) => {
                self.record_answer(change, ToldOutcome::Conflict);
            }
        }
        Some(report.outcome)
    }

    fn record_proposal(&self, change: &ConfigChange, base: Option<Revision>) {
        self.record(EventBody::ChangeProposed(ChangeProposed {
            change: change.id.clone(),
            key: config_key(&change.key),
            base,
            value: change.spec.as_ref().map(value_of),
        }));
    }

    fn record_answer(&self, change: &ConfigChange, outcome: ToldOutcome) {
        self.record(EventBody::ChangeAnswered(ChangeAnswered {
            change: change.id.clone(),
            outcome,
        }));
    }

    pub(crate) fn record(&self, body: EventBody) {
        let source = EventSource::Operator(self.name.clone());
        self.world.recorder().record(source, body);
    }
}

/// An operator who changes the shared rules again and again until `until`.
pub async fn run_racer(world: Arc<World>, name: String, mean_interval: Duration, until: Instant) {
    let mut operator = Operator::new(world, &name);
    loop {
        let pause = operator.random.exponential(mean_interval);
        if Instant::now() + pause >= until {
            return;
        }
        tokio::time::sleep(pause).await;
        let key = shared_rule(operator.random.below(SHARED_RULES));
        let machine = operator.any_machine();
        let current = operator.read(machine, &key).await;
        let spec = ResourceSpec::PriorityRule(PriorityRuleSpec {
            caller: Some(CallerName(format!("visitor-{}", key.name))),
            class: PriorityClass::Live,
            max_in_flight_per_node: Some(1 + operator.random.below(1_000_000) as u32),
        });
        let base = current.map(|resource| resource.revision);
        let waits = operator.random.chance(0.5);
        let wait = waits.then_some(WAIT_IN_FORCE);
        operator.pursue(&key, base, Some(spec), wait).await;
    }
}

/// An operator who reads the shared rules from all nodes in turn until `until`.
pub async fn run_reader(world: Arc<World>, interval: Duration, until: Instant) {
    let operator = Arc::new(Operator::new(world, "reader"));
    let machines = operator.world.machines().all().len();
    let mut turn = 0;
    while Instant::now() < until {
        tokio::time::sleep(interval).await;
        let machine = turn % machines;
        turn += 1;
        let key = shared_rule(operator.random.below(SHARED_RULES));
        let reading = operator.clone();
        // A node that does not answer must not keep the reader from the others.
        tokio::spawn(async move {
            reading.read(machine, &key).await;
        });
    }
}

fn shared_rule(number: u64) -> ResourceKey {
    ResourceKey {
        kind: ResourceKind::PriorityRule,
        name: format!("shared-{number}"),
    }
}
