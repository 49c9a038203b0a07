//! Stream reads of all nodes together stay within the log's limit.

use havenstage_rollout::pacing::pace;

const STREAMS: usize = 9;
const READS_PER_S: u32 = 2_000;

#[test]
fn few_machines_read_without_waiting() {
    let pace = pace(12, STREAMS, READS_PER_S);
    assert_eq!(pace.read_interval_ms, 0);
}

#[test]
fn many_machines_use_at_most_half_of_the_limit() {
    for machines in [41, 100, 300, 414, 1_000] {
        let interval_ms = pace(machines, STREAMS, READS_PER_S).read_interval_ms;
        let reads_per_s = (machines * STREAMS) as f64 * 1_000.0 / interval_ms as f64;
        assert!(
            reads_per_s <= f64::from(READS_PER_S) * 0.51,
            "{machines}: {reads_per_s}"
        );
    }
}
