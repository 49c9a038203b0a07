//! Where questions about batches go, and what is remembered of nodes that were asked.

use havenstage_rollout::peer_question::{
    OwnerFacts, PeerBackoff, QuestionFacts, QuestionRoute, choose_route,
};

fn lively() -> QuestionFacts {
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
    QuestionFacts { owner, ..lively() }
}

#[test]
fn the_owner_is_asked_about_what_is_not_followed_here() {
    assert_eq!(choose_route(&lively()), QuestionRoute::Owner);
    let followed = QuestionFacts {
        can_answer_locally: true,
        ..lively()
    };
    assert_eq!(choose_route(&followed), QuestionRoute::LocalCopy);
}

#[test]
fn the_log_is_asked_where_no_owner_can_be() {
    let unknown = QuestionFacts {
        owner: None,
        ..lively()
    };
    assert_eq!(choose_route(&unknown), QuestionRoute::Log);
    assert_eq!(choose_route(&with_owner(200, true)), QuestionRoute::Log);
}

#[test]
fn a_silent_owner_is_not_asked_unless_the_silence_is_this_nodes_own() {
    let silent = with_owner(1_500, false);
    assert_eq!(choose_route(&silent), QuestionRoute::Log);
    let reads_seldom = QuestionFacts {
        read_interval_ms: 2_000,
        ..silent
    };
    assert_eq!(choose_route(&reads_seldom), QuestionRoute::Owner);
    let without_log = QuestionFacts {
        is_control_stream_current: false,
        ..silent
    };
    assert_eq!(choose_route(&without_log), QuestionRoute::Owner);
    let long_without_log = QuestionFacts {
        is_control_stream_current: false,
        ..with_owner(40_000, false)
    };
    assert_eq!(choose_route(&long_without_log), QuestionRoute::Log);
}

#[test]
fn a_node_that_fails_is_left_alone_ever_longer() {
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
fn a_node_that_declines_is_asked_again_soon() {
    let mut backoff = PeerBackoff::default();
    backoff.record_failure(0);
    backoff.record_failure(0);
    backoff.record_refusal(1_000);
    assert!(backoff.is_paused(1_199) && !backoff.is_paused(1_200));
}
