//! Tests of the choice where a question about a batch is answered, and of the backoff towards nodes that fail.

use havenstage_rollout::peer_question::{
    OwnerFacts, PeerBackoff, QuestionFacts, QuestionRoute, choose_route,
};

fn live_owner_facts() -> QuestionFacts {
    QuestionFacts {
        can_answer_locally: false,
        owner: Some(OwnerFacts {
            silent_ms: 200,
            is_paused: false,
        }),
        is_control_stream_current: true,
        read_interval_ms: 0,
    }
}

fn with_owner(silent_ms: u64, is_paused: bool) -> QuestionFacts {
    let owner = Some(OwnerFacts {
        silent_ms,
        is_paused,
    });
    QuestionFacts {
        owner,
        ..live_owner_facts()
    }
}

#[test]
fn the_owner_is_asked_unless_this_node_can_answer_locally() {
    assert_eq!(choose_route(&live_owner_facts()), QuestionRoute::Owner);
    let answerable_here = QuestionFacts {
        can_answer_locally: true,
        ..live_owner_facts()
    };
    assert_eq!(choose_route(&answerable_here), QuestionRoute::LocalCopy);
}

#[test]
fn the_log_is_read_if_the_owner_is_unknown_or_in_backoff() {
    let unknown = QuestionFacts {
        owner: None,
        ..live_owner_facts()
    };
    assert_eq!(choose_route(&unknown), QuestionRoute::Log);
    assert_eq!(choose_route(&with_owner(200, true)), QuestionRoute::Log);
}

#[test]
fn a_silent_owner_is_asked_only_if_this_node_reads_heartbeats_late() {
    let silent = with_owner(1_500, false);
    assert_eq!(choose_route(&silent), QuestionRoute::Log);
    let with_long_read_interval = QuestionFacts {
        read_interval_ms: 2_000,
        ..silent
    };
    assert_eq!(choose_route(&with_long_read_interval), QuestionRoute::Owner);
    let with_stale_control_stream = QuestionFacts {
        is_control_stream_current: false,
        ..silent
    };
    assert_eq!(
        choose_route(&with_stale_control_stream),
        QuestionRoute::Owner
    );
    let long_silent_with_stale_control_stream = QuestionFacts {
        is_control_stream_current: false,
        ..with_owner(40_000, false)
    };
    assert_eq!(
        choose_route(&long_silent_with_stale_control_stream),
        QuestionRoute::Log
    );
}

#[test]
fn backoff_doubles_with_each_failure_up_to_a_maximum() {
    let mut backoff = PeerBackoff::default();
    assert!(!backoff.is_paused(0));
    backoff.record_failure(1_000);
    assert!(backoff.is_paused(1_499) && !backoff.is_paused(1_500));
    backoff.record_failure(2_000);
    assert!(backoff.is_paused(2_999) && !backoff.is_paused(3_000));
    for _ in 0..100 {
        backoff.record_failure(5_000);
    }
    assert!(backoff.is_paused(12_999) && !backoff.is_paused(13_000));
    backoff.record_answer();
    assert!(!backoff.is_paused(5_000));
}

#[test]
fn backoff_after_a_refusal_is_short() {
    let mut backoff = PeerBackoff::default();
    backoff.record_failure(0);
    backoff.record_failure(0);
    backoff.record_refusal(1_000);
    assert!(backoff.is_paused(1_199) && !backoff.is_paused(1_200));
}
