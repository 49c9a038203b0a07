//! Back ends as this node uses them: who is listed, who is fast, who is avoided, and the
//! connections kept to each.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use havenstage_http_link::{Link, LinkSettings};
use havenstage_rollout::Millis;
use havenstage_rollout::back_end_speed::{BackEndSpeed, EqualGaps, GapEstimate};
use havenstage_rollout::backend::{BackendChange, BackendList, BackendRecord};
use havenstage_rollout::health::BackendHealth;
use havenstage_rollout::ids::{
    BackendId, BackendName, ModelName, PoolName, RegionName, Version, ZoneName,
};
use havenstage_rollout::residency::{RegionMap, Residency};
use havenstage_rollout::slow_start::{ColdLimit, Sender, SlowStart};
use tokio::sync::{Notify, watch};

/// Longest time for a connection to a back end to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time a connection to a back end rests before it is not used again.
const KEEP_IDLE: Duration = Duration::from_secs(9);
/// Most resting connections to one back end.
const MOST_IDLE: usize = 8;

/// A back end chosen for a request. While it is held, the request counts as in flight there.
pub struct ChosenBackend {
    /// Its id.
    pub id: BackendId,
    /// Connections to it.
    pub link: Link,
    backends: Arc<Backends>,
}

impl Drop for ChosenBackend {
    fn drop(&mut self) {
        self.backends.lock().release(&self.id);
    }
}

/// All back ends.
pub struct Backends {
    inner: Mutex<BackendsInner>,
    work: Arc<Notify>,
    /// Whether every back end there is was listed, and not only as many as are enough.
    is_listed_whole: AtomicBool,
    /// The pool of which more back ends were last wanted.
    more_wanted: watch::Sender<Option<PoolName>>,
}

/// What is behind the lock.
#[derive(Default)]
pub struct BackendsInner {
    /// Entries of the list.
    pub list: BackendList,
    /// What was seen of each.
    pub health: BackendHealth,
    links: HashMap<BackendId, Link>,
    in_flight: HashMap<BackendId, u32>,
    versions: HashMap<(BackendId, ModelName), Version>,
    speeds: HashMap<BackendId, BackEndSpeed>,
    regions: RegionMap,
    slow_start: SlowStart,
    /// What the back ends of each pool bear while they are cold, as configured.
    cold_limits: HashMap<PoolName, ColdLimit>,
}

/// Where a call may go, and who asks for it.
pub struct CallTarget<'a> {
    /// The pool.
    pub pool: &'a PoolName,
    /// Regions in which it may be served.
    pub residency: &'a Residency,
    /// Whose request it is to a cold back end.
    pub sender: Sender<'a>,
}

impl Backends {
    /// No back ends yet; changes of the list wake `work`.
    pub fn new(work: Arc<Notify>, regions: RegionMap) -> Arc<Self> {
        let inner = BackendsInner {
            regions,
            ..BackendsInner::default()
        };
        Arc::new(Self {
            inner: Mutex::new(inner),
            work,
            is_listed_whole: AtomicBool::new(false),
            more_wanted: watch::Sender::new(None),
        })
    }

    /// Whether every back end there is was listed.
    pub fn is_listed_whole(&self) -> bool {
        self.is_listed_whole.load(Ordering::Relaxed)
    }

    /// Says whether every back end there is was listed.
    pub fn set_listed_whole(&self, is_whole: bool) {
        self.is_listed_whole.store(is_whole, Ordering::Relaxed);
    }

    /// Has more back ends of a pool listed, where some were left unlisted: those that are known are taken, or there
    /// are none.
    pub fn want_more(&self, pool: &PoolName) {
        if !self.is_listed_whole() {
            self.more_wanted.send_replace(Some(pool.clone()));
        }
    }

    /// Waits until more back ends of some pool are wanted.
    pub async fn more_wanted(&self) -> PoolName {
        let mut wanted = self.more_wanted.subscribe();
        loop {
            // The sender lives as long as `self`.
            let _ = wanted.changed().await;
            if let Some(pool) = wanted.borrow_and_update().clone() {
                return pool;
            }
        }
    }

    /// The state.
    pub fn lock(&self) -> MutexGuard<'_, BackendsInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a change of the list.
    pub fn apply(&self, change: BackendChange, now: Millis) {
        self.lock().apply(change, now);
        self.work.notify_one();
    }

    /// Replaces the list.
    pub fn replace(&self, entries: BTreeMap<BackendName, BackendRecord>, now: Millis) {
        self.lock().replace(entries, now);
        self.work.notify_one();
    }

    /// Takes what pools bear while they are cold, as a new configuration says.
    pub fn set_cold_limits(&self, limits: HashMap<PoolName, ColdLimit>) {
        self.lock().cold_limits = limits;
    }

    /// Begins or ends the evacuation of a zone; answers whether that is new. Back ends to which nothing was sent
    /// for a while may be cold, and their word of it may still be on its way.
    pub fn set_evacuated(&self, zone: &ZoneName, is_evacuated: bool, now: Millis) -> bool {
        let mut inner = self.lock();
        let is_new = inner.list.set_evacuated(zone, is_evacuated);
        if is_new && !is_evacuated {
            inner.suspect_cold(zone, now);
        }
        drop(inner);
        self.work.notify_one();
        is_new
    }

    /// Takes a back end for a call to a pool: one that is not avoided and not in `tried` if there is
    /// one, then the one with the least work for its speed; `draw` breaks ties.
    pub fn choose_for_call(
        self: &Arc<Self>,
        target: &CallTarget<'_>,
        tried: &[BackendId],
        now: Millis,
        draw: u64,
    ) -> Option<ChosenBackend> {
        let id = self.lock().best_for_call(target, tried, now, draw)?;
        self.take_for_request(&id, target.sender, now)
    }

    /// Takes a certain back end for a request, if it is listed and may be sent one now. The last look before every
    /// send: its zone may be evacuated since it was chosen, or its requests of this second used up.
    pub fn take_for_request(
        self: &Arc<Self>,
        id: &BackendId,
        sender: Sender<'_>,
        now: Millis,
    ) -> Option<ChosenBackend> {
        let mut inner = self.lock();
        if !inner.list.can_accept_requests(id) || inner.cold_allowance(id, sender, now) == Some(0) {
            return None;
        }
        inner.slow_start.record_sent(id, now);
        drop(inner);
        self.take(id)
    }

    /// Takes a certain back end, if it is listed, to ask it about itself or to give it an order.
    pub fn take(self: &Arc<Self>, id: &BackendId) -> Option<ChosenBackend> {
        let link = self.lock().hold(id)?;
        Some(ChosenBackend {
            id: id.clone(),
            link,
            backends: self.clone(),
        })
    }
}

impl BackendsInner {
    fn apply(&mut self, change: BackendChange, now: Millis) {
        let (life, record) = (change.incarnation(), change.record.clone());
        let has_gone = self.list.apply(change);
        if let (Some(life), Some(record)) = (life, record) {
            self.note_entry(&life, &record, now);
        }
        if has_gone {
            self.forget_unlisted(now);
        }
    }

    fn replace(&mut self, entries: BTreeMap<BackendName, BackendRecord>, now: Millis) {
        self.list.replace(entries.clone());
        for (name, record) in entries {
            let life = BackendId::from_name_and_start(&name, record.started_at);
            self.note_entry(&life, &record, now);
        }
        self.forget_unlisted(now);
    }

    fn suspect_cold(&mut self, zone: &ZoneName, now: Millis) {
        for (id, record) in self.list.in_zone(zone) {
            if let Some(limit) = self.cold_limits.get(&record.pool) {
                self.slow_start.suspect_cold(id, limit, now);
            }
        }
    }

    /// Requests that this node may send a back end now; `None` if slow start sets no limit.
    pub fn cold_allowance(&self, id: &BackendId, sender: Sender<'_>, now: Millis) -> Option<u32> {
        let limit = self.cold_limits.get(&self.list.get(id)?.pool);
        self.slow_start.allowance(id, limit, sender, now)
    }

    /// Whether a back end is cold, where that limits what it is sent.
    pub fn is_cold(&self, id: &BackendId, now: Millis) -> bool {
        let pool = self.list.get(id).map(|record| &record.pool);
        let has_limit = pool.is_some_and(|pool| self.cold_limits.contains_key(pool));
        has_limit && self.slow_start.is_cold(id, now)
    }

    /// Whether some back end of a pool is warm. Then cold ones are left alone: on three days of a pool of 44 of which
    /// 15 come back cold, items kept off them were worth 0.70 to their trainers, and 0.66 where each cold one got
    /// what it bears from one node (means of nine plays each).
    pub fn has_warm(&self, pool: &PoolName, now: Millis) -> bool {
        self.list
            .ready_in(pool)
            .any(|(id, _)| !self.is_cold(id, now))
    }

    /// The region in which a back end stands, if it is known.
    pub fn region_of(&self, record: &BackendRecord) -> Option<&RegionName> {
        self.region_of_zone(&record.zone)
    }

    /// The region of a zone, if it is known.
    pub fn region_of_zone(&self, zone: &str) -> Option<&RegionName> {
        self.regions.region_of(zone)
    }

    /// Back ends that may be sent a call, apart from what slow start allows.
    pub fn allowed_for_call<'a>(
        &'a self,
        target: &'a CallTarget<'_>,
    ) -> impl Iterator<Item = &'a BackendId> {
        let ready = self.list.ready_in(target.pool);
        ready
            .filter(|(_, record)| target.residency.allows(self.region_of(record)))
            .map(|(id, _)| id)
    }

    /// Believes what a back end says of itself.
    fn note_entry(&mut self, id: &BackendId, record: &BackendRecord, now: Millis) {
        // An entry of an earlier life, written late.
        if self.list.get(id).is_none() {
            return;
        }
        self.slow_start.report_cold(id, record.cold_left_ms, now);
        let link = self.links.get(id);
        if link.is_some_and(|link| link.address() != record.address) {
            self.links.remove(id);
        }
        // The list lags behind what was seen, but a back end that went back says so here.
        for (model, version) in &record.models {
            let key = (id.clone(), model.clone());
            let known = self.versions.entry(key).or_insert(*version);
            *known = (*known).max(*version);
        }
    }

    fn forget_unlisted(&mut self, now: Millis) {
        let list = &self.list;
        self.slow_start.retain(|id| list.get(id).is_some(), now);
        self.links.retain(|id, _| list.get(id).is_some());
        self.health.retain(|id| list.get(id).is_some());
        self.versions.retain(|(id, _), _| list.get(id).is_some());
        self.speeds.retain(|id, _| list.get(id).is_some());
    }

    fn best_for_call(
        &self,
        target: &CallTarget<'_>,
        tried: &[BackendId],
        now: Millis,
        draw: u64,
    ) -> Option<BackendId> {
        let allowed: Vec<&BackendId> = self.allowed_for_call(target).collect();
        let has_warm = allowed.iter().any(|id| !self.is_cold(id, now));
        let is_open = |id: &BackendId| match has_warm {
            true => !self.is_cold(id, now),
            false => self.cold_allowance(id, target.sender, now) != Some(0),
        };
        let ready: Vec<&BackendId> = allowed.into_iter().filter(|id| is_open(id)).collect();
        let count = ready.len().max(1);
        let offset = (draw % count as u64) as usize;
        let rotated = (0..ready.len()).map(|at| ready[(at + offset) % count]);
        rotated
            .min_by(|left, right| {
                let rank = |id: &BackendId| {
                    let needs_connection = !self.links.get(id).is_some_and(Link::has_idle);
                    let is_avoided = self.health.is_avoided(id, now);
                    (
                        tried.contains(id),
                        is_avoided,
                        self.load_for_call(id),
                        needs_connection,
                    )
                };
                let (left, right) = (rank(left), rank(right));
                let order = (left.0, left.1).cmp(&(right.0, right.1));
                order
                    .then(left.2.total_cmp(&right.2))
                    .then(left.3.cmp(&right.3))
            })
            .cloned()
    }

    fn load_for_call(&self, id: &BackendId) -> f64 {
        let busy = f64::from(self.in_flight(id));
        // Mean times are compared coarsely, so that noise does not send all calls to one.
        let slowness = (self.health.mean_ms(id).unwrap_or(0.0) / 40.0).floor();
        (busy + 1.0) * (slowness + 1.0)
    }

    fn hold(&mut self, id: &BackendId) -> Option<Link> {
        let address = self.list.get(id)?.address;
        *self.in_flight.entry(id.clone()).or_default() += 1;
        Some(self.link(id, address))
    }

    fn link(&mut self, id: &BackendId, address: SocketAddr) -> Link {
        let settings = LinkSettings {
            connect_timeout: CONNECT_TIMEOUT,
            keep_idle: KEEP_IDLE,
            most_idle: MOST_IDLE,
        };
        self.links
            .entry(id.clone())
            .or_insert_with(|| Link::new(address, settings))
            .clone()
    }

    fn release(&mut self, id: &BackendId) {
        if let Some(count) = self.in_flight.get_mut(id) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(id);
            }
        }
    }

    /// Requests of this node that run there.
    pub fn in_flight(&self, id: &BackendId) -> u32 {
        self.in_flight.get(id).copied().unwrap_or(0)
    }

    /// The newest version that a back end is known to have.
    pub fn version(&self, id: &BackendId, model: &ModelName) -> Version {
        self.versions
            .get(&(id.clone(), model.clone()))
            .copied()
            .unwrap_or(0)
    }

    /// A back end was seen to have a version, which may be older than thought.
    pub fn record_version(&mut self, id: &BackendId, model: &ModelName, version: Version) {
        self.versions.insert((id.clone(), model.clone()), version);
    }

    /// Events of a stream came so far apart.
    pub fn record_event_gaps(&mut self, id: &BackendId, gap: EqualGaps, now: Millis) {
        self.speeds
            .entry(id.clone())
            .or_default()
            .record_gaps(gap, now);
    }

    /// Lasting time between two events of a stream, of the back ends of which this node knows it.
    pub fn event_gaps(&self, now: Millis) -> impl Iterator<Item = (&BackendId, GapEstimate)> {
        let speeds = self.speeds.iter();
        speeds.filter_map(move |(id, speed)| Some((id, speed.estimate(now)?)))
    }

    /// Lasting time between two events of a stream, if this node knows it.
    pub fn event_gap(&self, id: &BackendId, now: Millis) -> Option<GapEstimate> {
        self.speeds.get(id)?.estimate(now)
    }
}
