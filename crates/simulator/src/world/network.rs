//! The network: latencies and cuts between places.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use havenstage_types::ids::Zone;
use tokio::sync::Notify;

use super::place::{Cut, Place, Side};
use super::settings::{NetworkSettings, WorldSettings};
use crate::random::SharedRandom;

/// Smallest step of tokio's clock.
const CLOCK_STEP: Duration = Duration::from_millis(1);

/// Probability that a request over a cut finds an old connection.
const OLD_CONNECTION: f64 = 0.5;

/// Longest time for which the network keeps what a cut holds up.
const LONGEST_HOLD: Duration = Duration::from_secs(60);

/// The network of one world.
#[derive(Debug)]
pub struct Network {
    settings: NetworkSettings,
    zone_latency: Duration,
    client_latency: Duration,
    platform_latency: Duration,
    random: SharedRandom,
    state: Mutex<NetworkState>,
    healed: Notify,
}

#[derive(Debug, Default)]
struct NetworkState {
    zones: BTreeMap<Place, Zone>,
    /// Cuts by the number of the fault that made them.
    cuts: BTreeMap<u64, Vec<Cut>>,
    unreliable: Option<Unreliability>,
    datagrams: u64,
    datagrams_lost: u64,
    datagrams_duplicated: u64,
    datagram_bytes: u64,
    requests: u64,
    request_bytes: u64,
}

/// A spell in which the network between nodes is worse than its settings say.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Unreliability {
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Probability that a datagram comes twice.
    pub duplication: f64,
    /// Largest addition to the latency of a message between nodes.
    pub delay: Duration,
}

/// What the network counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct NetworkCounts {
    /// Datagrams sent.
    pub datagrams: u64,
    /// Datagrams lost.
    pub datagrams_lost: u64,
    /// Datagrams delivered twice.
    pub datagrams_duplicated: u64,
    /// Bytes of the datagrams sent, encoded, without headers of lower layers.
    pub datagram_bytes: u64,
    /// Messages of requests between nodes: each request and each answer is one.
    pub requests: u64,
    /// Bytes of these messages, encoded, without frames and headers of lower layers.
    pub request_bytes: u64,
}

/// What becomes of one datagram: one delay for each copy that arrives.
pub type DatagramFate = Vec<Duration>;

impl Network {
    /// A network without cuts.
    pub fn new(settings: &WorldSettings, seed: u64) -> Arc<Self> {
        Arc::new(Self {
            settings: settings.network.clone(),
            zone_latency: settings.deployment.zone_latency,
            client_latency: settings.deployment.client_latency,
            platform_latency: settings.platform.latency,
            random: SharedRandom::new(seed, "network"),
            state: Mutex::default(),
            healed: Notify::new(),
        })
    }

    /// Its settings.
    pub fn settings(&self) -> &NetworkSettings {
        &self.settings
    }

    /// Says in which zone a place is; places without a zone are reached from all alike.
    pub fn locate(&self, place: Place, zone: Zone) {
        self.lock().zones.insert(place, zone);
    }

    /// Adds cuts under a number by which they are taken away again.
    pub fn cut(&self, number: u64, cuts: impl IntoIterator<Item = Cut>) {
        self.lock().cuts.entry(number).or_default().extend(cuts);
    }

    /// Takes the cuts of one number away.
    pub fn heal(&self, number: u64) {
        self.lock().cuts.remove(&number);
        self.healed.notify_waiters();
    }

    /// Takes all cuts away.
    pub fn heal_all(&self) {
        self.lock().cuts.clear();
        self.healed.notify_waiters();
    }

    /// Makes the network between nodes worse, or as its settings say again.
    pub fn set_unreliable(&self, unreliable: Option<Unreliability>) {
        self.lock().unreliable = unreliable;
    }

    /// Whether what `from` sends does not reach `to` now.
    pub fn is_cut(&self, from: Place, to: Place) -> bool {
        let state = self.lock();
        state
            .cuts
            .values()
            .flatten()
            .any(|cut| state.is_on(&cut.from, from) && state.is_on(&cut.to, to))
    }

    /// Whether the two places can talk in both directions now.
    pub fn is_connected(&self, one: Place, other: Place) -> bool {
        !self.is_cut(one, other) && !self.is_cut(other, one)
    }

    /// Whether a request over a cut finds an old connection, rather than having to make a new one.
    pub fn is_old_connection(&self) -> bool {
        self.random.chance(OLD_CONNECTION)
    }

    /// Waits until what `from` sends reaches `to`; `false` when that takes so long that the
    /// network has given up.
    pub async fn open(&self, from: Place, to: Place) -> bool {
        let opened = async {
            loop {
                let healed = self.healed.notified();
                if !self.is_cut(from, to) {
                    return;
                }
                healed.await;
            }
        };
        tokio::time::timeout(LONGEST_HOLD, opened).await.is_ok()
    }

    /// Carries one message: waits out a cut and then the latency. `false` when it is lost.
    pub async fn carry(&self, from: Place, to: Place) -> bool {
        if !self.open(from, to).await {
            return false;
        }
        let latency = self.latency(from, to);
        tokio::time::sleep(latency).await;
        true
    }

    /// Draws a latency, in whole steps of the clock; the fractions come out right on average.
    pub fn latency(&self, from: Place, to: Place) -> Duration {
        let jitter = self.random.duration_up_to(self.settings.jitter);
        let mut latency = self.base_latency(from, to) + jitter;
        if let (Place::Node(_), Place::Node(_)) = (from, to) {
            let unreliable = self.lock().unreliable;
            if let Some(unreliable) = unreliable {
                latency += self.random.duration_up_to(unreliable.delay);
            }
        }
        self.in_clock_steps(latency)
    }

    /// Draws what becomes of a datagram between two nodes.
    pub fn datagram(&self, from: Place, to: Place) -> DatagramFate {
        let unreliable = self.lock().unreliable;
        let loss = unreliable.map_or(self.settings.datagram_loss, |spell| spell.loss);
        let duplication = unreliable.map_or(self.settings.datagram_duplication, |spell| {
            spell.duplication
        });
        let lost = self.random.chance(loss) || self.is_cut(from, to);
        let doubled = self.random.chance(duplication);
        let mut state = self.lock();
        state.datagrams += 1;
        if lost {
            state.datagrams_lost += 1;
            return Vec::new();
        }
        state.datagrams_duplicated += u64::from(doubled);
        drop(state);
        let copies = if doubled { 2 } else { 1 };
        (0..copies).map(|_| self.latency(from, to)).collect()
    }

    /// Counts the bytes of a datagram between nodes.
    pub fn count_datagram_bytes(&self, bytes: usize) {
        self.lock().datagram_bytes += bytes as u64;
    }

    /// Counts a request between nodes, or its answer.
    pub fn count_request(&self, bytes: usize) {
        let mut state = self.lock();
        state.requests += 1;
        state.request_bytes += bytes as u64;
    }

    /// What was counted so far.
    pub fn counts(&self) -> NetworkCounts {
        let state = self.lock();
        NetworkCounts {
            datagrams: state.datagrams,
            datagrams_lost: state.datagrams_lost,
            datagrams_duplicated: state.datagrams_duplicated,
            datagram_bytes: state.datagram_bytes,
            requests: state.requests,
            request_bytes: state.request_bytes,
        }
    }

    fn base_latency(&self, from: Place, to: Place) -> Duration {
        if from == Place::Clients || to == Place::Clients {
            return self.client_latency;
        }
        if from == Place::Platform || to == Place::Platform {
            return self.platform_latency;
        }
        let state = self.lock();
        if state.zones.get(&from) == state.zones.get(&to) {
            return self.settings.local_latency;
        }
        self.zone_latency
    }

    fn in_clock_steps(&self, latency: Duration) -> Duration {
        let steps = latency.as_nanos() / CLOCK_STEP.as_nanos();
        let rest = latency.as_nanos() % CLOCK_STEP.as_nanos();
        let share = rest as f64 / CLOCK_STEP.as_nanos() as f64;
        let rounded_up = u32::from(self.random.chance(share));
        CLOCK_STEP * (u32::try_from(steps).unwrap_or(u32::MAX - 1) + rounded_up)
    }

    fn lock(&self) -> MutexGuard<'_, NetworkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl NetworkState {
    fn is_on(&self, side: &Side, place: Place) -> bool {
        match side {
            Side::Zone(zone) => self.zones.get(&place) == Some(zone),
            Side::Place(other) => *other == place,
        }
    }
}
