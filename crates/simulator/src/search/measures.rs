//! Times that a run measures: how fast configuration spreads, how soon a leaving engine is left
//! alone, and how fast the roles of a dead node move.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use havenstage_history::event::{EventBody, HistoryEvent};
use havenstage_types::ids::{EngineName, LogOffset, NodeId};
use havenstage_types::member::{Member, MemberState};
use tokio::task::JoinHandle;

use crate::world::World;

/// Time between two looks at the nodes.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// The largest times of a run, in milliseconds; `None` where nothing happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Measures {
    /// From the append of an accepted change to the word that it is in force everywhere.
    pub config_in_force_ms: Option<u64>,
    /// From the word that a back end leaves to the last new work it got.
    pub leaving_last_work_ms: Option<u64>,
    /// From the end of a node until each of its engines has another home.
    pub engines_moved_ms: Option<u64>,
    /// From the end of a node until no running node counts it as an owner, so that its
    /// partitions and jobs have moved everywhere, also behind cuts.
    pub partitions_moved_ms: Option<u64>,
}

impl Measures {
    /// Takes over what is larger in `other`.
    pub fn take_largest(&mut self, other: &Measures) {
        self.config_in_force_ms = self.config_in_force_ms.max(other.config_in_force_ms);
        self.leaving_last_work_ms = self.leaving_last_work_ms.max(other.leaving_last_work_ms);
        self.engines_moved_ms = self.engines_moved_ms.max(other.engines_moved_ms);
        self.partitions_moved_ms = self.partitions_moved_ms.max(other.partitions_moved_ms);
    }

    pub(super) fn with_history(self, events: &[HistoryEvent], world: &World) -> Self {
        Self {
            config_in_force_ms: config_in_force_ms(events, world),
            leaving_last_work_ms: leaving_last_work_ms(events),
            ..self
        }
    }
}

fn config_in_force_ms(events: &[HistoryEvent], world: &World) -> Option<u64> {
    let clock = world.recorder().clock();
    let times = events.iter().filter_map(|event| match &event.body {
        EventBody::ChangeInForce(in_force) => {
            let offset = LogOffset(in_force.revision.0);
            let appended_at = world.log().config_appended_at(offset)?;
            Some(event.at_ms.saturating_sub(clock.ms_at(appended_at)))
        }
        _ => None,
    });
    times.max()
}

fn leaving_last_work_ms(events: &[HistoryEvent]) -> Option<u64> {
    let mut leaving: BTreeMap<_, u64> = BTreeMap::new();
    let mut longest = None;
    for event in events {
        match &event.body {
            EventBody::BackEndLeaving(word) => {
                leaving.insert((&word.engine, word.origin), event.at_ms);
            }
            EventBody::BackEndReturned(word) => {
                leaving.remove(&(&word.engine, word.origin));
            }
            EventBody::ExecutionStarted(started) => {
                let engine = &started.execution.engine;
                let since = leaving.iter().filter(|((name, _), _)| *name == engine);
                longest = longest.max(since.map(|(_, from_ms)| event.at_ms - from_ms).max());
            }
            _ => {}
        }
    }
    longest
}

/// Looks at the nodes again and again and times how the roles of dead ones move.
pub(super) struct TakeOverWatch {
    state: Arc<Mutex<WatchState>>,
    task: JoinHandle<()>,
}

#[derive(Default)]
struct WatchState {
    running: BTreeMap<usize, Homes>,
    dead: Vec<DeadNode>,
    measures: Measures,
}

#[derive(Clone, Default)]
struct Homes {
    identities: Vec<NodeId>,
    engines: BTreeSet<EngineName>,
}

/// What the nodes that run now believe, taken together.
#[derive(Default)]
struct Views {
    owners: BTreeSet<NodeId>,
    homed: BTreeSet<EngineName>,
}

fn owners(members: &[Member]) -> impl Iterator<Item = NodeId> {
    let owners = members
        .iter()
        .filter(|member| matches!(member.state, MemberState::Alive | MemberState::Suspect));
    owners.map(|member| member.identity.id)
}

struct DeadNode {
    died_at_ms: u64,
    identities: Vec<NodeId>,
    engines: BTreeSet<EngineName>,
    owns: bool,
}

impl TakeOverWatch {
    pub(super) fn start(world: Arc<World>) -> Self {
        let state: Arc<Mutex<WatchState>> = Arc::default();
        let watched = state.clone();
        let task = tokio::spawn(async move {
            loop {
                tokio::time::sleep(LOOK_INTERVAL).await;
                lock(&watched).look(&world);
            }
        });
        Self { state, task }
    }

    pub(super) fn finish(self, world: &World) -> Measures {
        self.task.abort();
        let mut state = lock(&self.state);
        state.look(world);
        state.measures
    }
}

impl WatchState {
    fn look(&mut self, world: &World) {
        let now_ms = world.recorder().clock().now_ms();
        let mut running = BTreeMap::new();
        let mut views = Views::default();
        for process in world.machines().processes() {
            let status = process.node().status();
            let engines = status.engines.into_iter();
            let engines: BTreeSet<_> = engines.map(|engine| EngineName(engine.name)).collect();
            // What a frozen node believes guides nobody.
            if !process.is_frozen() {
                views.homed.extend(engines.iter().cloned());
                views.owners.extend(owners(&status.members));
            }
            let identities = process.identities();
            let homes = Homes {
                identities,
                engines,
            };
            running.insert(process.machine(), homes);
        }
        self.note_deaths(now_ms, &running);
        self.running = running;
        self.note_moves(now_ms, &views);
    }

    fn note_deaths(&mut self, now_ms: u64, running: &BTreeMap<usize, Homes>) {
        for (machine, before) in &self.running {
            let lives_on = running
                .get(machine)
                .is_some_and(|now| now.identities.first() == before.identities.first());
            if !lives_on {
                self.dead.push(DeadNode {
                    died_at_ms: now_ms,
                    identities: before.identities.clone(),
                    engines: before.engines.clone(),
                    owns: true,
                });
            }
        }
    }

    fn note_moves(&mut self, now_ms: u64, views: &Views) {
        for dead in &mut self.dead {
            let since_ms = now_ms - dead.died_at_ms;
            if !dead.engines.is_empty() {
                dead.engines.retain(|engine| !views.homed.contains(engine));
                if dead.engines.is_empty() {
                    let longest = &mut self.measures.engines_moved_ms;
                    *longest = (*longest).max(Some(since_ms));
                }
            }
            if dead.owns && !dead.identities.iter().any(|id| views.owners.contains(id)) {
                dead.owns = false;
                let longest = &mut self.measures.partitions_moved_ms;
                *longest = (*longest).max(Some(since_ms));
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
