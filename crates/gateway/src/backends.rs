//! Back ends as this node uses them: which ones are listed, fast or avoided, and the idle connections to each.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_http_link::{Link, LinkSettings};
use havenstage_rollout::Millis;
use havenstage_rollout::address_claims::REPLACED_MS;
use havenstage_rollout::back_end_speed::{BackEndSpeed, EqualGaps, GapEstimate};
use havenstage_rollout::backend::{BackendChange, BackendList, BackendRecord};
use havenstage_rollout::health::BackendHealth;
use havenstage_rollout::ids::{
    BackendId, BackendName, ModelName, PoolName, RegionName, Version, ZoneName,
};
use havenstage_rollout::residency::{RegionMap, Residency};
use havenstage_rollout::slow_start::{ColdLimit, Sender, SlowStart};
use log::info;
use tokio::sync::{Notify, watch};

use crate::metrics;

/// Timeout of opening a connection to a back end.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle time after which a connection to a back end is not reused.
const MAX_IDLE_TIME: Duration = Duration::from_secs(9);
/// Number of ends of back ends that are remembered.
const MAX_REMEMBERED_ENDS: usize = 256;
/// Most idle connections to one back end.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// A back end chosen for a request. The request counts as in flight there until this value is dropped.
pub struct ChosenBackend {
    /// Identifies the back end and its incarnation.
    pub id: BackendId,
    /// Connection pool to the back end.
    pub link: Link,
    /// When it was chosen.
    pub chosen_at: Instant,
    backends: Arc<Backends>,
}

impl Drop for ChosenBackend {
    fn drop(&mut self) {
        self.backends.lock().release(&self.id);
    }
}

/// All back ends known to this node, behind a lock.
pub struct Backends {
    inner: Mutex<BackendsInner>,
    work: Arc<Notify>,
    /// Whether the last listing was complete, rather than stopped once it had enough back ends.
    is_fully_listed: AtomicBool,
    /// When the source of the list last confirmed it, in milliseconds of the node's clock; 0 before the first time.
    confirmed_at_ms: AtomicU64,
    /// The pool for which more back ends were last requested.
    more_wanted: watch::Sender<Option<PoolName>>,
}

/// The state of [`Backends`] that its lock protects.
#[derive(Default)]
pub struct BackendsInner {
    /// Back ends as listed in the directory or its digest.
    pub list: BackendList,
    /// Health of each back end as this node has observed it.
    pub health: BackendHealth,
    links: HashMap<BackendId, Link>,
    in_flight: HashMap<BackendId, u32>,
    versions: HashMap<(BackendId, ModelName), Version>,
    speeds: HashMap<BackendId, BackEndSpeed>,
    regions: RegionMap,
    slow_start: SlowStart,
    /// Configured limits of what the back ends of each pool are sent while they are cold.
    cold_limits: HashMap<PoolName, ColdLimit>,
    /// The latest ends that the list showed.
    ends: VecDeque<ListedEnd>,
}

/// The end of a back end that had not said that it leaves, as the list showed it: another one was listed under its name or
/// at its address.
struct ListedEnd {
    backend: BackendId,
    pool: PoolName,
    /// When this node learnt of it.
    known_at: Millis,
}

/// Restricts the back ends to which a call may be sent.
pub struct CallTarget<'a> {
    /// The pool that serves the call.
    pub pool: &'a PoolName,
    /// Regions in which the call may be served.
    pub residency: &'a Residency,
    /// The sender as which slow start counts the call at a cold back end.
    pub sender: Sender<'a>,
}

impl Backends {
    /// Creates an empty list; changes of the list wake `work`.
    pub fn new(work: Arc<Notify>, regions: RegionMap) -> Arc<Self> {
        let inner = BackendsInner {
            regions,
            ..BackendsInner::default()
        };
        Arc::new(Self {
            inner: Mutex::new(inner),
            work,
            is_fully_listed: AtomicBool::new(false),
            confirmed_at_ms: AtomicU64::new(0),
            more_wanted: watch::Sender::new(None),
        })
    }

    /// Whether all existing back ends are listed here.
    pub fn is_fully_listed(&self) -> bool {
        self.is_fully_listed.load(Ordering::Relaxed)
    }

    /// Sets whether all existing back ends are listed here.
    pub fn set_fully_listed(&self, is_complete: bool) {
        self.is_fully_listed.store(is_complete, Ordering::Relaxed);
    }

    /// Records that the directory was read to its end, or that the writer of its digest had read it, at `at`.
    pub fn record_confirmation(&self, at: Millis) {
        self.confirmed_at_ms.fetch_max(at, Ordering::Relaxed);
    }

    /// Milliseconds since the list was last confirmed to be up to date; `None` before the first time.
    pub fn age_ms(&self, now: Millis) -> Option<Millis> {
        let confirmed_at = self.confirmed_at_ms.load(Ordering::Relaxed);
        (confirmed_at > 0).then(|| now.saturating_sub(confirmed_at))
    }

    /// Requests a listing of more back ends of a pool, if some are unlisted: for callers whose known back ends are all
    /// in use, or that know none.
    pub fn want_more(&self, pool: &PoolName) {
        if !self.is_fully_listed() {
            self.more_wanted.send_replace(Some(pool.clone()));
        }
    }

    /// Waits until more back ends are requested, and returns the pool.
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

    /// Locks the state.
    pub fn lock(&self) -> MutexGuard<'_, BackendsInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies one change of the list.
    pub fn apply(&self, change: BackendChange, now: Millis) {
        self.lock().apply(change, now);
        self.work.notify_one();
    }

    /// Replaces the list with the entries of a new listing.
    pub fn replace(&self, entries: BTreeMap<BackendName, BackendRecord>, now: Millis) {
        self.lock().replace(entries, now);
        self.work.notify_one();
    }

    /// Replaces the limits of cold back ends with those of a new configuration.
    pub fn set_cold_limits(&self, limits: HashMap<PoolName, ColdLimit>) {
        self.lock().cold_limits = limits;
    }

    /// Begins or ends the evacuation of a zone; returns whether that is a change. At the end, the back ends of the zone
    /// are treated as possibly cold: nothing was sent to them for a while, and their own report may not have arrived yet.
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

    /// Chooses a back end for a call and reserves it, none of those in `ended`. Back ends that are not in `tried`, then
    /// those that are not avoided, come first; among these, the one with the least load for its speed. `draw` breaks
    /// ties.
    pub fn choose_for_call(
        self: &Arc<Self>,
        target: &CallTarget<'_>,
        tried: &[BackendId],
        ended: &BTreeSet<BackendId>,
        now: Millis,
        draw: u64,
    ) -> Option<ChosenBackend> {
        let id = {
            let mut inner = self.lock();
            inner.list.expire_replaced(now);
            inner.best_for_call(target, tried, ended, now, draw)?
        };
        self.take_for_request(&id, target.sender, now)
    }

    /// Records that another back end turned a request for this one away: this one has ended, and gets no work while its
    /// entry has not expired.
    pub fn record_replaced(&self, id: &BackendId, now: Millis) {
        if self.lock().list.record_replaced(id, now) {
            metrics::backend_replaced();
            info!(event = "backend_replaced", backend = id.as_str(), pause_ms = REPLACED_MS; "");
            self.work.notify_one();
        }
    }

    /// Reserves a given back end for a request, if it is listed and may be sent one now. This is the last check before
    /// every send: since the back end was chosen, its zone may have been evacuated, or its slow-start allowance for this
    /// second used up.
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

    /// Reserves a given back end, if it is listed, to query its state or to send it an order.
    pub fn take(self: &Arc<Self>, id: &BackendId) -> Option<ChosenBackend> {
        let link = self.lock().acquire_link(id)?;
        Some(ChosenBackend {
            id: id.clone(),
            link,
            chosen_at: Instant::now(),
            backends: self.clone(),
        })
    }
}

impl BackendsInner {
    fn apply(&mut self, change: BackendChange, now: Millis) {
        let (id, record) = (change.incarnation(), change.record.clone());
        let former = self.list.incarnation(&change.name).cloned();
        let is_removed = self.list.apply(change);
        if let (Some(id), Some(record)) = (&id, &record) {
            self.record_ends(id, record, former, now);
        }
        if let (Some(id), Some(record)) = (id, record) {
            self.apply_entry(&id, &record, now);
        }
        if is_removed {
            self.forget_unlisted(now);
        }
    }

    fn replace(&mut self, entries: BTreeMap<BackendName, BackendRecord>, now: Millis) {
        self.list.replace(entries.clone());
        for (name, record) in entries {
            let id = BackendId::from_name_and_start(&name, record.started_at);
            self.apply_entry(&id, &record, now);
        }
        self.forget_unlisted(now);
    }

    /// Records the ends that a new entry shows: of the former incarnation, and of others that are listed at its address.
    fn record_ends(
        &mut self,
        id: &BackendId,
        record: &BackendRecord,
        former: Option<BackendId>,
        now: Millis,
    ) {
        let crashed = former.filter(|former| self.list.has_crashed(former));
        let others = self.list.replaced_by(id).cloned();
        let ended: Vec<BackendId> = crashed.into_iter().chain(others).collect();
        for backend in ended {
            if self.ends.iter().any(|end| end.backend == backend) {
                continue;
            }
            if self.ends.len() == MAX_REMEMBERED_ENDS {
                self.ends.pop_front();
            }
            self.ends.push_back(ListedEnd {
                backend,
                pool: record.pool.clone(),
                known_at: now,
            });
        }
    }

    /// Whether the list showed within `max_age_ms` that a back end of a pool ended that is none of `expected`.
    pub fn has_unexpected_end(
        &self,
        pool: &PoolName,
        expected: &BTreeSet<BackendId>,
        max_age_ms: Millis,
        now: Millis,
    ) -> bool {
        self.ends.iter().any(|end| {
            end.pool == *pool
                && now.saturating_sub(end.known_at) < max_age_ms
                && !expected.contains(&end.backend)
        })
    }

    fn suspect_cold(&mut self, zone: &ZoneName, now: Millis) {
        for (id, record) in self.list.in_zone(zone) {
            if let Some(limit) = self.cold_limits.get(&record.pool) {
                self.slow_start.suspect_cold(id, limit, now);
            }
        }
    }

    /// Number of requests that this node may send to a back end now; `None` if slow start sets no limit.
    pub fn cold_allowance(&self, id: &BackendId, sender: Sender<'_>, now: Millis) -> Option<u32> {
        let limit = self.cold_limits.get(&self.list.get(id)?.pool);
        self.slow_start.allowance(id, limit, sender, now)
    }

    /// Whether a back end is cold and its pool limits what cold back ends are sent.
    pub fn is_cold(&self, id: &BackendId, now: Millis) -> bool {
        let pool = self.list.get(id).map(|record| &record.pool);
        let has_limit = pool.is_some_and(|pool| self.cold_limits.contains_key(pool));
        has_limit && self.slow_start.is_cold(id, now)
    }

    /// Whether some back end of a pool is warm. Then cold ones get no items. In simulations of three days with a pool of
    /// 44 back ends, 15 of which return cold, items that avoided the cold ones had a value of 0.70 to their trainers,
    /// against 0.66 where each cold one got its full allowance from one node (means of nine runs each).
    pub fn has_warm(&self, pool: &PoolName, now: Millis) -> bool {
        self.list
            .ready_in(pool)
            .any(|(id, _)| !self.is_cold(id, now))
    }

    /// The region of a back end; `None` if the region of its zone is not configured.
    pub fn region_of(&self, record: &BackendRecord) -> Option<&RegionName> {
        self.region_of_zone(&record.zone)
    }

    /// The region of a zone; `None` if it is not configured.
    pub fn region_of_zone(&self, zone: &str) -> Option<&RegionName> {
        self.regions.region_of(zone)
    }

    /// Ready back ends to which a call may be sent by pool and region, regardless of slow start.
    pub fn allowed_for_call<'a>(
        &'a self,
        target: &'a CallTarget<'_>,
    ) -> impl Iterator<Item = &'a BackendId> {
        let ready = self.list.ready_in(target.pool);
        ready
            .filter(|(_, record)| target.residency.allows(self.region_of(record)))
            .map(|(id, _)| id)
    }

    /// Applies what a back end reports about itself.
    fn apply_entry(&mut self, id: &BackendId, record: &BackendRecord, now: Millis) {
        // The entry is a late one of an earlier incarnation.
        if self.list.get(id).is_none() {
            return;
        }
        self.slow_start.report_cold(id, record.cold_left_ms, now);
        let link = self.links.get(id);
        if link.is_some_and(|link| link.address() != record.address) {
            self.links.remove(id);
        }
        // The list lags behind the observed versions, so the newer one counts.
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

    /// The back end that [`Backends::choose_for_call`] would choose.
    pub(crate) fn best_for_call(
        &self,
        target: &CallTarget<'_>,
        tried: &[BackendId],
        ended: &BTreeSet<BackendId>,
        now: Millis,
        draw: u64,
    ) -> Option<BackendId> {
        let allowed = self.allowed_for_call(target);
        let allowed: Vec<&BackendId> = allowed.filter(|id| !ended.contains(*id)).collect();
        let has_warm = allowed.iter().any(|id| !self.is_cold(id, now));
        let is_allowed = |id: &BackendId| match has_warm {
            true => !self.is_cold(id, now),
            false => self.cold_allowance(id, target.sender, now) != Some(0),
        };
        let ready: Vec<&BackendId> = allowed.into_iter().filter(|id| is_allowed(id)).collect();
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
        // Mean times are compared in steps of 40 ms, so that noise does not send all calls to one back end.
        let slowness = (self.health.mean_ms(id).unwrap_or(0.0) / 40.0).floor();
        (busy + 1.0) * (slowness + 1.0)
    }

    fn acquire_link(&mut self, id: &BackendId) -> Option<Link> {
        let address = self.list.get(id)?.address;
        *self.in_flight.entry(id.clone()).or_default() += 1;
        Some(self.link(id, address))
    }

    fn link(&mut self, id: &BackendId, address: SocketAddr) -> Link {
        let settings = LinkSettings {
            connect_timeout: CONNECT_TIMEOUT,
            keep_idle: MAX_IDLE_TIME,
            max_idle_connections: MAX_IDLE_CONNECTIONS,
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

    /// Number of requests of this node that are in flight at a back end.
    pub fn in_flight(&self, id: &BackendId) -> u32 {
        self.in_flight.get(id).copied().unwrap_or(0)
    }

    /// The version of a model that a back end is known to have; 0 if none is known.
    pub fn version(&self, id: &BackendId, model: &ModelName) -> Version {
        self.versions
            .get(&(id.clone(), model.clone()))
            .copied()
            .unwrap_or(0)
    }

    /// Records that a back end was observed to have a version, which may be older than the known one.
    pub fn record_version(&mut self, id: &BackendId, model: &ModelName, version: Version) {
        self.versions.insert((id.clone(), model.clone()), version);
    }

    /// Records the measured gaps between events of a stream from a back end.
    pub fn record_event_gaps(&mut self, id: &BackendId, gap: EqualGaps, now: Millis) {
        self.speeds
            .entry(id.clone())
            .or_default()
            .record_gaps(gap, now);
    }

    /// Typical gap between two events of a stream, for each back end for which this node has measured it.
    pub fn event_gaps(&self, now: Millis) -> impl Iterator<Item = (&BackendId, GapEstimate)> {
        let speeds = self.speeds.iter();
        speeds.filter_map(move |(id, speed)| Some((id, speed.estimate(now)?)))
    }

    /// Typical gap between two events of a stream from a back end; `None` if this node has not measured it.
    pub fn event_gap(&self, id: &BackendId, now: Millis) -> Option<GapEstimate> {
        self.speeds.get(id)?.estimate(now)
    }
}
