//! Tests of the choice between the digest and the directory as the source of a node's list of back ends.

use havenstage_rollout::backend_source::{BackendSource, DigestStatus, SourceLimits, Step};

const MAX_AGE_MS: u64 = 2_500;
const LISTING_DELAY_MS: u64 = 6_000;
const LIMITS: SourceLimits = SourceLimits {
    max_digest_age_ms: MAX_AGE_MS,
    listing_delay_ms: LISTING_DELAY_MS,
};

fn confirmed(at: u64, directory_offset: u64) -> DigestStatus {
    DigestStatus {
        confirmed_at: Some(at),
        directory_offset: Some(directory_offset),
        is_complete: true,
        readable_since: Some(1),
    }
}

/// A node that follows a digest which was confirmed at 1,000 ms, up to offset 10.
fn following() -> (BackendSource, DigestStatus) {
    let mut source = BackendSource::new(LIMITS, None, 0);
    let digest = confirmed(1_000, 10);
    source.record_digest_applied(&digest);
    (source, digest)
}

#[test]
fn changes_are_read_from_the_directory_once_the_digest_is_not_confirmed_in_time() {
    let (source, digest) = following();
    assert_eq!(source.next_step(&digest, 3_500), Step::FollowDigest);
    let step = source.next_step(&digest, 3_501);
    assert_eq!(step, Step::ReadChanges { from: 10 });
}

#[test]
fn a_digest_that_cannot_be_read_does_not_delay_the_directory() {
    let (source, mut digest) = following();
    digest.readable_since = None;
    let step = source.next_step(&digest, 3_501);
    assert_eq!(step, Step::ReadChanges { from: 10 });
}

#[test]
fn a_list_never_returns_to_an_older_digest() {
    let (mut source, _) = following();
    source.record_changes_read(14);
    let older = confirmed(4_000, 13);
    assert!(!source.may_apply(&older, 4_000));
    let step = source.next_step(&older, 4_000);
    assert_eq!(step, Step::ReadChanges { from: 14 });
    let equal = confirmed(4_500, 14);
    assert_eq!(source.next_step(&equal, 4_500), Step::FollowDigest);
    assert!(source.may_apply(&equal, 4_500));
}

/// A digest that is restored from a checkpoint has no offset until its writer confirms it.
#[test]
fn a_digest_without_an_offset_replaces_no_list_that_has_one() {
    let (source, _) = following();
    let restored = DigestStatus {
        is_complete: true,
        readable_since: Some(1),
        ..DigestStatus::default()
    };
    assert!(!source.may_apply(&restored, 2_000));
    let unconfirmed = BackendSource::new(LIMITS, None, 0);
    assert!(unconfirmed.may_apply(&restored, 2_000));
}

#[test]
fn a_node_without_an_offset_lists_the_directory_after_its_own_delay() {
    let mut source = BackendSource::new(LIMITS, None, 1_000);
    let missing = DigestStatus {
        is_complete: true,
        readable_since: Some(1),
        ..DigestStatus::default()
    };
    assert_eq!(source.next_step(&missing, 7_000), Step::FollowDigest);
    assert_eq!(source.next_step(&missing, 7_001), Step::ListDirectory);
    let unreadable = DigestStatus::default();
    assert_eq!(source.next_step(&unreadable, 60_000), Step::FollowDigest);
    source.record_listed(20, 7_200);
    let step = source.next_step(&missing, 7_200);
    assert_eq!(step, Step::ReadChanges { from: 20 });
}

/// Thousands of back ends return at once after an outage: all nodes together can't read their entries.
#[test]
fn changes_that_are_too_many_are_left_to_the_digest() {
    let (mut source, digest) = following();
    source.record_changes_read(12);
    source.record_changes_unreadable(4_000);
    let equal = confirmed(1_000, 12);
    source.record_digest_applied(&equal);
    assert_eq!(source.next_step(&equal, 10_000), Step::FollowDigest);
    assert_eq!(source.next_step(&digest, 10_000), Step::FollowDigest);
    assert_eq!(source.next_step(&digest, 10_001), Step::ListDirectory);
    let newer = confirmed(10_000, 5_000);
    assert_eq!(source.next_step(&newer, 10_001), Step::FollowDigest);
    source.record_digest_applied(&newer);
    let step = source.next_step(&newer, 12_501);
    assert_eq!(step, Step::ReadChanges { from: 5_000 });
}

/// A node that finds the directory too large has read it so far, and thousands of entries may still come.
#[test]
fn a_node_that_turns_to_the_digest_keeps_its_newer_list_until_the_digest_has_come_as_far() {
    let mut source = BackendSource::new(LIMITS, Some(30), 1_000);
    let older = confirmed(1_500, 20);
    assert!(!source.may_apply(&older, 1_500));
    assert_eq!(source.next_step(&older, 1_500), Step::FollowDigest);
    let equal = confirmed(2_000, 30);
    assert!(source.may_apply(&equal, 2_000));
    source.record_digest_applied(&equal);
    let step = source.next_step(&equal, 4_501);
    assert_eq!(step, Step::ReadChanges { from: 30 });
}

/// The log dropped records of the digest before the node read them; the next confirmation has a higher offset.
#[test]
fn an_incomplete_digest_replaces_no_list() {
    let (source, _) = following();
    let mut incomplete = confirmed(2_000, 20);
    incomplete.is_complete = false;
    assert!(!source.may_apply(&incomplete, 2_000));
    let step = source.next_step(&incomplete, 2_000);
    assert_eq!(step, Step::ReadChanges { from: 10 });
}
