//! Tests which requests are suspected and barred after back ends ended, and how they are cleared again.

use havenstage_rollout::Millis;
use havenstage_rollout::checkpoint::ControlCheckpoint;
use havenstage_rollout::control::ControlState;
use havenstage_rollout::control_record::ControlRecord;
use havenstage_rollout::crash_ledger::{
    AMBIGUITY_GRACE_MS, BAR_AFTER_ENDS, BAR_AFTER_SHARED_ENDS, CrashLedger, EndedBackend,
    Fingerprint, ForgottenRequests, LATER_TRIAL_PAUSE_MS, MAX_REPORT_WAIT_MS, MAX_REQUESTS,
    REPORT_WAIT_MS, Suspicion, TRIAL_PAUSES_MS,
};
use havenstage_rollout::ids::{BackendId, MachineName, NodeId};
use havenstage_rollout::stored::Stored;

const HARMFUL: u128 = 1;
const HOUR_MS: Millis = 60 * 60_000;

fn ledger() -> CrashLedger {
    CrashLedger::new()
}

fn node(machine: &str) -> NodeId {
    NodeId {
        machine: MachineName::from(machine),
        life: 1,
    }
}

fn request(number: u128) -> Fingerprint {
    Fingerprint::new(number.to_be_bytes())
}

fn ended(backend: &str, seen_by: &str) -> EndedBackend {
    EndedBackend {
        backend: BackendId::from(backend),
        seen_by: MachineName::from(seen_by),
    }
}

/// Records that a back end ended while it was running all these requests.
fn end_backend(ledger: &mut CrashLedger, backend: &str, running: &[u128]) {
    for number in running {
        ledger.record_end(request(*number), ended(backend, "a"), 1_000);
    }
}

fn is_awaiting_reports(ledger: &CrashLedger, number: u128, now: u64) -> bool {
    let suspicion = ledger.suspicion(&request(number), now);
    matches!(suspicion, Suspicion::Suspected { runs_left: 0, .. })
}

fn is_barred(ledger: &CrashLedger, number: u128) -> bool {
    let suspicion = ledger.suspicion(&request(number), 1_000);
    matches!(suspicion, Suspicion::Barred { .. })
}

#[test]
fn a_request_is_barred_at_its_third_end_and_duplicate_reports_count_once() {
    let mut ledger = ledger();
    for seen_by in ["a", "b", "c", "d"] {
        ledger.record_end(request(HARMFUL), ended("x", seen_by), 5);
    }
    let suspicion = ledger.suspicion(&request(HARMFUL), 5);
    let runs_left = BAR_AFTER_ENDS - 1;
    assert_eq!(suspicion, Suspicion::Suspected { ends: 1, runs_left });
    end_backend(&mut ledger, "y", &[HARMFUL]);
    assert!(!is_barred(&ledger, HARMFUL));
    end_backend(&mut ledger, "z", &[HARMFUL]);
    assert!(is_barred(&ledger, HARMFUL));
    assert_eq!(ledger.take_newly_barred(1_000), [request(HARMFUL)]);
    assert_eq!(
        ledger.take_newly_barred(1_000),
        [],
        "each barred request is returned once"
    );
    assert_eq!(ledger.suspicion(&request(2), 5), Suspicion::None);
}

/// Harmless requests that are retried beside a harmful one share some of its ends; only the harmful one is at all of
/// them.
#[test]
fn requests_that_share_some_ends_of_a_harmful_one_are_not_barred() {
    let mut ledger = ledger();
    end_backend(&mut ledger, "w", &[HARMFUL, 2, 3, 4, 5]);
    end_backend(&mut ledger, "x", &[2, 3, HARMFUL, 4]);
    end_backend(&mut ledger, "y", &[2, HARMFUL, 3]);
    let barred: Vec<u128> = (1..=5)
        .filter(|number| is_barred(&ledger, *number))
        .collect();
    assert_eq!(barred, [], "the cause is ambiguous among three requests");
    end_backend(&mut ledger, "z", &[HARMFUL]);
    assert!(
        is_awaiting_reports(&ledger, HARMFUL, 1_000),
        "it is not run while reports may still arrive"
    );
    let settled = 1_000 + REPORT_WAIT_MS;
    let barred: Vec<u128> = (1..=5)
        .filter(|number| {
            let suspicion = ledger.suspicion(&request(*number), settled);
            matches!(suspicion, Suspicion::Barred { .. })
        })
        .collect();
    assert_eq!(barred, [HARMFUL]);
}

/// Each of two requests with identical ends may be the cause. After [`BAR_AFTER_SHARED_ENDS`] ends both are barred, as
/// protecting the back ends then takes precedence.
#[test]
fn requests_with_identical_ends_are_barred_after_more_ends() {
    let mut ledger = ledger();
    for number in 0..BAR_AFTER_SHARED_ENDS {
        assert!(!is_barred(&ledger, HARMFUL), "after {number} ends");
        end_backend(&mut ledger, &format!("x{number}"), &[HARMFUL, 2]);
    }
    assert!(is_barred(&ledger, HARMFUL) && is_barred(&ledger, 2));
}

/// Guards against barring two harmless items of one batch that ran beside three different harmful requests, which are
/// barred themselves. Ends that a barred request explains do not count against the items, and the items do not excuse
/// each other.
#[test]
fn requests_that_ran_beside_several_harmful_ones_are_not_barred() {
    let mut ledger = ledger();
    let (first, second) = (20, 21);
    for harmful in 1..=3 {
        for backend in 1..=3 {
            let backend = format!("w{harmful}-{backend}");
            match backend.ends_with('1') {
                true => end_backend(&mut ledger, &backend, &[first, harmful, second]),
                false => end_backend(&mut ledger, &backend, &[harmful]),
            }
        }
    }
    for number in [first, second] {
        let suspicion = ledger.suspicion(&request(number), 1_000);
        assert!(
            matches!(suspicion, Suspicion::Suspected { ends: 3, .. }),
            "{suspicion:?}"
        );
    }
    assert!((1..=3).all(|harmful| is_barred(&ledger, harmful)));
}

/// Once callers had time to retry, a request that may be harmful is run only as a trial, which one node of the fleet
/// makes: of two nodes that claim it, all nodes choose the one whose claim is first in the log.
#[test]
fn after_the_grace_time_one_node_of_the_fleet_runs_a_possibly_harmful_request() {
    let later = 1_000 + AMBIGUITY_GRACE_MS;
    let mut ledger = ledger();
    for backend in ["x", "y", "z"] {
        end_backend(&mut ledger, backend, &[2, HARMFUL]);
    }
    end_backend(&mut ledger, "v", &[HARMFUL]);
    let runs_left = |ledger: &CrashLedger, now| match ledger.suspicion(&request(2), now) {
        Suspicion::Suspected { runs_left, .. } => runs_left,
        _ => 0,
    };
    let in_grace = runs_left(&ledger, later - 1);
    assert_eq!(in_grace, BAR_AFTER_SHARED_ENDS - BAR_AFTER_ENDS);
    assert_eq!(ledger.due_trial(&request(2), later - 1), None);
    assert_eq!(runs_left(&ledger, later), 0);
    assert_eq!(ledger.due_trial(&request(2), later), Some(1));
    assert!(ledger.record_trial_claim(&request(2), 1, node("b"), later));
    assert!(!ledger.record_trial_claim(&request(2), 1, node("a"), later));
    assert_eq!(ledger.take_trial(&request(2), &node("a")), None);
    assert_eq!(ledger.take_trial(&request(2), &node("b")), Some(1));
    assert_eq!(ledger.take_trial(&request(2), &node("b")), None);
}

/// A request that awaits a trial is refused for the time being, but not barred.
#[test]
fn a_request_that_awaits_a_trial_is_not_barred() {
    let mut ledger = ledger();
    for backend in ["x", "y", "z"] {
        end_backend(&mut ledger, backend, &[HARMFUL, 2]);
    }
    end_backend(&mut ledger, "v", &[HARMFUL]);
    let later = 1_000 + AMBIGUITY_GRACE_MS;
    let suspicion = ledger.suspicion(&request(2), later);
    assert_eq!(suspicion, Suspicion::TrialOnly { ends: 3 });
    for backend in ["p", "q"] {
        end_backend(&mut ledger, backend, &[2]);
    }
    let suspicion = ledger.suspicion(&request(2), later);
    assert!(
        matches!(suspicion, Suspicion::Barred { .. }),
        "{suspicion:?}"
    );
}

fn bar(ledger: &mut CrashLedger) {
    for backend in ["x", "y", "z"] {
        end_backend(ledger, backend, &[HARMFUL]);
    }
}

/// Guards against sending a harmful request on and on: after the third end it gets three trials, with growing pauses, and
/// then one an hour, although its callers retry it all the time.
#[test]
fn a_barred_request_gets_few_trials() {
    let mut ledger = ledger();
    bar(&mut ledger);
    let mut trials = Vec::new();
    for now in (1_000..1_000 + 3 * HOUR_MS).step_by(100) {
        ledger.record_retry(&request(HARMFUL), now);
        ledger.forget_old(now);
        if let Some(number) = ledger.due_trial(&request(HARMFUL), now) {
            assert!(ledger.record_trial_claim(&request(HARMFUL), number, node("a"), now));
            trials.push(now);
            let backend = format!("trial-{number}");
            ledger.record_end(request(HARMFUL), ended(&backend, "a"), now + 50);
        }
    }
    let mut earlier = 1_000;
    for (number, at) in trials.iter().enumerate() {
        let pause = TRIAL_PAUSES_MS.get(number).copied();
        assert!(at - earlier >= pause.unwrap_or(LATER_TRIAL_PAUSE_MS));
        earlier = *at;
    }
    let within_an_hour = trials.iter().filter(|at| **at < HOUR_MS);
    assert_eq!(within_an_hour.count(), TRIAL_PAUSES_MS.len());
    assert!(trials.len() <= TRIAL_PAUSES_MS.len() + 2, "{trials:?}");
}

/// A harmless request is barred if all back ends that ran it crashed together. One successful trial clears it.
#[test]
fn a_successful_trial_clears_a_barred_request() {
    let mut ledger = ledger();
    bar(&mut ledger);
    let due = 1_000 + TRIAL_PAUSES_MS[0];
    assert_eq!(ledger.due_trial(&request(HARMFUL), due - 1), None);
    assert_eq!(ledger.due_trial(&request(HARMFUL), due), Some(1));
    assert!(ledger.record_trial_claim(&request(HARMFUL), 1, node("a"), due));
    assert!(ledger.holds_unused_trial(&request(HARMFUL), &node("a")));
    assert_eq!(ledger.take_trial(&request(HARMFUL), &node("a")), Some(1));
    assert!(is_barred_at(&ledger, HARMFUL, due));
    assert!(ledger.clear(&request(HARMFUL)));
    assert_eq!(
        ledger.suspicion(&request(HARMFUL), due),
        Suspicion::None,
        "and its next end is its first"
    );
}

/// A trial in which no back end ran the request is made again without a new claim, by the node that holds it.
#[test]
fn a_trial_that_no_back_end_ran_is_made_again() {
    let mut ledger = ledger();
    bar(&mut ledger);
    let due = 1_000 + TRIAL_PAUSES_MS[0];
    assert!(ledger.record_trial_claim(&request(HARMFUL), 1, node("a"), due));
    assert_eq!(ledger.take_trial(&request(HARMFUL), &node("a")), Some(1));
    ledger.return_trial(&request(HARMFUL), 1, &node("a"));
    assert_eq!(ledger.take_trial(&request(HARMFUL), &node("a")), Some(1));
    let next = due + TRIAL_PAUSES_MS[1];
    assert!(ledger.record_trial_claim(&request(HARMFUL), 2, node("b"), next));
    ledger.return_trial(&request(HARMFUL), 1, &node("a"));
    assert_eq!(ledger.take_trial(&request(HARMFUL), &node("a")), None);
}

/// Guards against a harmful request that gets new trials with each restart of the nodes.
#[test]
fn a_checkpoint_keeps_the_number_of_trials() {
    let mut state = barred_state();
    for number in 1..=2 {
        let claim = ControlRecord::TrialClaimed {
            request: request(HARMFUL),
            number,
            node: node("a"),
        };
        state.apply(claim, 60_000 * u64::from(number));
    }
    let read = ControlCheckpoint::decode(&state.checkpoint(7).encode()).unwrap();
    let state = ControlState::restored(MachineName::from("a"), read, 500_000);
    let crashes = state.crashes();
    assert!(!crashes.holds_unused_trial(&request(HARMFUL), &node("a")));
    let due = 500_000 + TRIAL_PAUSES_MS[2];
    assert_eq!(crashes.due_trial(&request(HARMFUL), due - 1), None);
    assert_eq!(crashes.due_trial(&request(HARMFUL), due), Some(3));
}

/// During a rolling upgrade, nodes read checkpoints of an older build without trials.
#[test]
fn a_checkpoint_without_trials_is_readable() {
    let mut checkpoint = barred_state().checkpoint(7);
    checkpoint.form = 7;
    let mut bytes = checkpoint.encode();
    assert_eq!(bytes.pop(), Some(0), "the empty list that format 7 lacks");
    assert_eq!(ControlCheckpoint::decode(&bytes).unwrap(), checkpoint);
}

/// The harmless request ran beside two harmful ones. One of them had its third end earlier; the third end of the other
/// is reported only after the third end of the harmless request.
#[test]
fn a_harmless_request_with_as_many_ends_as_the_harmful_ones_is_not_barred() {
    let (first, second, harmless) = (HARMFUL, 2, 3);
    let mut ledger = ledger();
    end_backend(&mut ledger, "x", &[first, harmless]);
    end_backend(&mut ledger, "y", &[first, 7]);
    end_backend(&mut ledger, "z", &[first, 8]);
    assert!(is_barred(&ledger, first) || is_awaiting_reports(&ledger, first, 1_000));
    let mut at = |backend: &str, number, now| {
        ledger.record_end(request(number), ended(backend, "a"), now);
    };
    at("u", second, 2_000);
    at("u", 9, 2_000);
    at("v", second, 2_000);
    at("v", harmless, 2_000);
    at("w", 9, 2_050);
    at("w", harmless, 2_050);
    assert!(matches!(
        ledger.suspicion(&request(first), 2_050),
        Suspicion::Barred { .. }
    ));
    for now in [2_050, 2_100, 2_050 + REPORT_WAIT_MS, 60_000] {
        if now == 2_100 {
            ledger.record_end(request(second), ended("w", "b"), now);
        }
        let suspicion = ledger.suspicion(&request(harmless), now);
        let is_barred = matches!(suspicion, Suspicion::Barred { .. });
        assert!(!is_barred, "{now}: {suspicion:?}");
    }
}

/// Guards against barring harmless items of a batch in a small pool, where five engines end within seconds, each
/// under a different harmful request.
#[test]
fn a_harmless_request_beside_five_harmful_ones_is_not_barred() {
    let (harmless, other) = (20, 21);
    let mut ledger = ledger();
    for harmful in 1..=5 {
        for backend in ["x", "y", "z"] {
            end_backend(&mut ledger, &format!("{backend}{harmful}"), &[harmful]);
        }
        end_backend(&mut ledger, &format!("x{harmful}"), &[harmless, other]);
    }
    let later = 1_000 + AMBIGUITY_GRACE_MS;
    for number in [harmless, other] {
        let suspicion = ledger.suspicion(&request(number), later);
        assert_eq!(suspicion, Suspicion::TrialOnly { ends: 5 });
    }
    end_backend(&mut ledger, "v", &[harmless]);
    let suspicion = ledger.suspicion(&request(harmless), later);
    assert!(
        matches!(suspicion, Suspicion::Barred { .. }),
        "one more end without a likelier cause: {suspicion:?}"
    );
}

fn is_barred_at(ledger: &CrashLedger, number: u128, now: Millis) -> bool {
    let suspicion = ledger.suspicion(&request(number), now);
    matches!(suspicion, Suspicion::Barred { .. })
}

/// Guards against refusing a harmless item: in a pool whose engines all ended, it ran once beside one harmful request
/// and each other time beside another, so that it had more ends than either.
#[test]
fn a_harmless_request_with_more_ends_than_the_harmful_ones_is_not_barred() {
    let (first, second, harmless) = (HARMFUL, 2, 30);
    let mut ledger = ledger();
    let mut at = |now, backend: &str, running: &[u128]| {
        for number in running {
            ledger.record_end(request(*number), ended(backend, "a"), now);
        }
    };
    at(1_000, "p", &[first, 7]);
    at(1_400, "q", &[first, 8]);
    at(1_900, "r", &[harmless, 9, first]);
    at(3_100, "s", &[harmless, 10, second]);
    at(3_800, "t", &[harmless, 11, second]);
    at(3_900, "u", &[second, 12, harmless]);
    for now in [
        3_900,
        3_900 + REPORT_WAIT_MS,
        3_800 + AMBIGUITY_GRACE_MS,
        60_000,
    ] {
        assert!(!is_barred_at(&ledger, harmless, now), "{now}");
        assert!(is_barred_at(&ledger, first, now), "{now}");
    }
    let next_run = 60_000;
    for number in [second, 13] {
        ledger.record_end(request(number), ended("v", "a"), next_run);
    }
    let settled = next_run + REPORT_WAIT_MS;
    assert!(is_barred_at(&ledger, second, settled));
    assert!(!is_barred_at(&ledger, harmless, settled));
}

/// The same with five ends: a barred request explains two of them, and two harmful requests that came together
/// explain the others.
#[test]
fn a_harmless_request_with_five_ends_beside_three_harmful_ones_is_not_barred() {
    let (barred, second, third, harmless) = (HARMFUL, 2, 3, 30);
    let mut ledger = ledger();
    for (backend, running) in [
        ("a", [barred, harmless, 7].as_slice()),
        ("b", &[barred, 8]),
        ("c", &[barred, 9]),
        ("d", &[barred, harmless, second, 10]),
        ("e", &[second, third, 11]),
        ("f", &[second, third, harmless]),
        ("g", &[third, harmless, 12]),
        ("h", &[second, harmless, 13]),
    ] {
        end_backend(&mut ledger, backend, running);
    }
    for now in [
        1_000,
        1_000 + REPORT_WAIT_MS,
        1_000 + AMBIGUITY_GRACE_MS,
        60_000,
    ] {
        assert!(!is_barred_at(&ledger, harmless, now), "{now}");
    }
    assert!(is_barred_at(&ledger, barred, 1_000 + REPORT_WAIT_MS));
    for backend in ["i", "j"] {
        end_backend(&mut ledger, backend, &[second, 14]);
        end_backend(&mut ledger, &format!("{backend}'"), &[third, 15]);
    }
    let settled = 1_000 + REPORT_WAIT_MS;
    assert!(is_barred_at(&ledger, second, settled) && is_barred_at(&ledger, third, settled));
    assert!(!is_barred_at(&ledger, harmless, settled));
}

/// Guards against refusing all items of a batch that were moved together: one more run of each shows which one is
/// harmful.
#[test]
fn requests_that_are_moved_together_are_run_once_more_before_they_are_barred() {
    let items = [20, 21, 22];
    let mut ledger = ledger();
    for backend in ["x", "y", "z"] {
        end_backend(&mut ledger, backend, &items);
    }
    let later = 1_000 + AMBIGUITY_GRACE_MS;
    for item in items {
        let suspicion = ledger.suspicion(&request(item), later);
        assert_eq!(suspicion, Suspicion::TrialOnly { ends: 3 });
        assert_eq!(ledger.due_trial(&request(item), later), Some(1));
    }
    end_backend(&mut ledger, "v", &[21]);
    let barred = items.map(|item| is_barred_at(&ledger, item, later));
    assert_eq!(barred, [false, true, false]);
}

/// A harmless request that reached as many ends before a harmful one does not excuse it: either the ends of the
/// harmless one are explained, or both have exactly the same ends.
#[test]
fn a_harmless_request_excuses_no_harmful_one() {
    let (first, harmless) = (2, 3);
    let harmful_ends = ["b", "c", "d"];
    for harmless_ends in [["a", "b", "c"], harmful_ends] {
        let mut ledger = ledger();
        let mut at = |backend: &str, number| {
            ledger.record_end(request(number), ended(backend, "b"), 1_000);
        };
        for (backend, other) in [("x", 7), ("y", 8), ("a", 9)] {
            at(backend, other);
            at(backend, first);
        }
        for backend in harmless_ends {
            at(backend, harmless);
        }
        for backend in harmful_ends {
            at(backend, HARMFUL);
            at(backend, 10 + u128::from(backend.as_bytes()[0]));
        }
        let suspicion = ledger.suspicion(&request(HARMFUL), 1_000 + AMBIGUITY_GRACE_MS);
        assert!(
            matches!(suspicion, Suspicion::Barred { .. }),
            "{harmless_ends:?}: {suspicion:?}"
        );
    }
}

/// Reports of other nodes on the same end may still arrive: a request with other requests at all its earlier ends is
/// neither run nor barred until they had time to.
#[test]
fn a_request_that_was_never_alone_waits_for_reports_of_other_nodes() {
    let mut ledger = ledger();
    for (backend, running) in [("x", [7, 2].as_slice()), ("y", &[8, 2]), ("z", &[2])] {
        end_backend(&mut ledger, backend, running);
    }
    let awaiting_reports = Suspicion::Suspected {
        ends: 3,
        runs_left: 0,
    };
    assert_eq!(ledger.suspicion(&request(2), 1_000), awaiting_reports);
    let settled = 1_000 + REPORT_WAIT_MS;
    assert_eq!(ledger.suspicion(&request(2), settled - 1), awaiting_reports);
    assert_ne!(ledger.suspicion(&request(2), settled), awaiting_reports);
}

/// A back end ends under many requests, whose reports come one after the other for longer than [`REPORT_WAIT_MS`]. A
/// harmless one is neither run nor barred before that of the harmful one came.
#[test]
fn a_harmless_request_is_not_barred_while_reports_on_its_latest_end_come() {
    let item = 2;
    let mut ledger = ledger();
    for (now, backend) in [(1_000, "x"), (1_500, "y")] {
        for number in [HARMFUL, item] {
            ledger.record_end(request(number), ended(backend, "a"), now);
        }
    }
    for (now, number) in [(2_000, item), (2_200, 30), (2_400, 31)] {
        ledger.record_end(request(number), ended("z", "a"), now);
    }
    assert!(is_awaiting_reports(&ledger, item, 2_000 + REPORT_WAIT_MS));
    assert!(is_awaiting_reports(&ledger, item, 2_600));
    ledger.record_end(request(HARMFUL), ended("z", "b"), 2_600);
    ledger.record_end(request(HARMFUL), ended("w", "b"), 2_900);
    for now in [2_900, 2_900 + REPORT_WAIT_MS, 60_000] {
        assert!(!is_barred_at(&ledger, item, now), "{now}");
    }
    assert!(is_barred_at(&ledger, HARMFUL, 60_000));
}

/// The wait for reports is limited while they come without end.
#[test]
fn a_request_does_not_wait_for_reports_without_end() {
    let mut ledger = ledger();
    for (now, backend, other) in [(1_000, "x", 2), (1_500, "y", 3), (2_000, "z", 4)] {
        ledger.record_end(request(HARMFUL), ended(backend, "a"), now);
        ledger.record_end(request(other), ended(backend, "a"), now);
    }
    for number in 0..20 {
        let now = 2_000 + number * REPORT_WAIT_MS / 2;
        ledger.record_end(request(u128::from(30 + number)), ended("z", "a"), now);
    }
    let settled = 2_000 + MAX_REPORT_WAIT_MS;
    assert!(is_awaiting_reports(&ledger, HARMFUL, settled - 1));
    assert!(is_barred_at(&ledger, HARMFUL, settled));
}

/// Two harmful requests that came together are not sent indefinitely while it is unclear which one is the cause.
#[test]
fn ambiguity_between_requests_with_identical_ends_is_limited_in_time() {
    let mut ledger = ledger();
    for backend in ["x", "y", "z"] {
        end_backend(&mut ledger, backend, &[HARMFUL, 2]);
    }
    let barred_at = |now| {
        let suspicion = ledger.suspicion(&request(HARMFUL), now);
        matches!(suspicion, Suspicion::Barred { .. })
    };
    assert!(!barred_at(1_000 + AMBIGUITY_GRACE_MS - 1));
    assert!(barred_at(1_000 + AMBIGUITY_GRACE_MS));
}

#[test]
fn an_answer_clears_a_request_and_a_live_back_end_retracts_its_ends() {
    let mut ledger = ledger();
    end_backend(&mut ledger, "x", &[HARMFUL, 2]);
    end_backend(&mut ledger, "y", &[HARMFUL]);
    end_backend(&mut ledger, "z", &[HARMFUL]);
    assert!(ledger.clear(&request(2)));
    assert!(!ledger.clear(&request(2)));
    assert!(ledger.retract_ends_at(&BackendId::from("z")));
    assert!(!ledger.retract_ends_at(&BackendId::from("z")));
    assert!(!is_barred(&ledger, HARMFUL));
    assert!(ledger.clear(&request(HARMFUL)));
    assert!(ledger.is_empty());
    end_backend(&mut ledger, "v", &[3]);
    assert!(ledger.retract_ends_at(&BackendId::from("v")));
    assert!(ledger.is_empty());
    let forgotten = ForgottenRequests {
        cleared: 2,
        disproved: 1,
        ..ForgottenRequests::default()
    };
    assert_eq!(ledger.forgotten(), forgotten);
}

/// A flood of different requests that each end one back end does not evict a barred request.
#[test]
fn memory_is_bounded_and_barred_requests_stay_longest() {
    let mut ledger = ledger();
    for backend in ["x", "y", "z"] {
        end_backend(&mut ledger, backend, &[HARMFUL]);
    }
    for number in 10..(10 * MAX_REQUESTS as u128) {
        end_backend(&mut ledger, &format!("b{number}"), &[number]);
    }
    assert_eq!(ledger.len(), MAX_REQUESTS);
    assert!(is_barred(&ledger, HARMFUL));
    let came = 10 * MAX_REQUESTS as u64 - 10;
    assert_eq!(ledger.forgotten().evicted, came - (MAX_REQUESTS as u64 - 1));
}

#[test]
fn requests_expire_without_retries_and_are_kept_with_them() {
    let mut ledger = ledger();
    for backend in ["x", "y", "z"] {
        end_backend(&mut ledger, backend, &[HARMFUL, 3]);
    }
    end_backend(&mut ledger, "w", &[HARMFUL]);
    ledger.forget_old(HOUR_MS);
    assert_eq!(
        ledger.len(),
        1,
        "a suspected request is forgotten sooner than a barred one"
    );
    ledger.record_retry(&request(HARMFUL), HOUR_MS);
    ledger.forget_old(HOUR_MS + HOUR_MS / 2);
    assert!(is_barred(&ledger, HARMFUL));
    ledger.forget_old(3 * HOUR_MS);
    assert!(ledger.is_empty());
    assert_eq!(ledger.forgotten().expired, 2);
}

#[test]
fn a_fingerprint_round_trips_through_its_text_form() {
    let text = request(0x00ab_cdef).to_string();
    assert_eq!(Fingerprint::parse(&text), Some(request(0x00ab_cdef)));
    for wrong in [
        "",
        "ab",
        "+1234567890123456789012345678901",
        "g",
        &format!("{text}0"),
    ] {
        assert_eq!(Fingerprint::parse(wrong), None, "{wrong}");
    }
}

fn barred_state() -> ControlState {
    let mut state = ControlState::new(MachineName::from("a"));
    for backend in ["x", "y", "z"] {
        let record = ControlRecord::BackendEnded {
            request: request(HARMFUL),
            ended: ended(backend, "b"),
        };
        state.apply(record, 1_000);
    }
    state
}

/// A starting node learns of barred requests from a checkpoint.
#[test]
fn a_checkpoint_keeps_barred_requests() {
    let checkpoint = barred_state().checkpoint(7);
    let read = ControlCheckpoint::decode(&checkpoint.encode()).unwrap();
    let state = ControlState::restored(MachineName::from("c"), read, 9_000);
    assert!(is_barred(state.crashes(), HARMFUL));
}

/// Between two requests with equally many ends, the one that reached them first is taken as the cause. A node that
/// restores a checkpoint must not reverse this order.
#[test]
fn a_checkpoint_keeps_the_order_of_ends() {
    let (harmful, harmless) = (20, 3);
    let mut ledger = ledger();
    for (backend, running) in [
        ("x", [harmful, harmless]),
        ("y", [harmful, 7]),
        ("z", [harmful, 8]),
    ] {
        end_backend(&mut ledger, backend, &running);
    }
    for (backend, running) in [("u", [9, harmless]), ("v", [9, harmless])] {
        end_backend(&mut ledger, backend, &running);
    }
    let restored = CrashLedger::restored(ledger.checkpoint(), Vec::new(), 5_000);
    let settled = 5_000 + REPORT_WAIT_MS;
    let suspicion = |number| restored.suspicion(&request(number), settled);
    assert!(matches!(suspicion(harmful), Suspicion::Barred { .. }));
    let of_harmless = suspicion(harmless);
    assert!(
        !matches!(of_harmless, Suspicion::Barred { .. }),
        "{of_harmless:?}"
    );
}

/// During a rolling upgrade, nodes read checkpoints of an older build without suspected requests.
#[test]
fn a_checkpoint_of_the_previous_form_is_readable() {
    let mut checkpoint = ControlState::new(MachineName::from("a")).checkpoint(7);
    checkpoint.form = 2;
    let mut bytes = checkpoint.encode();
    assert_eq!(
        bytes.pop(),
        Some(0),
        "the empty list that the previous form lacks"
    );
    let read = ControlCheckpoint::decode(&bytes).unwrap();
    assert_eq!(read, checkpoint);
}
