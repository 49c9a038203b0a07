//! A small scale run on the real network: everything is counted, nothing is left out.

use havenstage_bench::scale::{
    self, ClusterSize, Phase, ScaleProgress, ScaleSettings, TrafficKind,
};

#[test]
fn a_small_run_measures_what_was_asked() {
    let size = ClusterSize {
        nodes: 3,
        engines: 3,
    };
    let settings = ScaleSettings {
        sizes: vec![size],
        phases: vec![Phase::Idle, Phase::ConfigChanges],
        pools: 1,
        settle_ms: 0,
        window_ms: 2_500,
        timed_changes: 1,
        ..ScaleSettings::default()
    };
    let mut progress = Vec::new();
    let report = scale::run(&settings, |step| progress.push(step)).unwrap();

    let expected = [
        ScaleProgress::Starting(size),
        ScaleProgress::Converged(size),
        ScaleProgress::Phase(size, Phase::Idle),
        ScaleProgress::Phase(size, Phase::ConfigChanges),
    ];
    assert_eq!(progress, expected);
    let measured = &report.sizes[0];
    assert!(measured.failed_phases.is_empty(), "{measured:?}");
    let idle = measured.idle.as_ref().unwrap();
    assert!(idle.cpu_percent_per_node > 0.0);
    assert!(idle.control_bytes_per_second > 0.0);
    for kind in [
        TrafficKind::GossipPing,
        TrafficKind::GossipAck,
        TrafficKind::ConfigRead,
        TrafficKind::EngineControl,
    ] {
        assert!(idle.kinds[&kind].messages_per_second > 0.0, "{kind:?}");
        assert!(idle.kinds[&kind].sent_bytes_per_second > 0.0, "{kind:?}");
    }
    let changes = measured.config_changes.as_ref().unwrap();
    assert_eq!(changes.acknowledged_seconds.len(), 1);
    assert_eq!(changes.last_applied_seconds.len(), 1);
    assert_eq!(measured.node_death, None);
}
