//! Carries a schedule out.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use havenstage_edge::machine_list::{MachineRole, MachineState};
use havenstage_history::event::engine::{BackEndLeaving, BackEndReturned, LeavingOrigin};
use havenstage_history::event::fault::{FaultBegan, FaultEnded, FaultKind};
use havenstage_history::event::{EventBody, EventSource};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use super::schedule::{Fault, Schedule, ScheduledFault};
use crate::clients::{drains, operators};
use crate::world::World;
use crate::world::engines::SimulatedEngine;
use crate::world::log::LogFault;
use crate::world::network::Unreliability;
use crate::world::place::{Cut, Place, Side};

/// Carries all faults out, beginning to count now, and returns when each has been taken away.
pub async fn run(world: Arc<World>, schedule: &Schedule) {
    let start = Instant::now();
    let taken = Taken::default();
    let mut faults = JoinSet::new();
    for scheduled in &schedule.faults {
        let injection = Injection {
            world: world.clone(),
            scheduled: scheduled.clone(),
            taken: taken.clone(),
        };
        faults.spawn(injection.run(start));
    }
    while faults.join_next().await.is_some() {}
}

/// Takes every fault away that may still be there and starts every machine.
pub fn heal(world: &World) {
    world.network().heal_all();
    world.network().set_unreliable(None);
    world.log().end_all_faults();
    world.platform().set_list_down(false);
    world.platform().set_scorer_down(false);
    world.platform().set_weights_down(false);
    for machine in 0..world.machines().all().len() {
        world.wake_node(machine);
        world.start_node(machine);
    }
    for engine in world.engines() {
        if engine.is_down() {
            engine.restart();
        }
        engine.set_stalled(false);
        engine.set_failing_swaps(false);
    }
}

/// Engines that an operator or the machine list is taking away now. One word of leaving at a time
/// keeps it clear whose end withdraws it.
type Taken = Arc<Mutex<BTreeSet<(LeavingOrigin, usize)>>>;

struct Injection {
    world: Arc<World>,
    scheduled: ScheduledFault,
    taken: Taken,
}

impl Injection {
    async fn run(self, start: Instant) {
        sleep_until(start + Duration::from_millis(self.scheduled.at_ms)).await;
        let kind = self.kind();
        if let Some(fault_kind) = kind.clone() {
            let fault = self.scheduled.number;
            self.record(EventBody::FaultBegan(FaultBegan { fault, fault_kind }));
        }
        self.inject().await;
        if kind.is_some() {
            let fault = self.scheduled.number;
            self.record(EventBody::FaultEnded(FaultEnded { fault }));
        }
    }

    async fn inject(&self) {
        match &self.scheduled.fault {
            Fault::KillNode { machine } => self.kill(*machine).await,
            Fault::FreezeNode { machine } => self.freeze(*machine).await,
            Fault::StopNode { machine } => self.stop(*machine).await,
            Fault::Log { how } => self.fail_log(*how).await,
            Fault::UnreliableNetwork {
                loss_percent,
                duplication_percent,
                delay_ms,
            } => {
                let spell = Unreliability {
                    loss: f64::from(*loss_percent) / 100.0,
                    duplication: f64::from(*duplication_percent) / 100.0,
                    delay: Duration::from_millis(*delay_ms),
                };
                self.world.network().set_unreliable(Some(spell));
                self.last().await;
                self.world.network().set_unreliable(None);
            }
            Fault::WeightStoreDown => {
                self.world.platform().set_weights_down(true);
                self.last().await;
                self.world.platform().set_weights_down(false);
            }
            Fault::ScorerDown => {
                self.world.platform().set_scorer_down(true);
                self.last().await;
                self.world.platform().set_scorer_down(false);
            }
            Fault::MachineListDown => {
                self.world.platform().set_list_down(true);
                self.last().await;
                self.world.platform().set_list_down(false);
            }
            Fault::RacingOperators {
                operators,
                mean_interval_ms,
            } => self.race(*operators, *mean_interval_ms).await,
            _ => self.inject_into_engine_or_network().await,
        }
    }

    async fn inject_into_engine_or_network(&self) {
        match &self.scheduled.fault {
            Fault::CrashEngine { engine } => self.with_engine(*engine, Injection::crash).await,
            Fault::StallEngine { engine } => self.with_engine(*engine, Injection::stall).await,
            Fault::SlowEngine { engine, .. } => self.with_engine(*engine, Injection::slow).await,
            Fault::FailSwaps { engine } => self.with_engine(*engine, Injection::fail_swaps).await,
            Fault::EngineLeaves { engine } => self.with_engine(*engine, Injection::leave).await,
            Fault::MachineLeaves { engine } => self.with_engine(*engine, Injection::unlist).await,
            Fault::DrainEngine { engine } => self.with_engine(*engine, Injection::drain).await,
            _ => self.cut().await,
        }
    }

    async fn kill(&self, machine: usize) {
        self.world.kill_node(machine);
        self.last().await;
        self.world.start_node(machine);
    }

    async fn freeze(&self, machine: usize) {
        self.world.freeze_node(machine);
        self.last().await;
        self.world.wake_node(machine);
    }

    async fn stop(&self, machine: usize) {
        let stopped_by = Instant::now() + self.duration();
        self.world.stop_node(machine).await;
        sleep_until(stopped_by).await;
        self.world.start_node(machine);
    }

    async fn fail_log(&self, how: LogFault) {
        self.world.log().begin_fault(self.scheduled.number, how);
        self.last().await;
        self.world.log().end_fault(self.scheduled.number);
    }

    async fn race(&self, count: u32, mean_interval_ms: u64) {
        let until = Instant::now() + self.duration();
        let mean_interval = Duration::from_millis(mean_interval_ms);
        let mut racers = JoinSet::new();
        for number in 1..=count {
            let name = format!("operator-{}-{number}", self.scheduled.number);
            let world = self.world.clone();
            racers.spawn(operators::run_racer(world, name, mean_interval, until));
        }
        while racers.join_next().await.is_some() {}
    }

    async fn cut(&self) {
        let cuts = self.cuts();
        self.world.network().cut(self.scheduled.number, cuts);
        self.last().await;
        self.world.network().heal(self.scheduled.number);
    }

    fn cuts(&self) -> Vec<Cut> {
        let zone_side = |zone: &havenstage_types::ids::Zone| Side::Zone(zone.clone());
        match &self.scheduled.fault {
            Fault::CutZones { one, other } => {
                Cut::both_ways(zone_side(one), zone_side(other)).to_vec()
            }
            Fault::CutZonesOneWay { from, to } => {
                vec![Cut {
                    from: zone_side(from),
                    to: zone_side(to),
                }]
            }
            Fault::IsolateZone { zone } => self.isolation(zone),
            Fault::IsolateZoneFromAll { zone } => {
                let mut cuts = self.isolation(zone);
                cuts.extend(platform_cut(zone_side(zone)));
                cuts
            }
            Fault::CutZoneFromPlatform { zone } => platform_cut(zone_side(zone)).to_vec(),
            Fault::IsolateNode { machine } => self.node_isolation(*machine),
            Fault::MuteNode { machine } => self.muting(*machine),
            _ => Vec::new(),
        }
    }

    fn isolation(&self, zone: &havenstage_types::ids::Zone) -> Vec<Cut> {
        let zones = &self.world.settings().deployment.zones;
        let others = zones.iter().filter(|other| *other != zone);
        others
            .flat_map(|other| Cut::both_ways(Side::Zone(zone.clone()), Side::Zone(other.clone())))
            .collect()
    }

    fn node_isolation(&self, machine: usize) -> Vec<Cut> {
        let node = || Side::Place(Place::Node(machine));
        let mut cuts: Vec<Cut> = platform_cut(node()).to_vec();
        for other in self.other_machines(machine) {
            cuts.extend(Cut::both_ways(node(), Side::Place(Place::Node(other))));
        }
        for engine in 0..self.world.engines().len() {
            cuts.extend(Cut::both_ways(node(), Side::Place(Place::Engine(engine))));
        }
        cuts
    }

    fn muting(&self, machine: usize) -> Vec<Cut> {
        let others = self.other_machines(machine);
        others
            .map(|other| Cut {
                from: Side::Place(Place::Node(machine)),
                to: Side::Place(Place::Node(other)),
            })
            .collect()
    }

    fn other_machines(&self, machine: usize) -> impl Iterator<Item = usize> {
        let count = self.world.machines().all().len();
        (0..count).filter(move |other| *other != machine)
    }

    async fn with_engine<'a, F, Fut>(&'a self, engine: usize, act: F)
    where
        F: FnOnce(&'a Self, Arc<SimulatedEngine>) -> Fut,
        Fut: Future<Output = ()>,
    {
        if let Some(engine) = self.world.engines().get(engine).cloned() {
            act(self, engine).await;
        }
    }

    async fn crash(&self, engine: Arc<SimulatedEngine>) {
        if engine.is_down() {
            return;
        }
        engine.crash();
        self.last().await;
        engine.restart();
    }

    async fn stall(&self, engine: Arc<SimulatedEngine>) {
        engine.set_stalled(true);
        self.last().await;
        engine.set_stalled(false);
    }

    async fn slow(&self, engine: Arc<SimulatedEngine>) {
        let Fault::SlowEngine { factor, .. } = self.scheduled.fault else {
            return;
        };
        let usual = self.world.settings().engine.compute.slowness;
        set_slowness(&engine, usual * f64::from(factor));
        self.last().await;
        set_slowness(&engine, usual);
    }

    async fn fail_swaps(&self, engine: Arc<SimulatedEngine>) {
        engine.set_failing_swaps(true);
        self.last().await;
        engine.set_failing_swaps(false);
    }

    async fn leave(&self, engine: Arc<SimulatedEngine>) {
        engine.leave();
        self.last().await;
        if !engine.is_down() {
            engine.crash();
            sleep(self.world.settings().platform.engine_restart_time).await;
            engine.restart();
        }
    }

    async fn unlist(&self, engine: Arc<SimulatedEngine>) {
        let taken = (LeavingOrigin::MachineList, engine.identity().index);
        if !lock(&self.taken).insert(taken) {
            return;
        }
        let address = engine.identity().address;
        let lag = self.world.platform().list_lag();
        self.list(address, MachineState::Leaving, lag);
        sleep(lag).await;
        self.world.platform().list_answers().await;
        let name = engine.identity().name.clone();
        let origin = LeavingOrigin::MachineList;
        self.record_platform(EventBody::BackEndLeaving(BackEndLeaving {
            engine: name.clone(),
            origin,
        }));
        self.last().await;
        self.record_platform(EventBody::BackEndReturned(BackEndReturned {
            engine: name,
            origin,
        }));
        self.list(address, MachineState::Live, Duration::ZERO);
        lock(&self.taken).remove(&taken);
    }

    fn list(&self, address: std::net::SocketAddr, state: MachineState, lag: Duration) {
        let role = MachineRole::Engine;
        self.world.platform().list(role, address, state, lag);
    }

    async fn drain(&self, engine: Arc<SimulatedEngine>) {
        let taken = (LeavingOrigin::Operator, engine.identity().index);
        if !lock(&self.taken).insert(taken) {
            return;
        }
        let world = self.world.clone();
        let name = engine.identity().name.clone();
        drains::drain(world, name, self.duration(), self.scheduled.number).await;
        lock(&self.taken).remove(&taken);
    }

    fn duration(&self) -> Duration {
        Duration::from_millis(self.scheduled.duration_ms)
    }

    async fn last(&self) {
        sleep(self.duration()).await;
    }

    fn kind(&self) -> Option<FaultKind> {
        let engine_name = |engine: usize| {
            let engines = self.world.engines();
            engines.get(engine).map(|one| one.identity().name.clone())
        };
        match &self.scheduled.fault {
            Fault::CutZones { one, other } => Some(FaultKind::ZoneCut(one.clone(), other.clone())),
            Fault::CutZonesOneWay { from, to } => {
                Some(FaultKind::ZoneCut(from.clone(), to.clone()))
            }
            Fault::Log { how } => Some(match how {
                LogFault::Refusing | LogFault::Unavailable | LogFault::Silent => FaultKind::LogDown,
                LogFault::Slow(_) => FaultKind::LogSlow,
                LogFault::AnswersLost(_) => FaultKind::LogAnswersLost,
            }),
            Fault::WeightStoreDown => Some(FaultKind::WeightStoreDown),
            Fault::CrashEngine { engine } => engine_name(*engine).map(FaultKind::EngineCrash),
            Fault::StallEngine { engine } => engine_name(*engine).map(FaultKind::EngineStalled),
            Fault::FailSwaps { engine } => engine_name(*engine).map(FaultKind::SwapFails),
            Fault::MachineListDown => Some(FaultKind::MachineListLag),
            Fault::UnreliableNetwork { .. } => Some(FaultKind::NodeNetworkUnreliable),
            _ => None,
        }
    }

    fn record(&self, body: EventBody) {
        self.world.recorder().record(EventSource::Harness, body);
    }

    fn record_platform(&self, body: EventBody) {
        self.world.recorder().record(EventSource::Platform, body);
    }
}

fn platform_cut(side: Side) -> [Cut; 2] {
    Cut::both_ways(side, Side::Place(Place::Platform))
}

fn set_slowness(engine: &SimulatedEngine, slowness: f64) {
    // The factor is a positive number, so the model takes it.
    let _ = engine.change_model(|model| model.set_slowness(slowness));
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
