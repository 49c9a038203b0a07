//! When a run counts as stalled, so that its item goes on elsewhere from the output that is there.
//!
//! The load that this answers: a back end goes dark under its runs. Nothing comes any more, and no connection breaks.
//! Its silence is measured against the gaps that its events had before. It is explained otherwise, and waited for,
//! while weights are loaded there, while this node stood still, and while so many of the back ends that this node
//! uses are silent that it is this node's own link or processor: its items would be no better off elsewhere. How many
//! that are depends on whether the log answers this node: a node that it answers has a link. A false alarm costs a connection and a prompt that is read again, as output is resumed.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::Millis;
use crate::ids::BackendId;

/// Shortest silence of a back end for which runs in progress count as stalled: a batch step that takes some times
/// as long as usual, and a prompt that is read in between, are shorter.
const LEAST_PATIENCE_MS: f64 = 600.0;
/// Longest such silence.
const MOST_PATIENCE_MS: f64 = 2_000.0;
/// Gaps that a silence must be longer than; each of them the usual one and some deviations.
const PATIENCE_GAPS: f64 = 4.0;
/// Deviations from the usual gap that are usual too.
const USUAL_DEVIATIONS: f64 = 4.0;
/// Silence before the first event for which a run counts as stalled: longer than a send over a kept connection that
/// has fallen silent takes to begin over a new one.
const FIRST_EVENT_PATIENCE_MS: Millis = 900;
/// Silence that is enough where no new connection came up meanwhile.
const UNREACHABLE_PATIENCE_MS: Millis = 300;
/// Silence for which a back end counts as silent when this node's back ends are compared.
const SILENT_MS: Millis = 300;
/// Back ends that may be silent for a node that the log answers though none is heard from: the last items of a step
/// run on few.
const FEW_BACKENDS: usize = 3;
/// Silent ones for each that is heard from, for such a node: one in a zone that was cut off hears a third of all.
const MOST_SILENT_PER_HEARD: usize = 4;
/// Time between two looks above which this node stood still, and what came meanwhile may not be read yet.
const LATE_LOOK_MS: Millis = 400;
/// Time between two looks up to which this node kept up. What is longer does not count as silence of others: their
/// events wait to be read.
const USUAL_LOOK_MS: Millis = 150;
/// Time for which it is remembered how late looks were: longer than any patience.
const LATENESS_KEPT_MS: Millis = 4_000;
/// Share of the runs that may be handed over within a second: those of one zone of three.
const MOST_HANDED_OVER_SHARE: f64 = 1.0 / 3.0;
/// Runs that may be handed over within a second however few there are: those of one back end.
const LEAST_HANDED_OVER: usize = 8;
/// Length of the window in which these are counted.
const WINDOW_MS: Millis = 1_000;
/// Weight of the newest gap in its running mean, and in that of the deviation (RFC 6298).
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
/// See [`MEAN_WEIGHT`].
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;

/// A run that is under way.
#[derive(Debug, Clone, Copy)]
pub struct WatchedRun<'a> {
    /// Where.
    pub backend: &'a BackendId,
    /// When it began.
    pub started_at: Millis,
    /// When its last event came, or the head of its answer, if one has.
    pub last_event_at: Option<Millis>,
}

/// Why a run counts as stalled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StallReason {
    /// Nothing came from its back end for much longer than usual.
    Silent,
    /// Nothing came from its back end since it began.
    NeverBegun,
    /// Nothing came from its back end, and no new connection to it came up meanwhile.
    Unreachable,
}

impl StallReason {
    /// Name in logs.
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
    /// Which of the runs that were looked at.
    pub run: usize,
    /// Why.
    pub reason: StallReason,
    /// For how long nothing came.
    pub quiet_ms: Millis,
}

/// What this node knows of itself when it looks at its runs.
#[derive(Debug, Clone, Copy)]
pub struct NodeState {
    /// Now.
    pub now: Millis,
    /// Time since the log last answered this node.
    pub contact_age_ms: Millis,
}

/// What this node hears from back ends, and which of its runs there are stalled.
#[derive(Debug, Default)]
pub struct StallDetector {
    backends: HashMap<BackendId, Activity>,
    last_look: Option<Millis>,
    /// Silence before this says nothing of any back end.
    counted_from: Millis,
    lateness: Lateness,
    window_began: Millis,
    handed_over: usize,
}

/// How late this node's looks were.
#[derive(Debug, Default)]
struct Lateness {
    /// When it looked, and how late it was in all up to then.
    looks: VecDeque<(Millis, Millis)>,
}

/// What was heard from a back end.
#[derive(Debug, Default)]
struct Activity {
    heard: Option<Millis>,
    /// When a connection failed to come up, if nothing was heard since.
    unreachable: Option<Millis>,
    /// Silence before this says nothing.
    counted_from: Millis,
    gaps: GapSpread,
}

/// The usual gap between two events of a stream, and the usual deviation from it.
#[derive(Debug, Default, Clone, Copy)]
struct GapSpread {
    mean_ms: Option<f64>,
    deviation_ms: f64,
}

impl StallDetector {
    /// An event came from a back end, so long after the one before it of the same run.
    pub fn record_event(&mut self, backend: &BackendId, gap_ms: Option<Millis>, now: Millis) {
        let activity = self.activity(backend);
        activity.heard = Some(now);
        activity.unreachable = None;
        if let Some(gap_ms) = gap_ms {
            activity.gaps.saw(gap_ms as f64);
        }
    }

    /// A new connection to a back end did not come up.
    pub fn record_connect_failure(&mut self, backend: &BackendId, now: Millis) {
        self.activity(backend).unreachable = Some(now);
    }

    /// Forgets back ends that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(&BackendId) -> bool) {
        self.backends.retain(|backend, _| keep(backend));
    }

    /// The runs that are stalled, of all that this node has under way. `is_loading` says whether a back end is
    /// under an order to load weights. To be asked some times a second while runs are under way.
    pub fn find_stalls(
        &mut self,
        runs: &[WatchedRun<'_>],
        is_loading: impl Fn(&BackendId) -> bool,
        node: NodeState,
    ) -> Vec<Stall> {
        let now = node.now;
        let last_look = self.last_look.replace(now);
        self.lateness.looked(last_look.unwrap_or(now), now);
        if last_look.is_none_or(|last| now.saturating_sub(last) > LATE_LOOK_MS) {
            self.counted_from = now;
            return Vec::new();
        }
        let used = by_backend(runs);
        if self.is_this_node_silent(&used, runs, node) {
            self.counted_from = now;
            return Vec::new();
        }
        let mut stalls = Vec::new();
        for (backend, of_backend) in used {
            let quiet = of_backend
                .iter()
                .filter_map(|&run| self.judge(run, &runs[run], now));
            let quiet: Vec<Stall> = quiet.collect();
            if quiet.is_empty() {
                continue;
            }
            if is_loading(backend) {
                self.activity(backend).counted_from = now;
                continue;
            }
            stalls.extend(quiet);
        }
        self.within_budget(stalls, runs.len(), now)
    }

    fn activity(&mut self, backend: &BackendId) -> &mut Activity {
        self.backends.entry(backend.clone()).or_default()
    }

    /// Since when nothing has come that a run's back end could have sent.
    fn quiet_since(&self, run: &WatchedRun<'_>) -> Millis {
        let activity = self.backends.get(run.backend);
        let heard = activity.and_then(|activity| activity.heard).unwrap_or(0);
        let counted_from = activity.map_or(0, |activity| activity.counted_from);
        let of_run = run.last_event_at.unwrap_or(run.started_at);
        heard.max(of_run).max(counted_from).max(self.counted_from)
    }

    /// Whether silence is this node's own, by how many back ends are silent and how many are heard from.
    fn is_this_node_silent(
        &self,
        used: &BTreeMap<&BackendId, Vec<usize>>,
        runs: &[WatchedRun<'_>],
        node: NodeState,
    ) -> bool {
        let now = node.now;
        let (mut silent, mut heard) = (0, 0);
        for (backend, of_backend) in used {
            let latest = self.backends.get(*backend).and_then(|seen| seen.heard);
            let oldest_run = of_backend.iter().map(|&run| runs[run].started_at).min();
            let since = latest.max(oldest_run).unwrap_or(now);
            match now.saturating_sub(since) >= SILENT_MS {
                true => silent += 1,
                false if latest.is_some_and(|at| now.saturating_sub(at) < SILENT_MS) => heard += 1,
                false => {}
            }
        }
        match node.contact_age_ms < SILENT_MS {
            true => silent > FEW_BACKENDS.max(heard * MOST_SILENT_PER_HEARD),
            false => heard < silent,
        }
    }

    fn judge(&self, run: usize, watched: &WatchedRun<'_>, now: Millis) -> Option<Stall> {
        let quiet_since = self.quiet_since(watched);
        let quiet_ms = now
            .saturating_sub(quiet_since)
            .saturating_sub(self.lateness.since(quiet_since));
        let activity = self.backends.get(watched.backend);
        let unreachable = activity.and_then(|activity| activity.unreachable);
        let is_unreachable = unreachable.is_some_and(|at| at >= quiet_since);
        let (reason, patience_ms) = match watched.last_event_at {
            _ if is_unreachable => (StallReason::Unreachable, UNREACHABLE_PATIENCE_MS),
            None => (StallReason::NeverBegun, FIRST_EVENT_PATIENCE_MS),
            Some(_) => {
                let gaps = activity.map(|activity| activity.gaps).unwrap_or_default();
                (StallReason::Silent, gaps.patience_ms())
            }
        };
        (quiet_ms >= patience_ms).then_some(Stall {
            run,
            reason,
            quiet_ms,
        })
    }

    /// As many of the stalls, the longest first, as may be handed over now.
    fn within_budget(&mut self, mut stalls: Vec<Stall>, runs: usize, now: Millis) -> Vec<Stall> {
        if now.saturating_sub(self.window_began) >= WINDOW_MS {
            self.window_began = now;
            self.handed_over = 0;
        }
        let share = (runs as f64 * MOST_HANDED_OVER_SHARE) as usize;
        let left = share
            .max(LEAST_HANDED_OVER)
            .saturating_sub(self.handed_over);
        stalls.sort_by_key(|stall| (std::cmp::Reverse(stall.quiet_ms), stall.run));
        stalls.truncate(left);
        self.handed_over += stalls.len();
        stalls
    }
}

impl Lateness {
    fn looked(&mut self, last: Millis, now: Millis) {
        let before = self.looks.back().map_or(0, |(_, late_ms)| *late_ms);
        let late_ms = now.saturating_sub(last).saturating_sub(USUAL_LOOK_MS);
        self.looks.push_back((now, before + late_ms));
        let kept_from = now.saturating_sub(LATENESS_KEPT_MS);
        while self.looks.front().is_some_and(|(at, _)| *at < kept_from) {
            self.looks.pop_front();
        }
    }

    /// How late looks were since then, in all.
    fn since(&self, since: Millis) -> Millis {
        let until_now = self.looks.back().map_or(0, |(_, late_ms)| *late_ms);
        let looks_before = self.looks.partition_point(|(at, _)| *at <= since);
        let until_then = match looks_before.checked_sub(1) {
            Some(last) => self.looks[last].1,
            None => self.looks.front().map_or(0, |(_, late_ms)| *late_ms),
        };
        until_now - until_then
    }
}

impl GapSpread {
    fn saw(&mut self, gap_ms: f64) {
        let Some(mean_ms) = self.mean_ms else {
            self.mean_ms = Some(gap_ms);
            self.deviation_ms = gap_ms / 2.0;
            return;
        };
        let off_ms = (gap_ms - mean_ms).abs();
        self.deviation_ms += DEVIATION_WEIGHT * (off_ms - self.deviation_ms);
        self.mean_ms = Some(mean_ms + MEAN_WEIGHT * (gap_ms - mean_ms));
    }

    /// The longest patience where no gap is known yet.
    fn patience_ms(&self) -> Millis {
        let Some(mean_ms) = self.mean_ms else {
            return MOST_PATIENCE_MS as Millis;
        };
        let usual_ms = mean_ms + USUAL_DEVIATIONS * self.deviation_ms;
        (PATIENCE_GAPS * usual_ms).clamp(LEAST_PATIENCE_MS, MOST_PATIENCE_MS) as Millis
    }
}

fn by_backend<'a>(runs: &[WatchedRun<'a>]) -> BTreeMap<&'a BackendId, Vec<usize>> {
    let mut used: BTreeMap<&BackendId, Vec<usize>> = BTreeMap::new();
    for (at, run) in runs.iter().enumerate() {
        used.entry(run.backend).or_default().push(at);
    }
    used
}
