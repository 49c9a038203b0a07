//! The small services of the platform: machine list, scorer and weight store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use havenstage_edge::machine_list::{
    Machine, MachineList, MachineListError, MachineRole, MachineState,
};
use havenstage_edge::scorer::{ScoreRequest, Scorer, ScorerError};
use havenstage_edge::weight_store::{WeightStore, WeightStoreError};
use havenstage_types::ids::{ModelName, VersionNumber};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::network::Network;
use super::place::Place;
use super::settings::{PlatformSettings, WorldSettings};

/// Time between two looks at whether the machine list answers.
const LIST_LOOK: Duration = Duration::from_millis(10);

/// Number of different rewards.
const REWARD_STEPS: u64 = 1_000;

/// What the platform's small services know.
#[derive(Debug)]
pub struct SimulatedPlatform {
    settings: PlatformSettings,
    state: Mutex<PlatformState>,
}

#[derive(Debug, Default)]
struct PlatformState {
    /// Each machine with its history: what the list will show from which moment on.
    machines: BTreeMap<SocketAddr, Vec<(Instant, Option<Machine>)>>,
    list_down: bool,
    scorer_down: bool,
    weights_down: bool,
    next_fetch: Option<Instant>,
}

impl SimulatedPlatform {
    /// A platform without machines.
    pub fn new(settings: &WorldSettings) -> Arc<Self> {
        Arc::new(Self {
            settings: settings.platform.clone(),
            state: Mutex::default(),
        })
    }

    /// Tells the platform of a machine; its list shows it when the lag has passed, or at once for
    /// `lag` zero.
    pub fn list(&self, role: MachineRole, address: SocketAddr, state: MachineState, lag: Duration) {
        let machine = Machine {
            role,
            address,
            state,
        };
        self.note(address, Some(machine), lag);
    }

    /// Tells the platform that a machine is gone.
    pub fn unlist(&self, address: SocketAddr) {
        self.note(address, None, self.settings.machine_list_lag);
    }

    /// The lag of the machine list.
    pub fn list_lag(&self) -> Duration {
        self.settings.machine_list_lag
    }

    /// Whether the machine list answers.
    pub fn set_list_down(&self, down: bool) {
        self.lock().list_down = down;
    }

    /// Waits until the machine list answers: before, it shows nothing to anybody.
    pub async fn list_answers(&self) {
        while self.lock().list_down {
            tokio::time::sleep(LIST_LOOK).await;
        }
    }

    /// Whether the scorer answers.
    pub fn set_scorer_down(&self, down: bool) {
        self.lock().scorer_down = down;
    }

    /// Whether the weight store answers.
    pub fn set_weights_down(&self, down: bool) {
        self.lock().weights_down = down;
    }

    /// An engine fetches weights: waits for its turn and for the transfer. `false` when the store
    /// does not answer.
    pub async fn fetch_weights(&self) -> bool {
        let starts_at = self.take_fetch_turn();
        tokio::time::sleep_until(starts_at + self.settings.weight_fetch_time).await;
        !self.lock().weights_down
    }

    fn take_fetch_turn(&self) -> Instant {
        let spacing = Duration::from_secs(1) / self.settings.weight_fetches_per_second.max(1);
        let now = Instant::now();
        let mut state = self.lock();
        let turn = state.next_fetch.map_or(now, |next| next.max(now));
        state.next_fetch = Some(turn + spacing);
        turn
    }

    fn note(&self, address: SocketAddr, machine: Option<Machine>, lag: Duration) {
        let visible_at = Instant::now() + lag;
        let mut state = self.lock();
        let history = state.machines.entry(address).or_default();
        history.push((visible_at, machine));
    }

    fn visible_machines(&self) -> Result<Vec<Machine>, MachineListError> {
        let now = Instant::now();
        let state = self.lock();
        if state.list_down {
            return Err(MachineListError::Unavailable);
        }
        let visible = state.machines.values().filter_map(|history| {
            let seen = history
                .iter()
                .rev()
                .find(|(visible_at, _)| *visible_at <= now);
            seen.and_then(|(_, machine)| machine.clone())
        });
        Ok(visible.collect())
    }

    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The platform's small services as one node reaches them.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    platform: Arc<SimulatedPlatform>,
    network: Arc<Network>,
    place: Place,
}

impl PlatformClient {
    /// A client at `place`.
    pub fn new(platform: Arc<SimulatedPlatform>, network: Arc<Network>, place: Place) -> Self {
        Self {
            platform,
            network,
            place,
        }
    }

    /// Goes there and back, working in between; `None` when there was no answer in time.
    async fn round_trip<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let exchange = async {
            let arrived = self.network.carry(self.place, Place::Platform).await;
            let result = work.await;
            let answered = self.network.carry(Place::Platform, self.place).await;
            (arrived && answered).then_some(result)
        };
        let patience = self.network.settings().request_timeout;
        tokio::time::timeout(patience, exchange)
            .await
            .ok()
            .flatten()
    }
}

#[async_trait]
impl MachineList for PlatformClient {
    async fn machines(&self) -> Result<Vec<Machine>, MachineListError> {
        let listed = async { self.platform.visible_machines() };
        self.round_trip(listed)
            .await
            .unwrap_or(Err(MachineListError::Unavailable))
    }
}

#[async_trait]
impl Scorer for PlatformClient {
    async fn score(&self, request: ScoreRequest) -> Result<f64, ScorerError> {
        let scored = async {
            tokio::time::sleep(self.platform.settings.score_time).await;
            if self.platform.lock().scorer_down {
                return Err(ScorerError::Unavailable);
            }
            let hash = xxh3_64(request.text.as_bytes());
            Ok((hash % REWARD_STEPS) as f64 / REWARD_STEPS as f64)
        };
        self.round_trip(scored)
            .await
            .unwrap_or(Err(ScorerError::Unavailable))
    }
}

#[async_trait]
impl WeightStore for PlatformClient {
    async fn exists(
        &self,
        _model: &ModelName,
        _version: VersionNumber,
    ) -> Result<bool, WeightStoreError> {
        let asked = async { !self.platform.lock().weights_down };
        match self.round_trip(asked).await {
            Some(true) => Ok(true),
            Some(false) | None => Err(WeightStoreError::Unavailable),
        }
    }
}
