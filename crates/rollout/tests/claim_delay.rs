//! How many nodes claim a lease before one of them is seen, and how soon the first one does.

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

/// When the nodes of a fleet claim a lease, the first one first.
fn claims(machines: usize, lease: usize) -> Vec<Millis> {
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

/// Claims that are made before the first one is seen, after so long.
fn made_before_seen(claims: &[Millis], lag_ms: Millis) -> f64 {
    let seen = claims[0] + lag_ms;
    claims.iter().filter(|at| **at < seen).count() as f64
}

#[test]
fn few_nodes_claim_before_the_first_claim_is_seen_whatever_the_fleet() {
    for machines in FLEETS {
        for (lag_ms, most) in [(400, 5.0), (1_000, 10.0), (3_000, 30.0)] {
            let made = (0..LEASES).map(|at| made_before_seen(&claims(machines, at), lag_ms));
            let made = mean(made);
            assert!(made <= most, "{made} of {machines} within {lag_ms} ms");
        }
    }
}

#[test]
fn the_first_claim_comes_soon_though_the_first_nodes_are_gone() {
    for machines in FLEETS {
        let firsts = (0..LEASES).map(|at| claims(machines, at)[0] as f64);
        let first_ms = mean(firsts);
        assert!(first_ms < 100.0, "{first_ms} of {machines}");
        // Of ten claims in a row nine come from nodes that have just been killed.
        let tenths = (0..LEASES).map(|at| claims(machines, at)[9] as f64);
        let tenth_ms = mean(tenths);
        assert!(tenth_ms < 2_500.0, "{tenth_ms} of {machines}");
    }
}

/// A log that answers no claim is asked no more often by a larger fleet.
#[test]
fn a_fleet_whose_claims_fail_makes_so_many_a_second_at_most() {
    for machines in FLEETS {
        let claims = claims(machines, 7);
        let within = |from: Millis| {
            let second = from..from + 1_000;
            claims.iter().filter(|at| second.contains(*at)).count()
        };
        let most = claims.iter().map(|at| within(*at)).max().unwrap();
        assert!(most <= 25, "{most} in a second of {machines}");
        let again_ms = |node: usize| {
            let draw = xxh3_64(format!("{node} 7").as_bytes());
            spread(machines).retry_delay_ms(draw, 1_300) as f64
        };
        let per_s: f64 = (0..machines).map(|node| 1_000.0 / again_ms(node)).sum();
        assert!(per_s <= 60.0, "{per_s} a second of {machines}");
    }
}

#[test]
fn few_machines_spread_their_claims_evenly() {
    let few = spread(12);
    assert!((0..1_000).all(|draw| few.delay_ms(draw) < 300));
    assert_eq!(few.retry_delay_ms(u64::MAX, 1_300), 1_300);
}
