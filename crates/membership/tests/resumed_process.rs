//! A process that resumes after a suspension must not trust earlier evidence, even if the evidence
//! is younger than the freshness bound.

use std::time::Duration;

use havenstage_membership::{Membership, MembershipInput, MembershipSettings};
use havenstage_types::clock::Moment;
use havenstage_types::config::MemberList;
use havenstage_types::ids::{LogOffset, NodeId, Zone};
use havenstage_types::member::MemberIdentity;

const ASKED_AT: Moment = Moment(1_000);
const RESUMED_AT: Moment = Moment(6_000);

fn identity(id: u64) -> MemberIdentity {
    MemberIdentity {
        id: NodeId(id),
        name: format!("node-{id}"),
        zone: Zone::new("zone-a"),
        peer_address: ([127, 0, 0, 1], 7_000 + id as u16).into(),
        http_address: ([127, 0, 0, 1], 8_000 + id as u16).into(),
    }
}

fn named() -> MemberList {
    MemberList {
        epoch: 1,
        members: (1..=3).map(identity).collect(),
    }
}

fn log_end_report(asked_at: Moment) -> MembershipInput {
    MembershipInput::LogEndReport {
        asked_at,
        end: LogOffset(0),
    }
}

/// Creates a member that got a report of the log's end and then was suspended until [`RESUMED_AT`].
fn suspended_member() -> Membership {
    let settings = MembershipSettings::default();
    assert!(RESUMED_AT.since(ASKED_AT) < settings.freshness_bound);
    let mut member = Membership::new(identity(1), settings, 7);
    member.handle(ASKED_AT, MembershipInput::Tick);
    member.handle(ASKED_AT, log_end_report(ASKED_AT));
    member
}

fn is_fresh(member: &Membership, now: Moment) -> bool {
    member.check_fresh(now, LogOffset(0), &named()).is_ok()
}

#[test]
fn running_member_accepts_the_log_end_report() {
    let member = suspended_member();
    assert!(is_fresh(&member, ASKED_AT + Duration::from_millis(500)));
}

#[test]
fn resumed_member_is_stale_before_its_first_tick() {
    let member = suspended_member();
    assert!(!is_fresh(&member, RESUMED_AT));
}

#[test]
fn answer_to_a_request_from_before_the_suspension_does_not_count() {
    let mut member = suspended_member();
    member.handle(RESUMED_AT, MembershipInput::Tick);
    member.handle(RESUMED_AT, log_end_report(ASKED_AT));
    assert!(!is_fresh(&member, RESUMED_AT));
}

#[test]
fn new_log_end_report_makes_a_resumed_member_fresh() {
    let mut member = suspended_member();
    member.handle(RESUMED_AT, MembershipInput::Tick);
    member.handle(RESUMED_AT, log_end_report(RESUMED_AT));
    assert!(is_fresh(&member, RESUMED_AT));
}
