//! Leases that are stored in a log.

mod support;

use havenstage_rollout::lease::{ClaimTiming, LeaseState};
use support::node;

const TIMING: ClaimTiming = ClaimTiming {
    silence_ms: 1_000,
    spread_ms: 100,
};

#[test]
fn of_two_claims_of_a_term_the_first_counts() {
    let mut lease = LeaseState::default();
    assert!(lease.claim(1, node("a", 1), 0));
    assert!(!lease.claim(1, node("b", 1), 1));
    assert!(lease.is_held_by(&node("a", 1)));
    assert!(lease.claim(2, node("b", 1), 2));
    assert!(
        !lease.claim(2, node("a", 1), 3),
        "a claim that was appended with a delay changes nothing"
    );
    assert!(lease.is_held_by(&node("b", 1)));
}

#[test]
fn heartbeats_and_releases_of_a_former_holder_do_not_count() {
    let mut lease = LeaseState::default();
    lease.claim(1, node("a", 1), 0);
    lease.claim(2, node("b", 1), 5_000);
    assert!(!lease.renew(1, &node("a", 1), 9_000));
    assert!(!lease.release(1, 9_000));
    assert_eq!(lease.claimable_at(&node("c", 1), 0, &TIMING), 6_100);
}

#[test]
fn a_lease_is_claimed_only_after_missing_heartbeats() {
    let mut lease = LeaseState::new(Some(node("a", 1)), 0);
    assert_eq!(lease.claimable_at(&node("b", 1), 0, &TIMING), 1_100);
    assert!(lease.renew(0, &node("a", 1), 900));
    assert_eq!(lease.claimable_at(&node("b", 1), 0, &TIMING), 2_000);
}

/// While the log cannot be read, no node can read the holder's heartbeats, so this time does not count.
#[test]
fn time_in_which_the_log_is_unreadable_does_not_count_as_missing_heartbeats() {
    let lease = LeaseState::new(Some(node("a", 1)), 0);
    assert_eq!(lease.claimable_at(&node("b", 1), 7_000, &TIMING), 8_100);
}

#[test]
fn a_machine_claims_a_lease_of_its_earlier_incarnation_at_once() {
    let lease = LeaseState::new(Some(node("a", 1)), 50);
    assert_eq!(lease.claimable_at(&node("a", 2), 7_000, &TIMING), 50);
}

#[test]
fn a_released_lease_is_claimed_without_the_silence_timeout_and_a_held_one_never_by_its_holder() {
    let mut lease = LeaseState::new(Some(node("a", 1)), 0);
    assert_eq!(lease.claimable_at(&node("a", 1), 0, &TIMING), u64::MAX);
    assert!(lease.release(0, 400));
    assert_eq!(lease.claimable_at(&node("b", 1), 0, &TIMING), 450);
}

/// The log retains records for a few minutes only. A node that starts later reads the holder's heartbeats, but not
/// its claim.
#[test]
fn a_heartbeat_identifies_a_holder_whose_claim_is_no_longer_in_the_log() {
    let mut lease = LeaseState::default();
    assert!(lease.renew(57, &node("a", 1), 100));
    assert!(lease.is_held_by(&node("a", 1)));
    assert!(
        !lease.claim(1, node("b", 1), 200),
        "a claim by a node that did not know the current term"
    );
    assert!(lease.claim(58, node("b", 1), 300));
}
