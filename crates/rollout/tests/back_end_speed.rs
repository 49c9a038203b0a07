//! How long a back end takes for an event: what lasts, under all that disturbs it for moments.

use havenstage_rollout::Millis;
use havenstage_rollout::back_end_speed::{
    BackEndSpeed, EqualGaps, GapEstimate, StreamGaps, expected_gap_ms,
};

/// Gap between two events of an idle engine of the usual kind.
const USUAL_GAP_MS: f64 = 46.4;
/// Gaps of the quicker and of the slower engines, by the usual one.
const QUICK: f64 = 0.7;
const SLOW: f64 = 1.7;
/// A neighbour makes an engine slow by so much, for so long, so often: for some 0.15 of the time.
const SPELL_FACTOR: f64 = 2.5;
const SPELL_MS: Millis = 600;
const SPELL_EVERY_MS: f64 = 4_000.0;
/// A load of weights.
const LOAD_MS: f64 = 900.0;
/// Streams of a node at one engine.
const STREAMS: usize = 4;

fn one(gap_ms: f64) -> EqualGaps {
    EqualGaps { gap_ms, count: 1 }
}

/// Two exponential averages, the slow of which is what lasts: the other way that was weighed.
struct TwoAverages {
    typical_gap_ms: Option<f64>,
}

impl TwoAverages {
    fn record_gap(&mut self, gap_ms: f64) {
        let mean_ms = self.typical_gap_ms.unwrap_or(gap_ms);
        self.typical_gap_ms = Some(mean_ms + 0.005 * (gap_ms - mean_ms));
    }
}

struct Replay {
    speed: BackEndSpeed,
    averages: TwoAverages,
    now: Millis,
    spell_ends: Millis,
    draws: u64,
}

impl Replay {
    fn start(seed: u64) -> Self {
        Self {
            speed: BackEndSpeed::default(),
            averages: TwoAverages {
                typical_gap_ms: None,
            },
            now: 1_000,
            spell_ends: 0,
            draws: seed,
        }
    }

    /// A share in 0 to 1, from a linear congruential generator.
    fn draw(&mut self) -> f64 {
        let next = self.draws.wrapping_mul(6_364_136_223_846_793_005);
        self.draws = next.wrapping_add(1_442_695_040_888_963_407);
        (self.draws >> 33) as f64 / (1_u64 << 31) as f64
    }

    /// Streams for a time at an engine of a factor, with spells, others' prompts, and a load each 10 s.
    fn stream(&mut self, time_ms: Millis, factor: f64) {
        let until = self.now + time_ms;
        while self.now < until {
            let spell = if self.now < self.spell_ends {
                SPELL_FACTOR
            } else {
                1.0
            };
            let prompt_ms = if self.draw() < 0.1 { 5.0 } else { 0.0 };
            let load_ms = if self.draw() < 0.005 { LOAD_MS } else { 0.0 };
            let noise = 0.9 + 0.2 * self.draw();
            let gap_ms = USUAL_GAP_MS * factor * spell * noise + prompt_ms + load_ms;
            self.now += gap_ms as Millis;
            for _ in 0..STREAMS {
                self.speed.record_gaps(one(gap_ms), self.now);
                self.averages.record_gap(gap_ms);
            }
            if self.draw() < gap_ms / SPELL_EVERY_MS {
                self.spell_ends = self.now + SPELL_MS;
            }
        }
    }

    fn typical_gap_ms(&self) -> f64 {
        self.speed.typical_gap_ms(self.now).unwrap()
    }
}

/// A move must pay by a fifth: what is off by more leads to moves that do not, which may be one of fifty.
#[test]
fn what_lasts_is_told_within_a_fifth_through_spells_prompts_and_loads() {
    let (mut looks, mut far_off, mut far_off_of_averages) = (0, 0, 0);
    for (seed, factor) in (0..30).flat_map(|seed| [(seed, QUICK), (seed, 1.0), (seed, SLOW)]) {
        let mut replay = Replay::start(seed);
        replay.stream(10_000, factor);
        for _ in 0..50 {
            replay.stream(1_000, factor);
            let off = |gap_ms: f64| (gap_ms / (USUAL_GAP_MS * factor) - 1.0).abs();
            looks += 1;
            far_off += usize::from(off(replay.typical_gap_ms()) > 0.2);
            let average_ms = replay.averages.typical_gap_ms.unwrap();
            far_off_of_averages += usize::from(off(average_ms) > 0.2);
        }
    }
    println!("off by a fifth: {far_off} of {looks}; two averages: {far_off_of_averages}");
    assert!(far_off * 50 < looks, "{far_off} of {looks}");
}

#[test]
fn a_change_for_good_is_followed_within_two_seconds() {
    for (from, to) in [(1.0, SLOW), (SLOW, 1.0), (QUICK, SLOW), (SLOW, QUICK)] {
        let mut replay = Replay::start(7);
        replay.stream(30_000, from);
        replay.stream(2_000, to);
        let ratio = replay.typical_gap_ms() / (USUAL_GAP_MS * to);
        assert!((0.8..1.25).contains(&ratio), "{from} to {to}: {ratio}");
    }
}

#[test]
fn one_spell_does_not_change_what_lasts() {
    let mut speed = BackEndSpeed::default();
    for at in 0..200 {
        speed.record_gaps(one(40.0), 40 * at);
    }
    for at in 0..6 {
        speed.record_gaps(one(100.0), 8_000 + 100 * at);
    }
    assert_eq!(speed.typical_gap_ms(8_600), Some(40.0));
}

#[test]
fn a_pause_for_a_prompt_does_not_make_a_back_end_slow() {
    let mut speed = BackEndSpeed::default();
    let mut now = 0;
    for at in 0..200 {
        let gap_ms = if at % 40 == 0 { 400 } else { 40 };
        now += gap_ms;
        speed.record_gaps(one(gap_ms as f64), now);
    }
    assert_eq!(speed.typical_gap_ms(now), Some(40.0));
}

/// What happened: a node stood still for 1.5 s, took the events that it then read at once for those of an engine
/// without any gap, and moved all its items there.
#[test]
fn events_that_are_read_together_share_the_time_since_the_one_before() {
    let mut stream = StreamGaps::default();
    assert_eq!(stream.record_event(50.0), None);
    assert_eq!(stream.record_event(1_500.0), Some(one(50.0)));
    for _ in 0..29 {
        assert_eq!(stream.record_event(0.0), None);
    }
    let alike = EqualGaps {
        gap_ms: 50.0,
        count: 30,
    };
    assert_eq!(stream.record_event(50.0), Some(alike));
}

/// The same, on a machine so busy that what came meanwhile is read in some parts.
#[test]
fn what_is_read_late_in_parts_does_not_make_a_back_end_quick() {
    let mut speed = BackEndSpeed::default();
    for at in 1..=100 {
        speed.record_gaps(one(50.0), 50 * at);
    }
    for at in 0..60 {
        speed.record_gaps(one(4.0), 6_500 + 4 * at);
    }
    for at in 1..=30 {
        speed.record_gaps(one(50.0), 6_740 + 50 * at);
        assert_eq!(speed.typical_gap_ms(6_740 + 50 * at), Some(50.0));
    }
}

/// A load of weights falls into the first windows.
#[test]
fn nothing_is_told_from_too_few_windows() {
    let mut speed = BackEndSpeed::default();
    for at in 0..11 {
        speed.record_gaps(one(50.0), 1_000 + 50 * at);
    }
    assert_eq!(speed.typical_gap_ms(1_500), None);
    speed.record_gaps(one(1_200.0), 2_700);
    for at in 1..24 {
        speed.record_gaps(one(50.0), 2_700 + 50 * at);
    }
    assert_eq!(speed.typical_gap_ms(3_850), Some(50.0));
}

#[test]
fn what_was_seen_long_ago_says_nothing() {
    let mut speed = BackEndSpeed::default();
    for at in 0..100 {
        speed.record_gaps(one(120.0), 120 * at);
    }
    assert_eq!(speed.typical_gap_ms(250_000), Some(120.0));
    assert_eq!(speed.typical_gap_ms(320_000), None);
}

/// A node that has not seen an engine lately goes by what others tell of it.
#[test]
fn what_others_tell_counts_where_this_node_has_seen_nothing_lately() {
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
