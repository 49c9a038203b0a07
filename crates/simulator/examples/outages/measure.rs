//! One run of an outage and its figures.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use havenstage_history::checker::check;
use havenstage_history::event::caller::{CallId, ToldExecution};
use havenstage_history::event::{EventBody, HistoryEvent};
use havenstage_node::settings::ClaimStore;
use havenstage_simulator::clients::callers;
use havenstage_simulator::deployment::Deployment;
use havenstage_simulator::faults::injector;
use havenstage_simulator::runtime::{self, RuntimeError};
use havenstage_simulator::scenario::Scenario;
use havenstage_simulator::world::World;
use havenstage_simulator::world::log::StreamCounts;
use havenstage_types::claim::ClaimRecord;
use havenstage_types::codec;
use havenstage_types::ids::{Partition, streams};
use havenstage_types::replica::EntryPayload;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use super::scenarios::OutageScenario;

const READY: Duration = Duration::from_secs(60);
const BEFORE: Duration = Duration::from_secs(40);
const CALLERS_STOP_BEFORE_END: Duration = Duration::from_secs(30);
const AFTER: Duration = Duration::from_secs(90);
const SAMPLING: Duration = Duration::from_millis(100);
const SECOND_MS: u64 = 1_000;

/// Figures of one run, or sums over runs (the largest one where that is said).
#[derive(Debug, Clone, Default)]
pub struct Figures {
    /// Not-repeatable requests that began while the log was away.
    requests: u64,
    served: u64,
    not_run: u64,
    unknown: u64,
    ran: u64,
    broken: u64,
    /// Repeatable requests that began meanwhile, and those served: what the engines could do.
    repeatable: u64,
    repeatable_served: u64,
    violations: u64,
    appends: u64,
    bytes: u64,
    /// Largest time from the log's return to the last append of what had waited.
    drain_ms: u64,
    /// Largest number of claim appends in a second after the log's return.
    busiest_second: u64,
}

impl Figures {
    pub const HEADER: &'static str = "store    requests served not-run unknown ran broken | repeatable served | violations | claim appends bytes | drain ms, busiest second";

    pub fn add(&mut self, other: &Figures) {
        self.requests += other.requests;
        self.served += other.served;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.ran += other.ran;
        self.broken += other.broken;
        self.repeatable += other.repeatable;
        self.repeatable_served += other.repeatable_served;
        self.violations += other.violations;
        self.appends += other.appends;
        self.bytes += other.bytes;
        self.drain_ms = self.drain_ms.max(other.drain_ms);
        self.busiest_second = self.busiest_second.max(other.busiest_second);
    }

    pub fn row(&self, store: ClaimStore) -> String {
        format!(
            "{:<8} {} {} {} {} {} {} | {} {} | {} | {} {} | {} {}",
            format!("{store:?}"),
            self.requests,
            self.served,
            self.not_run,
            self.unknown,
            self.ran,
            self.broken,
            self.repeatable,
            self.repeatable_served,
            self.violations,
            self.appends,
            self.bytes,
            self.drain_ms,
            self.busiest_second,
        )
    }
}

pub fn run(
    seed: u64,
    deployment: Deployment,
    store: ClaimStore,
    outage_scenario: OutageScenario,
    outage: Duration,
) -> Result<Figures, RuntimeError> {
    let mut scenario = Scenario::new(deployment);
    scenario.world.node.claim_store = store;
    runtime::run(
        seed,
        run_world(seed, scenario, deployment, outage_scenario, outage),
    )
}

async fn run_world(
    seed: u64,
    scenario: Scenario,
    deployment: Deployment,
    outage_scenario: OutageScenario,
    outage: Duration,
) -> Figures {
    let world = Arc::new(World::new(scenario.world.clone(), seed).expect("valid settings"));
    world.create_resources();
    world.start_all_nodes();
    assert!(world.until_ready(READY).await, "nodes are ready");
    let start = Instant::now();
    let start_ms = world.recorder().clock().now_ms();
    let callers = start_callers(&world, &scenario, start + BEFORE + outage);
    let schedule = outage_scenario.schedule(deployment, BEFORE, outage);
    let faults = {
        let world = world.clone();
        tokio::spawn(async move { injector::run(world, &schedule).await })
    };
    sleep_until(start + BEFORE).await;
    let before = claims(&world);
    sleep_until(start + BEFORE + outage).await;
    let (drain_ms, busiest_second) = watch_drain(&world, scenario.world.node.partitions).await;
    callers.await.ok();
    faults.await.ok();
    injector::heal(&world);
    sleep(Duration::from_secs(10)).await;
    let after = claims(&world);
    let events = world.recorder().events();
    let from_ms = start_ms + BEFORE.as_millis() as u64;
    let mut figures = count_requests(&events, from_ms, from_ms + outage.as_millis() as u64);
    figures.violations = violations(&events, &scenario);
    figures.appends = after.appends - before.appends;
    figures.bytes = after.bytes - before.bytes;
    figures.drain_ms = drain_ms;
    figures.busiest_second = busiest_second;
    figures
}

fn start_callers(
    world: &Arc<World>,
    scenario: &Scenario,
    outage_end: Instant,
) -> tokio::task::JoinHandle<()> {
    let until = outage_end - CALLERS_STOP_BEFORE_END;
    let mut callers = JoinSet::new();
    for settings in &scenario.callers {
        callers.spawn(callers::run(world.clone(), settings.clone(), until));
    }
    tokio::spawn(async move { while callers.join_next().await.is_some() {} })
}

fn claims(world: &World) -> StreamCounts {
    world
        .log()
        .counts()
        .get("claims")
        .copied()
        .unwrap_or_default()
}

/// Claims, outcomes and abandonments in the log, counted stream by stream.
struct RecordCounter {
    partitions: u64,
    read: BTreeMap<Partition, usize>,
    commands: u64,
}

impl RecordCounter {
    fn new(partitions: u64) -> Self {
        Self {
            partitions,
            read: BTreeMap::new(),
            commands: 0,
        }
    }

    fn count(&mut self, world: &World) -> u64 {
        for partition in (0..self.partitions).map(Partition) {
            let records = world.log().records(&streams::claims(partition));
            let read = self.read.entry(partition).or_default();
            for payload in &records[*read..] {
                self.commands += commands_in(payload);
            }
            *read = records.len();
        }
        self.commands
    }
}

fn commands_in(payload: &[u8]) -> u64 {
    match codec::decode::<ClaimRecord>(payload) {
        Ok(ClaimRecord::Batch { entries, .. }) => {
            let commands = entries
                .iter()
                .filter(|entry| matches!(entry.payload, EntryPayload::Command(_)));
            commands.count() as u64
        }
        Ok(ClaimRecord::GroupFormed { .. }) | Err(_) => 0,
        Ok(_) => 1,
    }
}

/// Watches the log after its return: when the last claim, outcome or abandonment that had waited
/// came, and the appends in the busiest second.
async fn watch_drain(world: &World, partitions: u64) -> (u64, u64) {
    let start = Instant::now();
    let mut counter = RecordCounter::new(partitions);
    let mut commands = counter.count(world);
    let mut appends = claims(world).appends;
    let mut last_ms = 0;
    let mut by_second: BTreeMap<u64, u64> = BTreeMap::new();
    while start.elapsed() < AFTER {
        sleep(SAMPLING).await;
        let elapsed_ms = start.elapsed().as_millis() as u64;
        let commands_now = counter.count(world);
        if commands_now > commands {
            last_ms = elapsed_ms;
        }
        commands = commands_now;
        let appends_now = claims(world).appends;
        *by_second.entry(elapsed_ms / SECOND_MS).or_default() += appends_now - appends;
        appends = appends_now;
    }
    (last_ms, by_second.values().copied().max().unwrap_or(0))
}

fn violations(events: &[HistoryEvent], scenario: &Scenario) -> u64 {
    let report = check(events, &scenario.bounds());
    let violations = report
        .promises
        .values()
        .map(|findings| &findings.violations);
    for violation in violations.clone().flatten() {
        eprintln!("{violation}");
    }
    violations.map(|violations| violations.len() as u64).sum()
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Answered,
    Refused(ToldExecution),
    Broken,
}

/// A logical request: its caller and number.
type RequestName = (String, u64);

/// How requests that began within a time ended, by whether they must run at most once.
struct Ends {
    at_most_once: BTreeMap<RequestName, Option<End>>,
    repeatable: BTreeMap<RequestName, Option<End>>,
}

impl Ends {
    fn note(&mut self, call: &CallId, end: End) {
        let name = name(call);
        for ends in [&mut self.at_most_once, &mut self.repeatable] {
            if let Some(known) = ends.get_mut(&name) {
                *known = Some(end);
            }
        }
    }
}

fn count_requests(events: &[HistoryEvent], from_ms: u64, until_ms: u64) -> Figures {
    let mut ends = Ends {
        at_most_once: BTreeMap::new(),
        repeatable: BTreeMap::new(),
    };
    for event in events {
        match &event.body {
            EventBody::CallSent(sent)
                if sent.call.call == 1 && (from_ms..until_ms).contains(&event.at_ms) =>
            {
                let kind = if sent.at_most_once {
                    &mut ends.at_most_once
                } else {
                    &mut ends.repeatable
                };
                kind.insert(name(&sent.call), None);
            }
            EventBody::CallAnswered(answered) => ends.note(&answered.call, End::Answered),
            EventBody::CallRefused(refused) => {
                ends.note(&refused.call, End::Refused(refused.execution));
            }
            EventBody::CallBroken(broken) => ends.note(&broken.call, End::Broken),
            _ => {}
        }
    }
    let repeatable = ends.repeatable.values();
    let served = repeatable
        .clone()
        .filter(|end| **end == Some(End::Answered));
    let mut figures = Figures {
        repeatable_served: served.count() as u64,
        repeatable: repeatable.count() as u64,
        ..Figures::default()
    };
    for end in ends.at_most_once.into_values().flatten() {
        figures.requests += 1;
        match end {
            End::Answered => figures.served += 1,
            End::Refused(ToldExecution::NotRun) => figures.not_run += 1,
            End::Refused(ToldExecution::Unknown) => figures.unknown += 1,
            End::Refused(ToldExecution::Ran) => figures.ran += 1,
            End::Broken => figures.broken += 1,
        }
    }
    figures
}

fn name(call: &CallId) -> RequestName {
    (call.caller.as_str().to_owned(), call.request)
}
