//! Which evidence shows that the configuration is recent, and how old the evidence is.

use std::net::SocketAddr;
use std::time::Duration;

use havenstage_membership::freshness::Freshness;
use havenstage_membership::{InvalidMembershipSettings, MembershipSettings};
use havenstage_types::clock::Moment;
use havenstage_types::config::MemberList;
use havenstage_types::ids::{LogOffset, NodeId, Zone};
use havenstage_types::member::MemberIdentity;

const BOUND: Duration = Duration::from_secs(12);
const SELF: NodeId = NodeId(1);

fn named(ids: std::ops::RangeInclusive<u64>) -> MemberList {
    let address = SocketAddr::from(([10, 0, 0, 1], 1_000));
    let members = ids.map(|id| MemberIdentity {
        id: NodeId(id),
        name: String::new(),
        zone: Zone::new("sala-lodi"),
        peer_address: address,
        http_address: address,
    });
    MemberList {
        epoch: 1,
        members: members.collect(),
    }
}

fn is_fresh(freshness: &Freshness, now: u64, applied: u64, list: &MemberList) -> bool {
    freshness
        .check(Moment(now), LogOffset(applied), list, SELF)
        .is_ok()
}

#[test]
fn node_without_evidence_is_stale() {
    let freshness = Freshness::new(BOUND);
    assert!(!is_fresh(&freshness, 0, 0, &MemberList::default()));
    let stale = freshness.check(Moment(0), LogOffset(3), &named(1..=3), SELF);
    let stale = stale.expect_err("stale");
    assert_eq!((stale.heard, stale.named, stale.log_word_age), (1, 3, None));
}

#[test]
fn log_end_report_is_dated_by_its_request() {
    let list = MemberList::default();
    let mut freshness = Freshness::new(BOUND);
    freshness.record_log_end(Moment(1_000), LogOffset(5));
    assert!(is_fresh(&freshness, 13_000, 5, &list));
    assert!(!is_fresh(&freshness, 13_001, 5, &list));
    assert!(
        !is_fresh(&freshness, 1_000, 4, &list),
        "a record is missing"
    );
}

#[test]
fn relayed_log_end_is_dated_by_its_age_before_the_request() {
    let list = MemberList::default();
    let mut freshness = Freshness::new(BOUND);
    freshness.record_relayed_log_end(Moment(1_000), Duration::from_secs(10), LogOffset(5));
    assert!(is_fresh(&freshness, 3_000, 5, &list));
    assert!(!is_fresh(&freshness, 3_001, 5, &list));
    assert_eq!(
        freshness.applied_log_end_age(Moment(1_000), LogOffset(5)),
        Some(Duration::from_secs(10)),
        "also when that was before this process started"
    );
}

#[test]
fn a_node_that_lacks_new_records_is_fresh_for_the_bound_after_it_last_had_all() {
    let list = MemberList::default();
    let mut freshness = Freshness::new(BOUND);
    freshness.record_log_end(Moment(1_000), LogOffset(5));
    freshness.record_log_end(Moment(9_000), LogOffset(6));
    freshness.discard_expired(Moment(13_000));
    assert!(is_fresh(&freshness, 13_000, 5, &list));
    assert!(!is_fresh(&freshness, 13_001, 5, &list));
    assert!(is_fresh(&freshness, 13_001, 6, &list));
    assert_eq!(
        freshness.applied_log_end_age(Moment(9_000), LogOffset(5)),
        Some(Duration::from_secs(8)),
        "only what was applied may be passed on"
    );
}

#[test]
fn older_log_end_report_does_not_replace_a_newer_one() {
    let list = MemberList::default();
    let mut freshness = Freshness::new(BOUND);
    freshness.record_log_end(Moment(9_000), LogOffset(5));
    freshness.record_log_end(Moment(1_000), LogOffset(5));
    freshness.record_log_end(Moment(1_000), LogOffset(6));
    assert!(is_fresh(&freshness, 21_000, 5, &list));
}

#[test]
fn a_strict_majority_of_the_named_members_is_needed() {
    let list = named(1..=4);
    let mut freshness = Freshness::new(BOUND);
    freshness.record_member_report(Moment(1_000), NodeId(2), LogOffset(5));
    for unlisted in 10..20 {
        freshness.record_member_report(Moment(1_000), NodeId(unlisted), LogOffset(5));
    }
    assert!(!is_fresh(&freshness, 1_000, 5, &list), "two of four");
    freshness.record_member_report(Moment(2_000), NodeId(3), LogOffset(5));
    assert!(is_fresh(&freshness, 13_000, 5, &list));
    assert!(!is_fresh(&freshness, 13_001, 5, &list));
}

#[test]
fn a_node_the_list_does_not_name_does_not_count_itself() {
    let mut freshness = Freshness::new(BOUND);
    freshness.record_member_report(Moment(0), NodeId(2), LogOffset(0));
    assert!(is_fresh(&freshness, 0, 0, &named(1..=3)));
    assert!(!is_fresh(&freshness, 0, 0, &named(2..=4)));
}

#[test]
fn member_that_has_applied_more_overrides_a_majority() {
    let list = named(1..=5);
    let mut freshness = Freshness::new(BOUND);
    for id in 2..=5 {
        freshness.record_member_report(Moment(0), NodeId(id), LogOffset(4 + id / 5));
    }
    assert!(!is_fresh(&freshness, 0, 4, &list));
    assert!(is_fresh(&freshness, 0, 5, &list));
}

#[test]
fn settings_that_contradict_each_other_are_refused() {
    assert_eq!(MembershipSettings::default().validate(), Ok(()));
    let settings = MembershipSettings {
        probe_timeout: Duration::from_secs(2),
        ..MembershipSettings::default()
    };
    let expected = InvalidMembershipSettings::Order {
        shorter: "probe_timeout",
        longer: "probe_interval",
    };
    assert_eq!(settings.validate(), Err(expected));
    let settings = MembershipSettings {
        gossip_fanout: 0,
        ..MembershipSettings::default()
    };
    let expected = InvalidMembershipSettings::Zero {
        field: "gossip_fanout",
    };
    assert_eq!(settings.validate(), Err(expected));
    let settings = MembershipSettings {
        max_packet_bytes: 100,
        ..MembershipSettings::default()
    };
    let expected = InvalidMembershipSettings::PacketBytes { found: 100 };
    assert_eq!(settings.validate(), Err(expected));
}
