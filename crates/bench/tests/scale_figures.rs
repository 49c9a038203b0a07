//! The arithmetic of the scale run: lines through figures, costs of events, joined reports.

use havenstage_bench::scale::{
    ClusterSize, EventCost, InvalidScaleSettings, Metric, RateReport, ScaleReport, ScaleSettings,
    SizeReport, WindowReport, least_squares,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn fixed() -> ProptestConfig {
    ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn points_on_a_line_give_that_line(
        intercept in -1e3..1e3_f64,
        slope in -1e2..1e2_f64,
        places in prop::collection::btree_set(0_u16..400, 2..8),
    ) {
        let points: Vec<(f64, f64)> = places
            .into_iter()
            .map(|x| (f64::from(x), intercept + slope * f64::from(x)))
            .collect();
        let line = least_squares(&points).unwrap();
        prop_assert!((line.slope - slope).abs() < 1e-6);
        prop_assert!((line.intercept - intercept).abs() < 1e-4);
    }
}

#[test]
fn the_line_has_the_least_squares() {
    let line = least_squares(&[(0.0, 0.0), (1.0, 2.0), (2.0, 1.0)]).unwrap();
    assert!((line.slope - 0.5).abs() < 1e-12);
    assert!((line.intercept - 0.5).abs() < 1e-12);
    assert!((line.r_squared - 0.25).abs() < 1e-12);
}

#[test]
fn one_place_gives_no_line() {
    assert_eq!(least_squares(&[(3.0, 1.0), (3.0, 2.0)]), None);
    assert_eq!(least_squares(&[(3.0, 1.0)]), None);
}

fn window(cpu_percent: f64, control: f64, appends: f64) -> WindowReport {
    WindowReport {
        seconds: 20.0,
        cpu_percent_per_node: cpu_percent,
        control_bytes_per_second: control,
        log_appends_per_second: appends,
        ..WindowReport::default()
    }
}

#[test]
fn an_event_costs_what_it_adds_to_the_idle_rates() {
    let idle = window(0.5, 1_000.0, 2.0);
    let busy = window(1.5, 1_100.0, 7.0);
    let cost = EventCost::of(&idle, &busy, 10, 100);
    // 1% of a core at 10 nodes for 20 s are 2 s, shared by 100 events.
    assert!((cost.cpu_microseconds - 20_000.0).abs() < 1e-6);
    assert!((cost.control_bytes - 200.0).abs() < 1e-9);
    assert!((cost.log_appends - 1.0).abs() < 1e-9);
}

fn report(nodes: usize, cpu_percent: f64) -> ScaleReport {
    let size = SizeReport {
        size: ClusterSize { nodes, engines: 0 },
        idle: Some(window(cpu_percent, 10.0, 0.0)),
        change_rate: Some(RateReport::default()),
        ..SizeReport::default()
    };
    ScaleReport::new(ScaleSettings::default(), 12, vec![size])
}

#[test]
fn joined_reports_are_in_order_of_size_and_have_lines() {
    let joined = ScaleReport::joined(vec![report(20, 0.4), report(10, 0.3)]).unwrap();
    let nodes: Vec<usize> = joined.sizes.iter().map(|size| size.size.nodes).collect();
    assert_eq!(nodes, vec![10, 20]);
    let line = joined
        .slopes
        .iter()
        .find(|slope| slope.metric == Metric::IdleCpuPercent)
        .unwrap();
    assert!((line.at(380.0) - 4.0).abs() < 1e-9);
    let text = serde_json::to_string(&joined).unwrap();
    assert_eq!(serde_json::from_str::<ScaleReport>(&text).unwrap(), joined);
    assert_eq!(ScaleReport::joined(Vec::new()), None);
}

#[test]
fn settings_out_of_range_are_named() {
    let settings = ScaleSettings {
        zones: 0,
        ..ScaleSettings::default()
    };
    let refusal = InvalidScaleSettings::NotPositive { field: "zones" };
    assert_eq!(settings.validate(), Err(refusal));
    assert_eq!(ScaleSettings::default().validate(), Ok(()));
}
