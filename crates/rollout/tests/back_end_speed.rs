//! Tests the estimate of a back end's typical gap between two events under short disturbances.

use havenstage_rollout::Millis;
use havenstage_rollout::back_end_speed::{
    BackEndSpeed, EqualGaps, GapEstimate, StreamGaps, expected_gap_ms,
};

/// Gap between two events of an idle engine of the usual kind.
const USUAL_GAP_MS: f64 = 46.4;
/// Gaps of faster and of slower engines, relative to the usual one.
const QUICK: f64 = 0.7;
const SLOW: f64 = 1.7;
/// A busy neighbour slows an engine down by this factor, for this time, at this mean interval: some 0.15 of the time.
const DISTURBANCE_FACTOR: f64 = 2.5;
const DISTURBANCE_MS: Millis = 600;
const DISTURBANCE_INTERVAL_MS: f64 = 4_000.0;
/// Pause of all streams while an engine loads weights.
const LOAD_MS: f64 = 900.0;
/// Number of streams of the node at one engine.
const STREAMS: usize = 4;

fn single_gap(gap_ms: f64) -> EqualGaps {
    EqualGaps { gap_ms, count: 1 }
}

/// A slow exponential average of the gaps, for comparison with the median of window medians.
struct SlowAverage {
    typical_gap_ms: Option<f64>,
}

impl SlowAverage {
    fn record_gap(&mut self, gap_ms: f64) {
        let mean_ms = self.typical_gap_ms.unwrap_or(gap_ms);
        self.typical_gap_ms = Some(mean_ms + 0.005 * (gap_ms - mean_ms));
    }
}

struct Replay {
    speed: BackEndSpeed,
    slow_average: SlowAverage,
    now: Millis,
    disturbed_until: Millis,
    random_state: u64,
}

impl Replay {
    fn start(seed: u64) -> Self {
        Self {
            speed: BackEndSpeed::default(),
            slow_average: SlowAverage {
                typical_gap_ms: None,
            },
            now: 1_000,
            disturbed_until: 0,
            random_state: seed,
        }
    }

    /// Draws a number from 0 to 1 with a linear congruential generator.
    fn draw(&mut self) -> f64 {
        let next = self.random_state.wrapping_mul(6_364_136_223_846_793_005);
        self.random_state = next.wrapping_add(1_442_695_040_888_963_407);
        (self.random_state >> 33) as f64 / (1_u64 << 31) as f64
    }

    /// Simulates streams for `time_ms` at an engine whose gaps are `factor` times the usual ones, with disturbances,
    /// prompts of other requests, and a load of weights each 10 s.
    fn stream(&mut self, time_ms: Millis, factor: f64) {
        let until = self.now + time_ms;
        while self.now < until {
            let disturbance = if self.now < self.disturbed_until {
                DISTURBANCE_FACTOR
            } else {
                1.0
            };
            let prompt_ms = if self.draw() < 0.1 { 5.0 } else { 0.0 };
            let load_ms = if self.draw() < 0.005 { LOAD_MS } else { 0.0 };
            let noise = 0.9 + 0.2 * self.draw();
            let gap_ms = USUAL_GAP_MS * factor * disturbance * noise + prompt_ms + load_ms;
            self.now += gap_ms as Millis;
            for _ in 0..STREAMS {
                self.speed.record_gaps(single_gap(gap_ms), self.now);
                self.slow_average.record_gap(gap_ms);
            }
            if self.draw() < gap_ms / DISTURBANCE_INTERVAL_MS {
                self.disturbed_until = self.now + DISTURBANCE_MS;
            }
        }
    }

    fn typical_gap_ms(&self) -> f64 {
        self.speed.typical_gap_ms(self.now).unwrap()
    }
}

/// Items are moved if they gain a fifth. Estimates that are off by more lead to moves that do not pay; fewer than one
/// in fifty may be.
#[test]
fn the_estimate_is_within_a_fifth_despite_disturbances_prompts_and_loads() {
    let (mut samples, mut far_off, mut far_off_averages) = (0, 0, 0);
    for (seed, factor) in (0..30).flat_map(|seed| [(seed, QUICK), (seed, 1.0), (seed, SLOW)]) {
        let mut replay = Replay::start(seed);
        replay.stream(10_000, factor);
        for _ in 0..50 {
            replay.stream(1_000, factor);
            let off = |gap_ms: f64| (gap_ms / (USUAL_GAP_MS * factor) - 1.0).abs();
            samples += 1;
            far_off += usize::from(off(replay.typical_gap_ms()) > 0.2);
            let average_ms = replay.slow_average.typical_gap_ms.unwrap();
            far_off_averages += usize::from(off(average_ms) > 0.2);
        }
    }
    println!("off by a fifth: {far_off} of {samples}; slow average: {far_off_averages}");
    assert!(far_off * 50 < samples, "{far_off} of {samples}");
}

#[test]
fn a_permanent_change_is_detected_within_two_seconds() {
    for (from, to) in [(1.0, SLOW), (SLOW, 1.0), (QUICK, SLOW), (SLOW, QUICK)] {
        let mut replay = Replay::start(7);
        replay.stream(30_000, from);
        replay.stream(2_000, to);
        let ratio = replay.typical_gap_ms() / (USUAL_GAP_MS * to);
        assert!((0.8..1.25).contains(&ratio), "{from} to {to}: {ratio}");
    }
}

#[test]
fn a_single_disturbance_does_not_change_the_estimate() {
    let mut speed = BackEndSpeed::default();
    for at in 0..200 {
        speed.record_gaps(single_gap(40.0), 40 * at);
    }
    for at in 0..6 {
        speed.record_gaps(single_gap(100.0), 8_000 + 100 * at);
    }
    assert_eq!(speed.typical_gap_ms(8_600), Some(40.0));
}

#[test]
fn a_pause_for_a_prompt_does_not_make_a_back_end_look_slow() {
    let mut speed = BackEndSpeed::default();
    let mut now = 0;
    for at in 0..200 {
        let gap_ms = if at % 40 == 0 { 400 } else { 40 };
        now += gap_ms;
        speed.record_gaps(single_gap(gap_ms as f64), now);
    }
    assert_eq!(speed.typical_gap_ms(now), Some(40.0));
}

/// Guards against moving all items to one engine: a node that was paused for 1.5 s took the events that it then read at
/// once for those of an engine without any gap.
#[test]
fn events_that_are_read_together_share_the_time_since_the_previous_event() {
    let mut stream = StreamGaps::default();
    assert_eq!(stream.record_event(50.0), None);
    assert_eq!(stream.record_event(1_500.0), Some(single_gap(50.0)));
    for _ in 0..29 {
        assert_eq!(stream.record_event(0.0), None);
    }
    let equal_gaps = EqualGaps {
        gap_ms: 50.0,
        count: 30,
    };
    assert_eq!(stream.record_event(50.0), Some(equal_gaps));
}

/// The same on a machine so busy that the events that arrived meanwhile are read in several parts.
#[test]
fn events_read_late_in_parts_do_not_make_a_back_end_look_fast() {
    let mut speed = BackEndSpeed::default();
    for at in 1..=100 {
        speed.record_gaps(single_gap(50.0), 50 * at);
    }
    for at in 0..60 {
        speed.record_gaps(single_gap(4.0), 6_500 + 4 * at);
    }
    for at in 1..=30 {
        speed.record_gaps(single_gap(50.0), 6_740 + 50 * at);
        assert_eq!(speed.typical_gap_ms(6_740 + 50 * at), Some(50.0));
    }
}

/// A load of weights falls into the first windows and must not determine the estimate.
#[test]
fn too_few_windows_give_no_estimate() {
    let mut speed = BackEndSpeed::default();
    for at in 0..11 {
        speed.record_gaps(single_gap(50.0), 1_000 + 50 * at);
    }
    assert_eq!(speed.typical_gap_ms(1_500), None);
    speed.record_gaps(single_gap(1_200.0), 2_700);
    for at in 1..24 {
        speed.record_gaps(single_gap(50.0), 2_700 + 50 * at);
    }
    assert_eq!(speed.typical_gap_ms(3_850), Some(50.0));
}

#[test]
fn an_estimate_expires() {
    let mut speed = BackEndSpeed::default();
    for at in 0..100 {
        speed.record_gaps(single_gap(120.0), 120 * at);
    }
    assert_eq!(speed.typical_gap_ms(250_000), Some(120.0));
    assert_eq!(speed.typical_gap_ms(320_000), None);
}

/// A node without recent events of an engine uses the gap that other nodes report.
#[test]
fn reported_gaps_apply_if_the_own_estimate_is_not_fresh() {
    let own = |age_ms| {
        Some(GapEstimate {
            gap_ms: 40.0,
            age_ms,
        })
    };
    assert_eq!(expected_gap_ms(own(1_000), Some(80.0), 46.0), 40.0);
    assert_eq!(expected_gap_ms(own(10_000), Some(80.0), 46.0), 80.0);
    assert_eq!(expected_gap_ms(None, Some(80.0), 46.0), 80.0);
    assert_eq!(expected_gap_ms(own(10_000), None, 46.0), 40.0);
    assert_eq!(expected_gap_ms(None, None, 46.0), 46.0);
}
