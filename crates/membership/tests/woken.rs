//! A process that was frozen and wakes must not trust what it knew before, also within the bound.

use std::time::Duration;

use havenstage_membership::{Membership, MembershipInput, MembershipSettings};
use havenstage_types::clock::Moment;
use havenstage_types::config::MemberList;
use havenstage_types::ids::{LogOffset, NodeId, Zone};
use havenstage_types::member::MemberIdentity;

const ASKED_AT: Moment = Moment(1_000);
const WOKEN_AT: Moment = Moment(6_000);

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

fn log_word(asked_at: Moment) -> MembershipInput {
    MembershipInput::LogWord {
        asked_at,
        end: LogOffset(0),
    }
}

/// A member that has heard the log and then did not run until [`WOKEN_AT`].
fn frozen_member() -> Membership {
    let settings = MembershipSettings::default();
    assert!(WOKEN_AT.since(ASKED_AT) < settings.freshness_bound);
    let mut member = Membership::new(identity(1), settings, 7);
    member.handle(ASKED_AT, MembershipInput::Tick);
    member.handle(ASKED_AT, log_word(ASKED_AT));
    member
}

fn is_fresh(member: &Membership, now: Moment) -> bool {
    member.check_fresh(now, LogOffset(0), &named()).is_ok()
}

#[test]
fn a_running_member_trusts_the_word_of_the_log() {
    let member = frozen_member();
    assert!(is_fresh(&member, ASKED_AT + Duration::from_millis(500)));
}

#[test]
fn a_woken_member_is_stale_before_its_first_tick() {
    let member = frozen_member();
    assert!(!is_fresh(&member, WOKEN_AT));
}

#[test]
fn an_answer_to_a_question_from_before_the_freeze_does_not_count() {
    let mut member = frozen_member();
    member.handle(WOKEN_AT, MembershipInput::Tick);
    member.handle(WOKEN_AT, log_word(ASKED_AT));
    assert!(!is_fresh(&member, WOKEN_AT));
}

#[test]
fn a_new_word_of_the_log_makes_it_fresh_again() {
    let mut member = frozen_member();
    member.handle(WOKEN_AT, MembershipInput::Tick);
    member.handle(WOKEN_AT, log_word(WOKEN_AT));
    assert!(is_fresh(&member, WOKEN_AT));
}
