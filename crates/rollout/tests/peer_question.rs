//! Where questions about batches go, and what is remembered of nodes that were asked.

use havenstage_rollout::peer_question::{
    OwnerFacts, PeerRecord, QuestionFacts, QuestionRoute, route,
};

fn lively() -> QuestionFacts {
    QuestionFacts {
        is_followed_here: false,
        owner: Some(OwnerFacts {
            silent_ms: 200,
            is_paused: false,
        }),
        hears_others: true,
        read_gap_ms: 0,
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
    assert_eq!(route(&lively()), QuestionRoute::Owner);
    let followed = QuestionFacts {
        is_followed_here: true,
        ..lively()
    };
    assert_eq!(route(&followed), QuestionRoute::Here);
}

#[test]
fn the_log_is_asked_where_no_owner_can_be() {
    let unknown = QuestionFacts {
        owner: None,
        ..lively()
    };
    assert_eq!(route(&unknown), QuestionRoute::Log);
    assert_eq!(route(&with_owner(200, true)), QuestionRoute::Log);
}

#[test]
fn a_silent_owner_is_not_asked_unless_the_silence_is_this_nodes_own() {
    let silent = with_owner(1_500, false);
    assert_eq!(route(&silent), QuestionRoute::Log);
    let reads_seldom = QuestionFacts {
        read_gap_ms: 2_000,
        ..silent
    };
    assert_eq!(route(&reads_seldom), QuestionRoute::Owner);
    let without_log = QuestionFacts {
        hears_others: false,
        ..silent
    };
    assert_eq!(route(&without_log), QuestionRoute::Owner);
    let long_without_log = QuestionFacts {
        hears_others: false,
        ..with_owner(40_000, false)
    };
    assert_eq!(route(&long_without_log), QuestionRoute::Log);
}

#[test]
fn a_node_that_fails_is_left_alone_ever_longer() {
    let mut record = PeerRecord::default();
    assert!(!record.is_paused(0));
    record.failed(1_000);
    assert!(record.is_paused(1_499) && !record.is_paused(1_500));
    record.failed(2_000);
    assert!(record.is_paused(2_999) && !record.is_paused(3_000));
    for _ in 0..100 {
        record.failed(5_000);
    }
    assert!(record.is_paused(12_999) && !record.is_paused(13_000));
    record.answered();
    assert!(!record.is_paused(5_000));
}

#[test]
fn a_node_that_declines_is_asked_again_soon() {
    let mut record = PeerRecord::default();
    record.failed(0);
    record.failed(0);
    record.declined(1_000);
    assert!(record.is_paused(1_199) && !record.is_paused(1_200));
}
