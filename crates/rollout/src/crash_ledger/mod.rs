//! Which requests ended the back ends that ran them, so that no node sends such a request on and on.
//!
//! A back end that ends takes everything down that runs there. So a request is *suspected* with its first
//! end and *barred* after several, and an answer with success clears it: it can be run. Ends of
//! which another request can be the cause just as well count for less.

mod blame;
mod judgement;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};

use self::blame::Verdict;
use crate::Millis;
use crate::ids::{BackendId, MachineName};

/// Back ends that must have ended under a request before it is barred.
pub const BAR_AFTER_ENDS: usize = 3;
/// Ends of which a single one without a likelier cause bars it. With three, two honest items of a batch were barred in 10
/// soaked seeds: they had been beside three different harmful requests.
pub const BAR_AFTER_SHARED_ENDS: usize = 5;
/// Time after the end that may bar it for which a request is given the benefit of the doubt if another one was there at
/// exactly the same ends: callers try again within it, which tells the two apart. Shorter than the time
/// within which all nodes must have stopped to send a harmful request.
pub const DOUBT_MS: Millis = 2_000;
/// Time after each end that may bar it in which a request that had company at the ends before is neither run nor
/// barred: what other nodes saw of the same end is told within it.
pub const SETTLING_MS: Millis = 300;
/// Most requests that are remembered; 256 take some 30 KB in memory and 20 KB in a checkpoint.
pub const MOST_REQUESTS: usize = 256;
/// Most back ends that are remembered of a request.
const MOST_BACKENDS: usize = 8;
/// Time without news after which a request that is only suspected is forgotten: callers give up within
/// seconds, and batches carry an item for a few minutes at most.
const FORGET_SUSPECTED_MS: Millis = 5 * 60_000;
/// Time after the last attempt after which a barred request is forgotten: long enough for one that comes
/// again and again, and a wrong bar ends by itself.
const FORGET_BARRED_MS: Millis = 60 * 60_000;

/// What stays the same of a request from one try to the next.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint([u8; 16]);

impl Fingerprint {
    /// From the bytes of a hash.
    pub fn new(bytes: [u8; 16]) -> Self {
        Self(bytes)
    }

    /// Reads what its text form names.
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

/// A back end that ended while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedBackend {
    /// The back end; its id stands for one life of it.
    pub backend: BackendId,
    /// The machine that saw it.
    pub seen_by: MachineName,
}

/// Other requests that were there when a back end ended under one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OtherRequestsAtEnd {
    /// The back end.
    pub backend: BackendId,
    /// How many there were.
    pub others: usize,
    /// The most ends that one of them has, here and elsewhere; 0 without any.
    pub max_ends: usize,
}

/// What a checkpoint keeps of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashCheckpoint {
    /// The request.
    pub request: Fingerprint,
    /// Back ends that ended under it.
    pub ended: Vec<EndedBackend>,
}

/// What is known against a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Suspicion {
    /// Nothing.
    None,
    /// So many back ends ended while they ran it; it may be run so many times more, all at once.
    Suspected {
        /// Ends.
        ends: usize,
        /// Runs that may be under way before it is barred; none for a moment while others may still tell of an end.
        runs_left: usize,
    },
    /// Another one is the likelier cause of its ends, but it may be harmful too: one machine tries it, another
    /// than this one. Whoever alone runs it at all, as the owner of its batch, may do so too.
    LeftToAnother {
        /// Ends.
        ends: usize,
    },
    /// It must not be run any more.
    Barred {
        /// The back ends that ended under it.
        ended: Vec<EndedBackend>,
        /// Milliseconds since the last one was heard of here.
        age_ms: Millis,
    },
}

/// Why requests were forgotten, with counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ForgottenRequests {
    /// A back end answered them.
    pub cleared: u64,
    /// Nothing was heard of them for long.
    pub expired: u64,
    /// There was no room for more.
    pub evicted: u64,
    /// The back ends that were thought to have ended under them live.
    pub disproved: u64,
}

#[derive(Debug, Clone)]
struct Suspect {
    ended: Vec<EndedBackend>,
    last_end: Millis,
    /// When the end was heard of that may bar it.
    told_at: Millis,
    /// Its place among all requests by when that was. Unlike times it outlives a checkpoint.
    told_order: u64,
    last_news: Millis,
}

impl Suspect {
    fn has_end_at(&self, backend: &BackendId) -> bool {
        self.ended.iter().any(|ended| ended.backend == *backend)
    }

    /// Whether it was there at all ends of another one.
    fn shares_all_of(&self, other: &Self) -> bool {
        other
            .ended
            .iter()
            .all(|ended| self.has_end_at(&ended.backend))
    }
}

/// Requests under which back ends ended. Times are the reader's own.
#[derive(Debug, Clone)]
pub struct CrashLedger {
    own_machine: MachineName,
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// Which of them ran at each back end when it ended.
    running_at: BTreeMap<BackendId, Vec<Fingerprint>>,
    told_barred: BTreeSet<Fingerprint>,
    /// The newest verdict on all of them; `None` since something was told.
    verdict: RefCell<Option<Verdict>>,
    next_order: u64,
    forgotten: ForgottenRequests,
}

impl CrashLedger {
    /// An empty ledger, as the machine `own_machine` keeps it.
    pub fn new(own_machine: MachineName) -> Self {
        Self {
            own_machine,
            suspects: BTreeMap::new(),
            running_at: BTreeMap::new(),
            told_barred: BTreeSet::new(),
            verdict: RefCell::default(),
            next_order: 0,
            forgotten: ForgottenRequests::default(),
        }
    }

    /// A ledger with what a checkpoint kept, heard of now.
    pub fn restored(own_machine: MachineName, kept: Vec<CrashCheckpoint>, now: Millis) -> Self {
        let mut ledger = Self::new(own_machine);
        for request in kept {
            for ended in request.ended {
                ledger.record_end(request.request, ended, now);
            }
        }
        ledger
    }

    /// What a checkpoint keeps, in the order in which it is to be taken up again.
    pub fn checkpoint(&self) -> Vec<CrashCheckpoint> {
        let mut suspects: Vec<(&Fingerprint, &Suspect)> = self.suspects.iter().collect();
        suspects.sort_by_key(|(_, suspect)| suspect.told_order);
        suspects
            .into_iter()
            .map(|(request, suspect)| CrashCheckpoint {
                request: *request,
                ended: suspect.ended.clone(),
            })
            .collect()
    }

    /// Whether nothing is known against any request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// How many requests are remembered.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// How requests were forgotten so far.
    pub fn forgotten(&self) -> ForgottenRequests {
        self.forgotten
    }

    /// A back end ended while it ran a request. Told twice it counts once.
    pub fn record_end(&mut self, request: Fingerprint, ended: EndedBackend, now: Millis) {
        if !self.suspects.contains_key(&request) && self.suspects.len() >= MOST_REQUESTS {
            self.evict_one(now);
        }
        let suspect = self.suspects.entry(request).or_insert_with(|| Suspect {
            ended: Vec::new(),
            last_end: now,
            told_at: now,
            told_order: 0,
            last_news: now,
        });
        if suspect.has_end_at(&ended.backend) || suspect.ended.len() >= MOST_BACKENDS {
            return;
        }
        self.verdict.take();
        let backend = ended.backend.clone();
        suspect.ended.push(ended);
        suspect.last_end = now;
        suspect.last_news = now;
        if suspect.ended.len() <= BAR_AFTER_ENDS {
            suspect.told_at = now;
            suspect.told_order = self.next_order;
            self.next_order += 1;
        }
        let running = self.running_at.entry(backend).or_default();
        running.push(request);
    }

    /// A back end answered a request, so that it can be run; answers whether anything was known against it.
    pub fn clear(&mut self, request: &Fingerprint) -> bool {
        let was_known = self.forget(request);
        self.forgotten.cleared += u64::from(was_known);
        was_known
    }

    /// A back end that was taken for ended lives; answers whether any request was suspected for it.
    pub fn retract_ends_at(&mut self, backend: &BackendId) -> bool {
        let Some(running) = self.running_at.remove(backend) else {
            return false;
        };
        self.verdict.take();
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

    /// Whether it is known that a back end ended under a request.
    pub fn has_end_at(&self, request: &Fingerprint, backend: &BackendId) -> bool {
        let suspect = self.suspects.get(request);
        suspect.is_some_and(|suspect| suspect.has_end_at(backend))
    }

    /// Time since the last end of a request that a back end is held to have ended under; `None` if it is not.
    pub fn last_end_age(&self, backend: &BackendId, now: Millis) -> Option<Millis> {
        let running = self.running_at.get(backend)?;
        let suspects = running
            .iter()
            .filter_map(|request| self.suspects.get(request));
        let last_end = suspects.map(|suspect| suspect.last_end).max()?;
        Some(now.saturating_sub(last_end))
    }

    /// What is known against a request.
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
            0 if self.is_settling(request, suspect, now) => {
                Suspicion::Suspected { ends, runs_left: 0 }
            }
            0 => Suspicion::LeftToAnother { ends },
            runs_left => Suspicion::Suspected { ends, runs_left },
        }
    }

    /// Who else was there at each end of a request, which tells whether it was barred rightly.
    pub fn others_at_ends(&self, request: &Fingerprint) -> Vec<OtherRequestsAtEnd> {
        let suspect = self.suspects.get(request);
        let ended = suspect.into_iter().flat_map(|suspect| &suspect.ended);
        let company = ended.map(|ended| {
            let others = self.others_at(&ended.backend, request);
            let ends: Vec<usize> = others.map(|other| other.ended.len()).collect();
            OtherRequestsAtEnd {
                backend: ended.backend.clone(),
                others: ends.len(),
                max_ends: ends.into_iter().max().unwrap_or(0),
            }
        });
        company.collect()
    }

    /// A request that is known came again: it is not forgotten yet.
    pub fn record_retry(&mut self, request: &Fingerprint, now: Millis) {
        if let Some(suspect) = self.suspects.get_mut(request) {
            suspect.last_news = now;
        }
    }

    /// Whether any request may be barred: back ends enough have ended under it.
    pub fn has_bar_candidates(&self) -> bool {
        let mut suspects = self.suspects.values();
        suspects.any(|suspect| suspect.ended.len() >= BAR_AFTER_ENDS)
    }

    /// Requests that were barred since the last call, by what was told or as time passed.
    pub fn take_newly_barred(&mut self, now: Millis) -> Vec<Fingerprint> {
        if !self.has_bar_candidates() {
            return Vec::new();
        }
        let culprits = self.all_culprits(now);
        let newly = culprits.difference(&self.told_barred);
        let newly: Vec<Fingerprint> = newly.copied().collect();
        self.told_barred.extend(&newly);
        newly
    }

    /// Forgets what nothing was heard of for long.
    pub fn forget_old(&mut self, now: Millis) {
        let culprits = self.all_culprits(now);
        let old: Vec<Fingerprint> = self
            .suspects
            .iter()
            .filter(|(request, suspect)| {
                let keep_ms = match culprits.contains(request) {
                    true => FORGET_BARRED_MS,
                    false => FORGET_SUSPECTED_MS,
                };
                now.saturating_sub(suspect.last_news) > keep_ms
            })
            .map(|(request, _)| *request)
            .collect();
        for request in old {
            self.forgotten.expired += u64::from(self.forget(&request));
        }
    }

    /// Makes room: first for the least suspicious ones, then for those nothing was heard of for longest.
    fn evict_one(&mut self, now: Millis) {
        let culprits = self.all_culprits(now);
        let least = self.suspects.iter().min_by_key(|(request, suspect)| {
            (
                culprits.contains(request),
                suspect.ended.len(),
                suspect.last_news,
            )
        });
        if let Some(request) = least.map(|(request, _)| *request) {
            self.forgotten.evicted += u64::from(self.forget(&request));
        }
    }

    fn forget(&mut self, request: &Fingerprint) -> bool {
        self.told_barred.remove(request);
        self.verdict.take();
        let Some(suspect) = self.suspects.remove(request) else {
            return false;
        };
        for ended in &suspect.ended {
            if let Some(running) = self.running_at.get_mut(&ended.backend) {
                running.retain(|other| other != request);
                if running.is_empty() {
                    self.running_at.remove(&ended.backend);
                }
            }
        }
        true
    }
}
