//! When runs count as stalled: engines that go dark, and all that only looks so.

use havenstage_rollout::Millis;
use havenstage_rollout::ids::BackendId;
use havenstage_rollout::stall::{NodeState, Stall, StallDetector, StallReason, WatchedRun};

/// Time between two looks, as the engine takes them.
const LOOK_MS: Millis = 100;
/// Usual gap between two events of an idle engine.
const GAP_MS: Millis = 46;
/// Time that a load of weights takes.
const LOAD_MS: Millis = 900;
/// Engines of a node's items.
const ENGINES: usize = 6;
const RUNS_PER_ENGINE: usize = 3;

/// Engines that stream to one node, and what its detector says.
struct Fleet {
    detector: StallDetector,
    engines: Vec<BackendId>,
    last_events: Vec<Option<Millis>>,
    began: Millis,
    now: Millis,
    contact_age_ms: Millis,
    ended: Vec<(Millis, usize, StallReason)>,
}

impl Fleet {
    fn start() -> Self {
        Self::start_with(ENGINES)
    }

    fn start_with(engines: usize) -> Self {
        Self {
            detector: StallDetector::default(),
            engines: (0..engines)
                .map(|at| BackendId::from(format!("engine-{at}").as_str()))
                .collect(),
            last_events: vec![None; engines],
            began: 1_000,
            now: 1_000,
            contact_age_ms: 20,
            ended: Vec::new(),
        }
    }

    /// Time passes: `gap` says how long engines take for an event at a moment, `None` for none.
    fn pass(
        &mut self,
        time_ms: Millis,
        gap: impl Fn(usize, Millis) -> Option<Millis>,
        loading: &[usize],
    ) {
        let until = self.now + time_ms;
        while self.now < until {
            self.now += 1;
            for at in 0..self.engines.len() {
                self.let_stream(at, gap(at, self.now));
            }
            if self.now.is_multiple_of(LOOK_MS) {
                self.look(loading);
            }
        }
    }

    fn let_stream(&mut self, at: usize, gap_ms: Option<Millis>) {
        let last = self.last_events[at];
        let since = last.unwrap_or(self.began);
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

    fn look(&mut self, loading: &[usize]) -> Vec<Stall> {
        let mut at_engine = Vec::new();
        let mut runs = Vec::new();
        for (at, backend) in self.engines.iter().enumerate() {
            for _ in 0..RUNS_PER_ENGINE {
                at_engine.push(at);
                runs.push(WatchedRun {
                    backend,
                    started_at: self.began,
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
            let told = (self.now, at_engine[stall.run], stall.reason);
            self.ended.push(told);
        }
        stalls
    }
}

fn steady(_: usize, _: Millis) -> Option<Millis> {
    Some(GAP_MS)
}

/// Found after 2.0 s before; a step that lasts as long as its longest item has some 0.2 s to spare.
#[test]
fn runs_of_an_engine_that_goes_dark_are_handed_over_within_800_ms() {
    let mut fleet = Fleet::start();
    fleet.pass(2_000, steady, &[]);
    let dark_since = fleet.now;
    fleet.pass(800, |at, _| (at != 0).then_some(GAP_MS), &[]);
    let (when, engine, reason) = fleet.ended[0];
    assert_eq!((engine, reason), (0, StallReason::Silent));
    assert!(when <= dark_since + 800, "after {} ms", when - dark_since);
    assert!(fleet.ended.iter().all(|(_, engine, _)| *engine == 0));
    assert!(fleet.ended.len() >= RUNS_PER_ENGINE);
}

/// Where new connections do not come up either, nothing is to be waited for.
#[test]
fn runs_of_an_engine_to_which_no_connection_comes_up_are_handed_over_sooner() {
    let mut fleet = Fleet::start();
    fleet.pass(2_000, steady, &[]);
    let dark_since = fleet.now;
    fleet.pass(200, |at, _| (at != 0).then_some(GAP_MS), &[]);
    let dark = fleet.engines[0].clone();
    fleet.detector.record_connect_failure(&dark, fleet.now);
    fleet.pass(300, |at, _| (at != 0).then_some(GAP_MS), &[]);
    let (when, engine, reason) = fleet.ended[0];
    assert_eq!((engine, reason), (0, StallReason::Unreachable));
    assert!(when <= dark_since + 500, "after {} ms", when - dark_since);
}

/// A connection that did not come up long ago says nothing of a run that began since.
#[test]
fn an_old_failure_to_connect_says_nothing() {
    let mut fleet = Fleet::start();
    let first = fleet.engines[0].clone();
    fleet.detector.record_connect_failure(&first, fleet.now - 1);
    fleet.pass(700, |at, _| (at != 0).then_some(GAP_MS), &[]);
    assert_eq!(fleet.ended, []);
}

#[test]
fn runs_that_never_begin_are_handed_over() {
    let mut fleet = Fleet::start();
    fleet.pass(800, |at, _| (at != 0).then_some(GAP_MS), &[]);
    assert_eq!(fleet.ended, []);
    fleet.pass(300, |at, _| (at != 0).then_some(GAP_MS), &[]);
    assert!(!fleet.ended.is_empty());
    let is_first = |(_, engine, reason): &(Millis, usize, StallReason)| {
        (*engine, *reason) == (0, StallReason::NeverBegun)
    };
    assert!(fleet.ended.iter().all(is_first), "{:?}", fleet.ended);
}

#[test]
fn a_load_of_weights_is_waited_for() {
    let mut fleet = Fleet::start();
    fleet.pass(2_000, steady, &[]);
    fleet.pass(LOAD_MS, |at, _| (at > 1).then_some(GAP_MS), &[0, 1]);
    // The word that the load ended comes before the next event.
    fleet.pass(2_000, steady, &[]);
    assert_eq!(fleet.ended, []);
}

/// A neighbour on the same machine makes steps 2.5 times as long for 0.6 s, and somebody's prompts are read.
#[test]
fn slow_spells_and_prompts_are_no_stalls() {
    let mut fleet = Fleet::start();
    let gap = |at: usize, now: Millis| {
        let in_spell = (now + 700 * at as Millis) % 4_000 < 600;
        let reads_prompts = (now + 300 * at as Millis) % 1_700 < 60;
        match (in_spell, reads_prompts) {
            (_, true) => None,
            (true, false) => Some(GAP_MS * 5 / 2 * 17 / 10),
            (false, false) => Some(GAP_MS * 17 / 10),
        }
    };
    fleet.pass(60_000, gap, &[]);
    assert_eq!(fleet.ended, []);
}

/// Moving everything at once helps nobody: it is this node's own link or processor.
#[test]
fn nothing_is_handed_over_while_all_back_ends_are_silent() {
    let mut fleet = Fleet::start();
    fleet.pass(2_000, steady, &[]);
    fleet.pass(3_000, |_, _| None, &[]);
    assert_eq!(fleet.ended, []);
}

/// A node that is cut off from the log and most back ends loses its batches, which are run by others.
#[test]
fn nothing_is_handed_over_by_a_node_without_contact_while_most_back_ends_are_silent() {
    let mut fleet = Fleet::start();
    fleet.pass(2_000, steady, &[]);
    fleet.contact_age_ms = 2_000;
    fleet.pass(3_000, |at, _| (at >= 4).then_some(GAP_MS), &[]);
    assert_eq!(fleet.ended, []);
    fleet.pass(3_000, |at, _| (at >= 2).then_some(GAP_MS), &[]);
    assert!(fleet.ended.iter().all(|(_, engine, _)| *engine < 2));
    assert!(!fleet.ended.is_empty());
}

/// A node that the log answers took over the batches of a zone that was cut off, and sent most items there.
#[test]
fn a_node_with_contact_hands_over_though_most_of_its_back_ends_are_silent() {
    let mut fleet = Fleet::start();
    fleet.pass(2_000, steady, &[]);
    fleet.pass(800, |at, _| (at >= 4).then_some(GAP_MS), &[]);
    assert!(fleet.ended.iter().all(|(_, engine, _)| *engine < 4));
    assert!(!fleet.ended.is_empty());
}

/// The last items of a step run on one engine, and it goes dark.
#[test]
fn the_last_items_of_a_step_are_handed_over_too() {
    let mut fleet = Fleet::start_with(1);
    fleet.pass(2_000, steady, &[]);
    fleet.pass(800, |_, _| None, &[]);
    assert!(!fleet.ended.is_empty());
}

/// The node was frozen. What came meanwhile is read bit by bit after it wakes.
#[test]
fn a_node_that_stood_still_counts_anew() {
    let mut fleet = Fleet::start();
    fleet.pass(2_000, steady, &[]);
    fleet.now += 5_000;
    let woke = fleet.now;
    let gap = move |at: usize, now: Millis| (now >= woke + 80 * at as Millis).then_some(GAP_MS);
    fleet.pass(2_000, gap, &[]);
    assert_eq!(fleet.ended, []);
}

/// Of 18 engines 8 go dark: 24 of 54 runs, of which a third is handed over in each second.
#[test]
fn a_budget_bounds_what_is_handed_over_at_a_moment() {
    let mut fleet = Fleet::start_with(18);
    fleet.pass(2_000, steady, &[]);
    fleet.pass(700, |at, _| (at >= 8).then_some(GAP_MS), &[]);
    assert_eq!(fleet.ended.len(), 18);
}

/// A node whose processor is busy with other things looks late, and reads late what came.
#[test]
fn time_in_which_this_node_was_late_does_not_count_as_silence() {
    const LATE_LOOK_MS: Millis = 350;
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
    for look in 0..8 {
        assert_eq!(stalls_at(look * LATE_LOOK_MS), [], "{look} looks");
    }
    // Silent for longer than the looks were late and than any patience.
    let stalls = (8..20).flat_map(|look| stalls_at(look * LATE_LOOK_MS));
    assert!(stalls.count() > 0);
}
