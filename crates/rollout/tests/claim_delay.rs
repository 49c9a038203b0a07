//! How many nodes claim a lease before the first claim is visible to the others, and how soon the first claim comes.

use havenstage_rollout::Millis;
use havenstage_rollout::claim_delay::ClaimSpread;
use xxhash_rust::xxh3::xxh3_64;

const FLEETS: [usize; 3] = [60, 1_000, 2_000];
const LEASES: usize = 200;

fn spread(machines: usize) -> ClaimSpread {
    ClaimSpread {
        machines,
        spread_ms: 300,
        claim_visible_after_ms: 370,
    }
}

/// The times at which the nodes of a fleet claim a lease, in ascending order, in milliseconds.
fn claim_times(machines: usize, lease: usize) -> Vec<Millis> {
    let draw = |node: usize| xxh3_64(format!("{node} {lease}").as_bytes());
    let delays = (0..machines).map(|node| spread(machines).delay_ms(draw(node)));
    let mut delays: Vec<Millis> = delays.collect();
    delays.sort_unstable();
    delays
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let values: Vec<f64> = values.collect();
    values.iter().sum::<f64>() / values.len() as f64
}

/// Number of claims that are made before the first one is visible, `lag_ms` after it was made.
fn claims_before_visible(times: &[Millis], lag_ms: Millis) -> f64 {
    let visible_at = times[0] + lag_ms;
    times.iter().filter(|at| **at < visible_at).count() as f64
}

#[test]
fn few_nodes_claim_before_the_first_claim_is_visible_at_any_fleet_size() {
    for machines in FLEETS {
        for (lag_ms, max_claims) in [(400, 5.0), (1_000, 10.0), (3_000, 30.0)] {
            let counts =
                (0..LEASES).map(|at| claims_before_visible(&claim_times(machines, at), lag_ms));
            let claims = mean(counts);
            assert!(
                claims <= max_claims,
                "{claims} of {machines} within {lag_ms} ms"
            );
        }
    }
}

#[test]
fn the_first_claim_comes_soon_even_if_the_first_nodes_have_failed() {
    for machines in FLEETS {
        let firsts = (0..LEASES).map(|at| claim_times(machines, at)[0] as f64);
        let first_ms = mean(firsts);
        assert!(first_ms < 100.0, "{first_ms} of {machines}");
        // The tenth claim is the first one if the first nine nodes in the order of delays have failed.
        let tenths = (0..LEASES).map(|at| claim_times(machines, at)[9] as f64);
        let tenth_ms = mean(tenths);
        assert!(tenth_ms < 2_500.0, "{tenth_ms} of {machines}");
    }
}

/// While the log answers no claim, a larger fleet must not send it more claims and retries than a small one.
#[test]
fn the_rate_of_failing_claims_is_limited_at_any_fleet_size() {
    for machines in FLEETS {
        let times = claim_times(machines, 7);
        let within = |from: Millis| {
            let second = from..from + 1_000;
            times.iter().filter(|at| second.contains(*at)).count()
        };
        let max_per_s = times.iter().map(|at| within(*at)).max().unwrap();
        assert!(max_per_s <= 25, "{max_per_s} in a second of {machines}");
        let node_retry_ms = |node: usize| {
            let draw = xxh3_64(format!("{node} 7").as_bytes());
            spread(machines).retry_delay_ms(draw, 1_300) as f64
        };
        let per_s: f64 = (0..machines)
            .map(|node| 1_000.0 / node_retry_ms(node))
            .sum();
        assert!(per_s <= 60.0, "{per_s} a second of {machines}");
    }
}

#[test]
fn a_small_fleet_spreads_its_claims_evenly() {
    let few = spread(12);
    assert!((0..1_000).all(|draw| few.delay_ms(draw) < 300));
    assert_eq!(few.retry_delay_ms(u64::MAX, 1_300), 1_300);
}
