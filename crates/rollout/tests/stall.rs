//! Detection of stalled runs: back ends that stop responding, and other causes of silence that must not count.

use havenstage_rollout::Millis;
use havenstage_rollout::ids::BackendId;
use havenstage_rollout::stall::{NodeState, Stall, StallDetector, StallReason, WatchedRun};

/// Time between two checks of the detector.
const CHECK_INTERVAL_MS: Millis = 100;
/// Gap between two events of an engine that is not busy.
const GAP_MS: Millis = 46;
/// Duration of a load of weights.
const LOAD_MS: Millis = 900;
/// Engines that run the node's items.
const ENGINES: usize = 6;
const RUNS_PER_ENGINE: usize = 3;

/// Engines that stream to one node, and the stalls that its detector reports.
struct Fleet {
    detector: StallDetector,
    engines: Vec<BackendId>,
    last_events: Vec<Option<Millis>>,
    started_at: Millis,
    now: Millis,
    contact_age_ms: Millis,
    /// Time, engine and reason of each reported stall.
    stalls: Vec<(Millis, usize, StallReason)>,
}

impl Fleet {
    fn new() -> Self {
        Self::with_engines(ENGINES)
    }

    fn with_engines(engines: usize) -> Self {
        Self {
            detector: StallDetector::default(),
            engines: (0..engines)
                .map(|at| BackendId::from(format!("engine-{at}").as_str()))
                .collect(),
            last_events: vec![None; engines],
            started_at: 1_000,
            now: 1_000,
            contact_age_ms: 20,
            stalls: Vec::new(),
        }
    }

    /// Advances time. `gap` returns the event gap of an engine at a time, or `None` if the engine sends nothing.
    fn advance(
        &mut self,
        time_ms: Millis,
        gap: impl Fn(usize, Millis) -> Option<Millis>,
        loading: &[usize],
    ) {
        let until = self.now + time_ms;
        while self.now < until {
            self.now += 1;
            for at in 0..self.engines.len() {
                self.emit_event_if_due(at, gap(at, self.now));
            }
            if self.now.is_multiple_of(CHECK_INTERVAL_MS) {
                self.check(loading);
            }
        }
    }

    fn emit_event_if_due(&mut self, at: usize, gap_ms: Option<Millis>) {
        let last = self.last_events[at];
        let since = last.unwrap_or(self.started_at);
        if gap_ms.is_none_or(|gap_ms| self.now < since + gap_ms) {
            return;
        }
        let gap_ms = last.map(|last| self.now - last);
        for _ in 0..RUNS_PER_ENGINE {
            self.detector
                .record_event(&self.engines[at], gap_ms, self.now);
        }
        self.last_events[at] = Some(self.now);
    }

    fn check(&mut self, loading: &[usize]) -> Vec<Stall> {
        let mut at_engine = Vec::new();
        let mut runs = Vec::new();
        for (at, backend) in self.engines.iter().enumerate() {
            for _ in 0..RUNS_PER_ENGINE {
                at_engine.push(at);
                runs.push(WatchedRun {
                    backend,
                    started_at: self.started_at,
                    last_event_at: self.last_events[at],
                });
            }
        }
        let is_loading = |id: &BackendId| loading.iter().any(|at| self.engines[*at] == *id);
        let node = NodeState {
            now: self.now,
            contact_age_ms: self.contact_age_ms,
        };
        let stalls = self.detector.find_stalls(&runs, is_loading, node);
        for stall in &stalls {
            let reported = (self.now, at_engine[stall.run], stall.reason);
            self.stalls.push(reported);
        }
        stalls
    }
}

fn steady(_: usize, _: Millis) -> Option<Millis> {
    Some(GAP_MS)
}

/// A training step lasts as long as its longest item and has some 0.2 s to spare. Detection after 2.0 s is too late.
#[test]
fn runs_of_an_engine_that_stops_responding_are_reported_within_800_ms() {
    let mut fleet = Fleet::new();
    fleet.advance(2_000, steady, &[]);
    let silent_since = fleet.now;
    fleet.advance(800, |at, _| (at != 0).then_some(GAP_MS), &[]);
    let (when, engine, reason) = fleet.stalls[0];
    assert_eq!((engine, reason), (0, StallReason::Silent));
    assert!(
        when <= silent_since + 800,
        "after {} ms",
        when - silent_since
    );
    assert!(fleet.stalls.iter().all(|(_, engine, _)| *engine == 0));
    assert!(fleet.stalls.len() >= RUNS_PER_ENGINE);
}

/// If new connections fail too, there is no reason to wait longer.
#[test]
fn runs_of_an_engine_to_which_connections_fail_are_reported_sooner() {
    let mut fleet = Fleet::new();
    fleet.advance(2_000, steady, &[]);
    let silent_since = fleet.now;
    fleet.advance(200, |at, _| (at != 0).then_some(GAP_MS), &[]);
    let silent_engine = fleet.engines[0].clone();
    fleet
        .detector
        .record_connect_failure(&silent_engine, fleet.now);
    fleet.advance(300, |at, _| (at != 0).then_some(GAP_MS), &[]);
    let (when, engine, reason) = fleet.stalls[0];
    assert_eq!((engine, reason), (0, StallReason::Unreachable));
    assert!(
        when <= silent_since + 500,
        "after {} ms",
        when - silent_since
    );
}

/// A connection that failed earlier says nothing about a run that started since.
#[test]
fn an_old_connection_failure_is_ignored() {
    let mut fleet = Fleet::new();
    let first = fleet.engines[0].clone();
    fleet.detector.record_connect_failure(&first, fleet.now - 1);
    fleet.advance(700, |at, _| (at != 0).then_some(GAP_MS), &[]);
    assert_eq!(fleet.stalls, []);
}

#[test]
fn runs_without_a_first_event_are_reported() {
    let mut fleet = Fleet::new();
    fleet.advance(800, |at, _| (at != 0).then_some(GAP_MS), &[]);
    assert_eq!(fleet.stalls, []);
    fleet.advance(300, |at, _| (at != 0).then_some(GAP_MS), &[]);
    assert!(!fleet.stalls.is_empty());
    let is_first = |(_, engine, reason): &(Millis, usize, StallReason)| {
        (*engine, *reason) == (0, StallReason::NeverBegun)
    };
    assert!(fleet.stalls.iter().all(is_first), "{:?}", fleet.stalls);
}

#[test]
fn silence_during_a_load_of_weights_is_no_stall() {
    let mut fleet = Fleet::new();
    fleet.advance(2_000, steady, &[]);
    fleet.advance(LOAD_MS, |at, _| (at > 1).then_some(GAP_MS), &[0, 1]);
    // The end of the load is known before the next event arrives.
    fleet.advance(2_000, steady, &[]);
    assert_eq!(fleet.stalls, []);
}

/// Another process on the same machine makes decode steps 2.5 times as long for 0.6 s, and other prompts are prefilled.
#[test]
fn slow_periods_and_prefills_are_no_stalls() {
    let mut fleet = Fleet::new();
    let gap = |at: usize, now: Millis| {
        let is_slow = (now + 700 * at as Millis) % 4_000 < 600;
        let is_prefilling = (now + 300 * at as Millis) % 1_700 < 60;
        match (is_slow, is_prefilling) {
            (_, true) => None,
            (true, false) => Some(GAP_MS * 5 / 2 * 17 / 10),
            (false, false) => Some(GAP_MS * 17 / 10),
        }
    };
    fleet.advance(60_000, gap, &[]);
    assert_eq!(fleet.stalls, []);
}

/// Silence of all back ends is caused by this node's own link or processor, and moving every item does not help.
#[test]
fn nothing_is_reported_while_all_back_ends_are_silent() {
    let mut fleet = Fleet::new();
    fleet.advance(2_000, steady, &[]);
    fleet.advance(3_000, |_, _| None, &[]);
    assert_eq!(fleet.stalls, []);
}

/// A node that is cut off from the log and most back ends loses its batches, and other nodes run them.
#[test]
fn nothing_is_reported_without_log_contact_while_most_back_ends_are_silent() {
    let mut fleet = Fleet::new();
    fleet.advance(2_000, steady, &[]);
    fleet.contact_age_ms = 2_000;
    fleet.advance(3_000, |at, _| (at >= 4).then_some(GAP_MS), &[]);
    assert_eq!(fleet.stalls, []);
    fleet.advance(3_000, |at, _| (at >= 2).then_some(GAP_MS), &[]);
    assert!(fleet.stalls.iter().all(|(_, engine, _)| *engine < 2));
    assert!(!fleet.stalls.is_empty());
}

/// A node in contact with the log took over the batches of a zone that was cut off, and most of its items still run
/// in that zone.
#[test]
fn stalls_are_reported_with_log_contact_although_most_back_ends_are_silent() {
    let mut fleet = Fleet::new();
    fleet.advance(2_000, steady, &[]);
    fleet.advance(800, |at, _| (at >= 4).then_some(GAP_MS), &[]);
    assert!(fleet.stalls.iter().all(|(_, engine, _)| *engine < 4));
    assert!(!fleet.stalls.is_empty());
}

/// The last items of a training step run on one engine, which stops responding.
#[test]
fn stalls_of_the_last_items_of_a_step_are_reported() {
    let mut fleet = Fleet::with_engines(1);
    fleet.advance(2_000, steady, &[]);
    fleet.advance(800, |_, _| None, &[]);
    assert!(!fleet.stalls.is_empty());
}

/// The node was suspended. After it resumes, it reads the events that arrived meanwhile one engine after another.
#[test]
fn silence_before_a_suspended_node_resumes_does_not_count() {
    let mut fleet = Fleet::new();
    fleet.advance(2_000, steady, &[]);
    fleet.now += 5_000;
    let resumed_at = fleet.now;
    let gap =
        move |at: usize, now: Millis| (now >= resumed_at + 80 * at as Millis).then_some(GAP_MS);
    fleet.advance(2_000, gap, &[]);
    assert_eq!(fleet.stalls, []);
}

/// 8 of 18 engines stop responding, with 24 of 54 runs. At most a third of all runs is reported in each second.
#[test]
fn a_budget_bounds_the_stalls_reported_in_a_second() {
    let mut fleet = Fleet::with_engines(18);
    fleet.advance(2_000, steady, &[]);
    fleet.advance(700, |at, _| (at >= 8).then_some(GAP_MS), &[]);
    assert_eq!(fleet.stalls.len(), 18);
}

/// A node whose processor is busy checks late, and reads events late.
#[test]
fn delays_of_this_nodes_own_checks_do_not_count_as_silence() {
    const LATE_CHECK_INTERVAL_MS: Millis = 350;
    let engine = BackendId::from("engine");
    let mut detector = StallDetector::default();
    let mut stalls_at = |silent_ms: Millis| {
        let run = WatchedRun {
            backend: &engine,
            started_at: 1_000,
            last_event_at: Some(5_000),
        };
        let node = NodeState {
            now: 5_000 + silent_ms,
            contact_age_ms: 20,
        };
        detector.find_stalls(&[run], |_| false, node)
    };
    for check in 0..8 {
        assert_eq!(
            stalls_at(check * LATE_CHECK_INTERVAL_MS),
            [],
            "{check} checks"
        );
    }
    // The silence exceeds the delays of the checks by more than any silence timeout.
    let stalls = (8..20).flat_map(|check| stalls_at(check * LATE_CHECK_INTERVAL_MS));
    assert!(stalls.count() > 0);
}
