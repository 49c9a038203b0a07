//! Tracks which requests crash the back ends that run them, so that nodes stop retrying such a request.
//!
//! The *end* of a back end means that its process exits or crashes; it aborts every request that runs there. The ends
//! of a request are the ends of back ends that were running it. A request is *suspected* from its first end and
//! *barred* after several. A successful answer clears it. An end that another request may have caused as well counts
//! for less.
//!
//! A bar can be wrong: when all back ends of a pool crash at once, a harmless request that many callers send has an end
//! at each of them. So a barred request still gets a few *trials*: single runs with growing pauses, each claimed by one
//! node of the fleet. One successful trial clears it.

mod attribution;
mod bar_rules;
mod trials;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};

use self::bar_rules::CachedCulprits;
use self::trials::Trials;
pub use self::trials::{LATER_TRIAL_PAUSE_MS, TRIAL_PAUSES_MS, TrialCheckpoint};
use crate::Millis;
use crate::ids::{BackendId, MachineName};

/// Number of ends from which a request can be barred.
pub const BAR_AFTER_ENDS: usize = 3;
/// Number of ends from which a single end without a likelier cause is enough to bar a request. With 3, two harmless
/// items of one batch were barred in 10 seeds of the soak test, as they had run beside three different harmful
/// requests.
pub const BAR_AFTER_SHARED_ENDS: usize = 5;
/// Time for which a request is not barred if another request has exactly the same ends, counted from the end with
/// which it reaches [`BAR_AFTER_ENDS`]. Callers retry within this time, and a retry tells the two requests apart. It is
/// shorter than the time within which all nodes must stop sending a harmful request.
pub const AMBIGUITY_GRACE_MS: Millis = 2_000;
/// Time after the latest report on an end of a request with at least [`BAR_AFTER_ENDS`] ends during which it is neither run
/// nor barred if other requests were at all its earlier ends. Other nodes report what they saw of the same end within this
/// time.
pub const REPORT_WAIT_MS: Millis = 300;
/// Maximum of that time since the latest end of the request. Reports keep coming for longer than [`REPORT_WAIT_MS`] when a
/// back end ends under many requests and the log is slow.
pub const MAX_REPORT_WAIT_MS: Millis = 1_000;
/// Maximum number of tracked requests; 256 take some 30 KB in memory and 20 KB in a checkpoint.
pub const MAX_REQUESTS: usize = 256;
/// Maximum number of ends that are stored per request.
const MAX_ENDS_PER_REQUEST: usize = 8;
/// Time without an end or a retry after which a request that is only suspected is forgotten: callers give up within
/// seconds, and a batch retries an item for a few minutes at most.
const SUSPECTED_RETENTION_MS: Millis = 5 * 60_000;
/// Time without an end or a retry after which a barred request is forgotten: long enough for a caller that retries it
/// repeatedly, and short enough that a wrong bar expires.
const BARRED_RETENTION_MS: Millis = 60 * 60_000;

/// Hash of the content of a request, which is the same for all its retries.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint([u8; 16]);

impl Fingerprint {
    /// Creates a fingerprint from the 16 bytes of a hash.
    pub fn new(bytes: [u8; 16]) -> Self {
        Self(bytes)
    }

    /// Parses the text form, 32 hexadecimal digits; `None` for any other text.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.as_bytes();
        let is_hex = digits.iter().all(u8::is_ascii_hexdigit);
        if digits.len() != 32 || !is_hex {
            return None;
        }
        Some(Self(u128::from_str_radix(text, 16).ok()?.to_be_bytes()))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{self}")
    }
}

/// A back end that ended while it was running a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedBackend {
    /// The back end. Its id names one incarnation, so a restarted back end has another id.
    pub backend: BackendId,
    /// The machine whose node saw the end.
    pub seen_by: MachineName,
}

/// The other suspected requests that were running at a back end when it ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OtherRequestsAtEnd {
    /// The back end that ended.
    pub backend: BackendId,
    /// Number of the other requests.
    pub others: usize,
    /// Highest total number of ends, at any back end, among the other requests; 0 if there are none.
    pub max_ends: usize,
}

/// A suspected request as a checkpoint stores it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashCheckpoint {
    /// The suspected request.
    pub request: Fingerprint,
    /// Its ends, in the order in which this node learnt of them.
    pub ended: Vec<EndedBackend>,
}

/// Whether a request may be run, given its ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Suspicion {
    /// The request has no known ends.
    None,
    /// The request has ends but is not barred. It may be run a limited number of times, also concurrently.
    Suspected {
        /// Number of its ends.
        ends: usize,
        /// Maximum number of concurrent runs; 0 while reports of other nodes on the latest end may still arrive.
        runs_left: usize,
    },
    /// Another request is the likelier cause of its ends, but this one may be harmful too: it is run only as a trial
    /// until that is known.
    TrialOnly {
        /// Number of its ends.
        ends: usize,
    },
    /// The request is taken to be the cause of its ends and is run only as a trial.
    Barred {
        /// Its ends.
        ended: Vec<EndedBackend>,
        /// Milliseconds since this node learnt of the latest end.
        age_ms: Millis,
    },
}

/// Number of requests that were forgotten since this ledger was created, by reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ForgottenRequests {
    /// A back end answered the request successfully.
    pub cleared: u64,
    /// The retention time passed without an end or a retry.
    pub expired: u64,
    /// The ledger was full.
    pub evicted: u64,
    /// All back ends that were reported as ended turned out to be alive.
    pub disproved: u64,
}

#[derive(Debug, Clone)]
struct Suspect {
    ended: Vec<EndedBackend>,
    last_end: Millis,
    /// When this node learnt of the latest of the first [`BAR_AFTER_ENDS`] ends.
    barring_end_at: Millis,
    /// Sequence number of that moment, which orders requests. A checkpoint preserves this order, but not the times.
    barring_end_order: u64,
    last_seen: Millis,
    trials: Trials,
}

impl Suspect {
    fn has_end_at(&self, backend: &BackendId) -> bool {
        self.ended.iter().any(|ended| ended.backend == *backend)
    }

    /// Whether this request was running at every end of `other`.
    fn was_at_all_ends_of(&self, other: &Self) -> bool {
        other
            .ended
            .iter()
            .all(|ended| self.has_end_at(&ended.backend))
    }
}

/// When this node learnt of the end of a back end under the first and the latest of the requests that were running there.
#[derive(Debug, Clone, Copy)]
struct ReportTimes {
    first: Millis,
    latest: Millis,
}

/// The suspected requests and their ends. All times are on the clock of the node that reads the reports.
#[derive(Debug, Clone, Default)]
pub struct CrashLedger {
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// The suspected requests that were running at each back end when it ended.
    requests_at: BTreeMap<BackendId, Vec<Fingerprint>>,
    /// When this node learnt of the end of each of these back ends.
    report_times: BTreeMap<BackendId, ReportTimes>,
    reported_barred: BTreeSet<Fingerprint>,
    /// Result of the latest attribution; `None` if a report arrived since.
    culprits_cache: RefCell<Option<CachedCulprits>>,
    next_order: u64,
    forgotten: ForgottenRequests,
}

impl CrashLedger {
    /// Creates an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Restores a ledger from a checkpoint. All ends and trials count as learnt of at `now`.
    pub fn restored(kept: Vec<CrashCheckpoint>, trials: Vec<TrialCheckpoint>, now: Millis) -> Self {
        let mut ledger = Self::new();
        for request in kept {
            for ended in request.ended {
                ledger.record_end(request.request, ended, now);
            }
        }
        ledger.restore_trials(trials, now);
        ledger
    }

    /// The entries for a checkpoint, in the order in which [`restored`](Self::restored) must record them.
    pub fn checkpoint(&self) -> Vec<CrashCheckpoint> {
        let mut suspects: Vec<(&Fingerprint, &Suspect)> = self.suspects.iter().collect();
        suspects.sort_by_key(|(_, suspect)| suspect.barring_end_order);
        suspects
            .into_iter()
            .map(|(request, suspect)| CrashCheckpoint {
                request: *request,
                ended: suspect.ended.clone(),
            })
            .collect()
    }

    /// Whether no request is suspected or barred.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Number of suspected and barred requests.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Counts of forgotten requests, for metrics.
    pub fn forgotten(&self) -> ForgottenRequests {
        self.forgotten
    }

    /// Records that a back end ended while it was running a request. Duplicate reports count once.
    pub fn record_end(&mut self, request: Fingerprint, ended: EndedBackend, now: Millis) {
        if !self.suspects.contains_key(&request) && self.suspects.len() >= MAX_REQUESTS {
            self.evict_one(now);
        }
        let suspect = self.suspects.entry(request).or_insert_with(|| Suspect {
            ended: Vec::new(),
            last_end: now,
            barring_end_at: now,
            barring_end_order: 0,
            last_seen: now,
            trials: Trials::default(),
        });
        if suspect.has_end_at(&ended.backend) || suspect.ended.len() >= MAX_ENDS_PER_REQUEST {
            return;
        }
        self.culprits_cache.take();
        let backend = ended.backend.clone();
        suspect.ended.push(ended);
        suspect.last_end = now;
        suspect.last_seen = now;
        if suspect.ended.len() <= BAR_AFTER_ENDS {
            suspect.barring_end_at = now;
            suspect.barring_end_order = self.next_order;
            self.next_order += 1;
        }
        let times = self.report_times.entry(backend.clone());
        let times = times.or_insert(ReportTimes {
            first: now,
            latest: now,
        });
        times.latest = now;
        let running = self.requests_at.entry(backend).or_default();
        running.push(request);
    }

    /// Clears a request that a back end answered successfully. Returns whether it had been suspected or barred.
    pub fn clear(&mut self, request: &Fingerprint) -> bool {
        let was_known = self.forget(request);
        self.forgotten.cleared += u64::from(was_known);
        was_known
    }

    /// Removes the ends at a back end that turned out to be alive. Returns whether any request had an end there.
    pub fn retract_ends_at(&mut self, backend: &BackendId) -> bool {
        let Some(running) = self.requests_at.remove(backend) else {
            return false;
        };
        self.report_times.remove(backend);
        self.culprits_cache.take();
        for request in running {
            let Some(suspect) = self.suspects.get_mut(&request) else {
                continue;
            };
            suspect.ended.retain(|ended| ended.backend != *backend);
            if suspect.ended.is_empty() {
                self.forgotten.disproved += u64::from(self.forget(&request));
            }
        }
        true
    }

    /// Whether the ledger holds an end of `request` at `backend`.
    pub fn has_end_at(&self, request: &Fingerprint, backend: &BackendId) -> bool {
        let suspect = self.suspects.get(request);
        suspect.is_some_and(|suspect| suspect.has_end_at(backend))
    }

    /// Milliseconds since this node learnt of the end of `backend`; `None` if the ledger holds no end of it.
    pub fn end_age(&self, backend: &BackendId, now: Millis) -> Option<Millis> {
        let times = self.report_times.get(backend)?;
        Some(now.saturating_sub(times.first))
    }

    /// The back ends of whose end this node learnt less than `max_age_ms` ago.
    pub fn ended_within(&self, max_age_ms: Millis, now: Millis) -> BTreeSet<BackendId> {
        let ended = self.report_times.iter();
        let recently = ended.filter(|(_, times)| now.saturating_sub(times.first) < max_age_ms);
        recently.map(|(backend, _)| backend.clone()).collect()
    }

    /// Milliseconds since the latest end, at any back end, of the requests that were running at `backend` when it ended;
    /// `None` if the ledger holds no end of `backend`.
    pub fn last_end_age(&self, backend: &BackendId, now: Millis) -> Option<Millis> {
        let running = self.requests_at.get(backend)?;
        let suspects = running
            .iter()
            .filter_map(|request| self.suspects.get(request));
        let last_end = suspects.map(|suspect| suspect.last_end).max()?;
        Some(now.saturating_sub(last_end))
    }

    /// Whether a request may be run now.
    pub fn suspicion(&self, request: &Fingerprint, now: Millis) -> Suspicion {
        let Some(suspect) = self.suspects.get(request) else {
            return Suspicion::None;
        };
        let ends = suspect.ended.len();
        if self.is_culprit(request, suspect, now) {
            return Suspicion::Barred {
                ended: suspect.ended.clone(),
                age_ms: now.saturating_sub(suspect.last_end),
            };
        }
        match self.runs_left(request, suspect, now) {
            0 if self.is_awaiting_reports(request, suspect, now) => {
                Suspicion::Suspected { ends, runs_left: 0 }
            }
            0 => Suspicion::TrialOnly { ends },
            runs_left => Suspicion::Suspected { ends, runs_left },
        }
    }

    /// The other requests at each end of a request; an operator can check with them whether a bar is justified.
    pub fn others_at_ends(&self, request: &Fingerprint) -> Vec<OtherRequestsAtEnd> {
        let suspect = self.suspects.get(request);
        let ended = suspect.into_iter().flat_map(|suspect| &suspect.ended);
        let others_at_ends = ended.map(|ended| {
            let others = self.others_at(&ended.backend, request);
            let ends: Vec<usize> = others.map(|other| other.ended.len()).collect();
            OtherRequestsAtEnd {
                backend: ended.backend.clone(),
                others: ends.len(),
                max_ends: ends.into_iter().max().unwrap_or(0),
            }
        });
        others_at_ends.collect()
    }

    /// The back ends that ended under a request, as far as they are stored.
    pub fn ended_under(&self, request: &Fingerprint) -> BTreeSet<BackendId> {
        let suspect = self.suspects.get(request);
        let ended = suspect.into_iter().flat_map(|suspect| &suspect.ended);
        ended.map(|ended| ended.backend.clone()).collect()
    }

    /// Milliseconds between the reports of the first and the latest end of a request.
    pub fn ends_spread_ms(&self, request: &Fingerprint) -> Millis {
        let suspect = self.suspects.get(request);
        let ended = suspect.into_iter().flat_map(|suspect| &suspect.ended);
        let reported = ended.filter_map(|ended| self.report_times.get(&ended.backend));
        let reported: Vec<Millis> = reported.map(|times| times.first).collect();
        let first = reported.iter().min().copied().unwrap_or(0);
        let latest = reported.iter().max().copied().unwrap_or(0);
        latest - first
    }

    /// Records a retry of a request, which prolongs its retention if it is suspected or barred.
    pub fn record_retry(&mut self, request: &Fingerprint, now: Millis) {
        if let Some(suspect) = self.suspects.get_mut(request) {
            suspect.last_seen = now;
        }
    }

    /// Whether any request has enough ends to be barred.
    pub fn has_bar_candidates(&self) -> bool {
        let mut suspects = self.suspects.values();
        suspects.any(|suspect| suspect.ended.len() >= BAR_AFTER_ENDS)
    }

    /// Returns the requests that became barred since the last call, by a report or by the passing of time.
    pub fn take_newly_barred(&mut self, now: Millis) -> Vec<Fingerprint> {
        if !self.has_bar_candidates() {
            return Vec::new();
        }
        let culprits = self.all_culprits(now);
        let newly = culprits.difference(&self.reported_barred);
        let newly: Vec<Fingerprint> = newly.copied().collect();
        self.reported_barred.extend(&newly);
        newly
    }

    /// Forgets requests whose retention time passed without an end or a retry.
    pub fn forget_old(&mut self, now: Millis) {
        let culprits = self.all_culprits(now);
        let old: Vec<Fingerprint> = self
            .suspects
            .iter()
            .filter(|(request, suspect)| {
                let keep_ms = match culprits.contains(request) {
                    true => BARRED_RETENTION_MS,
                    false => SUSPECTED_RETENTION_MS,
                };
                now.saturating_sub(suspect.last_seen) > keep_ms
            })
            .map(|(request, _)| *request)
            .collect();
        for request in old {
            self.forgotten.expired += u64::from(self.forget(&request));
        }
    }

    /// Removes one request: not a barred one if possible, then the one with the fewest ends, then the one that was seen
    /// least recently.
    fn evict_one(&mut self, now: Millis) {
        let culprits = self.all_culprits(now);
        let least = self.suspects.iter().min_by_key(|(request, suspect)| {
            (
                culprits.contains(request),
                suspect.ended.len(),
                suspect.last_seen,
            )
        });
        if let Some(request) = least.map(|(request, _)| *request) {
            self.forgotten.evicted += u64::from(self.forget(&request));
        }
    }

    fn forget(&mut self, request: &Fingerprint) -> bool {
        self.reported_barred.remove(request);
        self.culprits_cache.take();
        let Some(suspect) = self.suspects.remove(request) else {
            return false;
        };
        for ended in &suspect.ended {
            if let Some(running) = self.requests_at.get_mut(&ended.backend) {
                running.retain(|other| other != request);
                if running.is_empty() {
                    self.requests_at.remove(&ended.backend);
                    self.report_times.remove(&ended.backend);
                }
            }
        }
        true
    }
}
