//! Detection of stalled runs, whose items then resume on another back end from the output so far.
//!
//! A back end may stop responding while its connections stay open: no event arrives and no connection breaks. The
//! detector compares the silence of a back end with the usual gap between its events. Silence has another cause, and
//! does not count, while the back end loads weights, while this node itself was suspended, and while so many of the
//! back ends that this node uses are silent that the cause is this node's own link or processor: its items would do no
//! better elsewhere. How many silent back ends that takes depends on whether the log still answers this node, since
//! a node that the log answers has a working link. A false alarm costs a new connection and another prefill of the
//! prompt, because the output is resumed.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::Millis;
use crate::ids::BackendId;

/// Minimum silence timeout of a run that received an event. A decode step that takes several times as long as usual
/// and the prefill of a prompt in between are shorter.
const MIN_SILENCE_TIMEOUT_MS: f64 = 600.0;
/// Maximum silence timeout of a run that received an event; also used while no gap of its back end is known.
const MAX_SILENCE_TIMEOUT_MS: f64 = 2_000.0;
/// Number of event gaps in the silence timeout. Each is the mean gap plus [`GAP_DEVIATIONS`] deviations.
const SILENCE_TIMEOUT_GAPS: f64 = 4.0;
/// Number of deviations above the mean up to which a gap is normal.
const GAP_DEVIATIONS: f64 = 4.0;
/// Silence timeout of a run without an event so far. It is longer than a send over a reused connection that no longer
/// responds takes to start again over a new connection.
const FIRST_EVENT_TIMEOUT_MS: Millis = 900;
/// Silence timeout of a run during whose silence a new connection to its back end failed.
const UNREACHABLE_TIMEOUT_MS: Millis = 300;
/// Silence after which a back end is silent, and the log out of contact, when the detector decides whether the cause
/// is this node itself.
const SILENT_AFTER_MS: Millis = 300;
/// Back ends that may be silent although no back end is active, if the log answers this node: the last items of a
/// training step run on few back ends.
const MAX_SILENT_BACKENDS: usize = 3;
/// Maximum ratio of silent to active back ends if the log answers this node. A node in a zone that was cut off still
/// receives events from a third of all back ends.
const MAX_SILENT_PER_ACTIVE: usize = 4;
/// Time between two checks above which this node was suspended. Events that arrived meanwhile may not be read yet.
const SUSPENDED_AFTER_MS: Millis = 400;
/// Time between two checks up to which this node is on schedule. The excess does not count as silence of back ends,
/// because their events wait to be read.
const MAX_CHECK_INTERVAL_MS: Millis = 150;
/// Time for which delays of checks are kept: longer than any silence timeout.
const CHECK_DELAY_HISTORY_MS: Millis = 4_000;
/// Maximum share of the runs that may be reported as stalled within [`BUDGET_WINDOW_MS`]: those of one of three zones.
const MAX_STALLED_SHARE: f64 = 1.0 / 3.0;
/// Runs that may always be reported as stalled within [`BUDGET_WINDOW_MS`], however few there are: those of one back
/// end.
const MIN_STALL_BUDGET: usize = 8;
/// Window in which reported stalls are counted against the budget.
const BUDGET_WINDOW_MS: Millis = 1_000;
/// Weight of the newest gap in the moving average of gaps (alpha in RFC 6298).
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of the newest deviation in the moving average of deviations (beta in RFC 6298).
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;

/// A run in flight. Times are on the clock of [`NodeState::now`].
#[derive(Debug, Clone, Copy)]
pub struct WatchedRun<'a> {
    /// Back end of the run.
    pub backend: &'a BackendId,
    /// When the run started.
    pub started_at: Millis,
    /// When the last event or the response head arrived; `None` if neither has.
    pub last_event_at: Option<Millis>,
}

/// Why a run counts as stalled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StallReason {
    /// Nothing arrived from the back end for much longer than usual.
    Silent,
    /// The run has no event so far, and nothing arrived from the back end for longer than a first event may take.
    NeverBegun,
    /// Nothing arrived from the back end, and a new connection to it failed meanwhile.
    Unreachable,
}

impl StallReason {
    /// Name of the reason in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::NeverBegun => "never_begun",
            Self::Unreachable => "unreachable",
        }
    }
}

/// A run that counts as stalled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stall {
    /// Position of the run in the list passed to [`StallDetector::find_stalls`].
    pub run: usize,
    /// Why the run counts as stalled.
    pub reason: StallReason,
    /// Milliseconds for which nothing arrived, without the delays of this node's own checks.
    pub quiet_ms: Millis,
}

/// State of this node when it checks its runs.
#[derive(Debug, Clone, Copy)]
pub struct NodeState {
    /// Current time of this node's clock, in milliseconds.
    pub now: Millis,
    /// Milliseconds since the log last answered this node.
    pub contact_age_ms: Millis,
}

/// Tracks the events that this node receives from back ends and finds stalled runs.
#[derive(Debug, Default)]
pub struct StallDetector {
    backends: HashMap<BackendId, Activity>,
    last_check: Option<Millis>,
    /// Silence before this time does not count for any back end.
    silence_counts_from: Millis,
    check_delays: CheckDelays,
    budget_window_start: Millis,
    /// Stalls reported in the current budget window.
    reported: usize,
}

/// How late this node's recent checks were.
#[derive(Debug, Default)]
struct CheckDelays {
    /// Time of each check, with the total delay of all checks up to then.
    checks: VecDeque<(Millis, Millis)>,
}

/// What this node received from a back end.
#[derive(Debug, Default)]
struct Activity {
    last_received_at: Option<Millis>,
    /// When a new connection failed, if no event arrived since.
    connect_failed_at: Option<Millis>,
    /// Silence before this time does not count.
    silence_counts_from: Millis,
    gaps: GapStatistics,
}

/// Moving averages of the gap between two events of a stream and of its deviation.
#[derive(Debug, Default, Clone, Copy)]
struct GapStatistics {
    mean_ms: Option<f64>,
    deviation_ms: f64,
}

impl StallDetector {
    /// Records an event from a back end. `gap_ms` is the time since the previous event of the same run, if there is one.
    pub fn record_event(&mut self, backend: &BackendId, gap_ms: Option<Millis>, now: Millis) {
        let activity = self.activity(backend);
        activity.last_received_at = Some(now);
        activity.connect_failed_at = None;
        if let Some(gap_ms) = gap_ms {
            activity.gaps.record(gap_ms as f64);
        }
    }

    /// Records that a new connection to a back end failed.
    pub fn record_connect_failure(&mut self, backend: &BackendId, now: Millis) {
        self.activity(backend).connect_failed_at = Some(now);
    }

    /// Drops the state of back ends for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&BackendId) -> bool) {
        self.backends.retain(|backend, _| keep(backend));
    }

    /// Finds the stalled runs among `runs`, all runs that this node has in flight. `is_loading` returns whether a back
    /// end has an order to load weights. Call this several times a second while runs are in flight: after a longer
    /// pause, no silence up to then counts.
    pub fn find_stalls(
        &mut self,
        runs: &[WatchedRun<'_>],
        is_loading: impl Fn(&BackendId) -> bool,
        node: NodeState,
    ) -> Vec<Stall> {
        let now = node.now;
        let last_check = self.last_check.replace(now);
        self.check_delays.record(last_check.unwrap_or(now), now);
        if last_check.is_none_or(|last| now.saturating_sub(last) > SUSPENDED_AFTER_MS) {
            self.silence_counts_from = now;
            return Vec::new();
        }
        let by_backend = group_by_backend(runs);
        if self.is_cause_local(&by_backend, runs, node) {
            self.silence_counts_from = now;
            return Vec::new();
        }
        let mut stalls = Vec::new();
        for (backend, of_backend) in by_backend {
            let quiet = of_backend
                .iter()
                .filter_map(|&run| self.check_run(run, &runs[run], now));
            let quiet: Vec<Stall> = quiet.collect();
            if quiet.is_empty() {
                continue;
            }
            if is_loading(backend) {
                self.activity(backend).silence_counts_from = now;
                continue;
            }
            stalls.extend(quiet);
        }
        self.limit_to_budget(stalls, runs.len(), now)
    }

    fn activity(&mut self, backend: &BackendId) -> &mut Activity {
        self.backends.entry(backend.clone()).or_default()
    }

    /// Since when nothing has arrived for the run or from its back end, and silence counts.
    fn quiet_since(&self, run: &WatchedRun<'_>) -> Millis {
        let activity = self.backends.get(run.backend);
        let last_received_at = activity
            .and_then(|activity| activity.last_received_at)
            .unwrap_or(0);
        let silence_counts_from = activity.map_or(0, |activity| activity.silence_counts_from);
        let of_run = run.last_event_at.unwrap_or(run.started_at);
        last_received_at
            .max(of_run)
            .max(silence_counts_from)
            .max(self.silence_counts_from)
    }

    /// Whether the silence is caused by this node itself, judged by the numbers of silent and of active back ends.
    fn is_cause_local(
        &self,
        by_backend: &BTreeMap<&BackendId, Vec<usize>>,
        runs: &[WatchedRun<'_>],
        node: NodeState,
    ) -> bool {
        let now = node.now;
        let (mut silent, mut active) = (0, 0);
        for (backend, of_backend) in by_backend {
            let latest = self
                .backends
                .get(*backend)
                .and_then(|activity| activity.last_received_at);
            let oldest_run = of_backend.iter().map(|&run| runs[run].started_at).min();
            let since = latest.max(oldest_run).unwrap_or(now);
            match now.saturating_sub(since) >= SILENT_AFTER_MS {
                true => silent += 1,
                false if latest.is_some_and(|at| now.saturating_sub(at) < SILENT_AFTER_MS) => {
                    active += 1
                }
                false => {}
            }
        }
        match node.contact_age_ms < SILENT_AFTER_MS {
            true => silent > MAX_SILENT_BACKENDS.max(active * MAX_SILENT_PER_ACTIVE),
            false => active < silent,
        }
    }

    fn check_run(&self, run: usize, watched: &WatchedRun<'_>, now: Millis) -> Option<Stall> {
        let quiet_since = self.quiet_since(watched);
        let quiet_ms = now
            .saturating_sub(quiet_since)
            .saturating_sub(self.check_delays.total_since(quiet_since));
        let activity = self.backends.get(watched.backend);
        let connect_failed_at = activity.and_then(|activity| activity.connect_failed_at);
        let is_unreachable = connect_failed_at.is_some_and(|at| at >= quiet_since);
        let (reason, silence_timeout_ms) = match watched.last_event_at {
            _ if is_unreachable => (StallReason::Unreachable, UNREACHABLE_TIMEOUT_MS),
            None => (StallReason::NeverBegun, FIRST_EVENT_TIMEOUT_MS),
            Some(_) => {
                let gaps = activity.map(|activity| activity.gaps).unwrap_or_default();
                (StallReason::Silent, gaps.silence_timeout_ms())
            }
        };
        (quiet_ms >= silence_timeout_ms).then_some(Stall {
            run,
            reason,
            quiet_ms,
        })
    }

    /// Limits the stalls to as many as the budget of the current window still allows, longest silence first.
    fn limit_to_budget(&mut self, mut stalls: Vec<Stall>, runs: usize, now: Millis) -> Vec<Stall> {
        if now.saturating_sub(self.budget_window_start) >= BUDGET_WINDOW_MS {
            self.budget_window_start = now;
            self.reported = 0;
        }
        let share = (runs as f64 * MAX_STALLED_SHARE) as usize;
        let left = share.max(MIN_STALL_BUDGET).saturating_sub(self.reported);
        stalls.sort_by_key(|stall| (std::cmp::Reverse(stall.quiet_ms), stall.run));
        stalls.truncate(left);
        self.reported += stalls.len();
        stalls
    }
}

impl CheckDelays {
    fn record(&mut self, last: Millis, now: Millis) {
        let before = self.checks.back().map_or(0, |(_, total_ms)| *total_ms);
        let delay_ms = now
            .saturating_sub(last)
            .saturating_sub(MAX_CHECK_INTERVAL_MS);
        self.checks.push_back((now, before + delay_ms));
        let keep_from = now.saturating_sub(CHECK_DELAY_HISTORY_MS);
        while self.checks.front().is_some_and(|(at, _)| *at < keep_from) {
            self.checks.pop_front();
        }
    }

    /// Total delay of the checks since `since`.
    fn total_since(&self, since: Millis) -> Millis {
        let until_now = self.checks.back().map_or(0, |(_, total_ms)| *total_ms);
        let checks_before = self.checks.partition_point(|(at, _)| *at <= since);
        let until_then = match checks_before.checked_sub(1) {
            Some(last) => self.checks[last].1,
            None => self.checks.front().map_or(0, |(_, total_ms)| *total_ms),
        };
        until_now - until_then
    }
}

impl GapStatistics {
    fn record(&mut self, gap_ms: f64) {
        let Some(mean_ms) = self.mean_ms else {
            self.mean_ms = Some(gap_ms);
            self.deviation_ms = gap_ms / 2.0;
            return;
        };
        let gap_deviation_ms = (gap_ms - mean_ms).abs();
        self.deviation_ms += DEVIATION_WEIGHT * (gap_deviation_ms - self.deviation_ms);
        self.mean_ms = Some(mean_ms + MEAN_WEIGHT * (gap_ms - mean_ms));
    }

    /// Silence after which a run that received an event counts as stalled; the maximum while no gap is known.
    fn silence_timeout_ms(&self) -> Millis {
        let Some(mean_ms) = self.mean_ms else {
            return MAX_SILENCE_TIMEOUT_MS as Millis;
        };
        let normal_gap_ms = mean_ms + GAP_DEVIATIONS * self.deviation_ms;
        (SILENCE_TIMEOUT_GAPS * normal_gap_ms).clamp(MIN_SILENCE_TIMEOUT_MS, MAX_SILENCE_TIMEOUT_MS)
            as Millis
    }
}

fn group_by_backend<'a>(runs: &[WatchedRun<'a>]) -> BTreeMap<&'a BackendId, Vec<usize>> {
    let mut by_backend: BTreeMap<&BackendId, Vec<usize>> = BTreeMap::new();
    for (at, run) in runs.iter().enumerate() {
        by_backend.entry(run.backend).or_default().push(at);
    }
    by_backend
}
