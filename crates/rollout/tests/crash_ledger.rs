//! Which requests are suspected and barred for ended back ends, and how that is taken back.

use havenstage_rollout::Millis;
use havenstage_rollout::checkpoint::ControlCheckpoint;
use havenstage_rollout::control::ControlState;
use havenstage_rollout::control_record::ControlRecord;
use havenstage_rollout::crash_ledger::{
    BAR_AFTER_ENDS, BAR_AFTER_SHARED_ENDS, CrashLedger, DOUBT_MS, EndedBackend, Fingerprint,
    ForgottenRequests, MOST_REQUESTS, SETTLING_MS, Suspicion,
};
use havenstage_rollout::ids::{BackendId, MachineName};
use havenstage_rollout::stored::Stored;

const HARMFUL: u128 = 1;
const HOUR_MS: Millis = 60 * 60_000;

fn ledger() -> CrashLedger {
    ledger_of("own")
}

fn ledger_of(machine: &str) -> CrashLedger {
    CrashLedger::new(MachineName::from(machine))
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

/// A back end ends while it runs all of these.
fn end(ledger: &mut CrashLedger, backend: &str, running: &[u128]) {
    for number in running {
        ledger.record_end(request(*number), ended(backend, "a"), 1_000);
    }
}

fn is_settling(ledger: &CrashLedger, number: u128, now: u64) -> bool {
    let suspicion = ledger.suspicion(&request(number), now);
    matches!(suspicion, Suspicion::Suspected { runs_left: 0, .. })
}

fn is_barred(ledger: &CrashLedger, number: u128) -> bool {
    let suspicion = ledger.suspicion(&request(number), 1_000);
    matches!(suspicion, Suspicion::Barred { .. })
}

#[test]
fn a_request_is_barred_with_the_third_end_and_each_end_counts_once() {
    let mut ledger = ledger();
    for seen_by in ["a", "b", "c", "d"] {
        ledger.record_end(request(HARMFUL), ended("x", seen_by), 5);
    }
    let suspicion = ledger.suspicion(&request(HARMFUL), 5);
    let runs_left = BAR_AFTER_ENDS - 1;
    assert_eq!(suspicion, Suspicion::Suspected { ends: 1, runs_left });
    end(&mut ledger, "y", &[HARMFUL]);
    assert!(!is_barred(&ledger, HARMFUL));
    end(&mut ledger, "z", &[HARMFUL]);
    assert!(is_barred(&ledger, HARMFUL));
    assert_eq!(ledger.take_newly_barred(1_000), [request(HARMFUL)]);
    assert_eq!(ledger.take_newly_barred(1_000), [], "told once");
    assert_eq!(ledger.suspicion(&request(2), 5), Suspicion::None);
}

/// Honest requests that are retried beside a harmful one share its ends; only it is there at all of them.
#[test]
fn requests_beside_a_harmful_one_are_not_barred() {
    let mut ledger = ledger();
    end(&mut ledger, "w", &[HARMFUL, 2, 3, 4, 5]);
    end(&mut ledger, "x", &[2, 3, HARMFUL, 4]);
    end(&mut ledger, "y", &[2, HARMFUL, 3]);
    let barred: Vec<u128> = (1..=5)
        .filter(|number| is_barred(&ledger, *number))
        .collect();
    assert_eq!(barred, [], "which of the three is it?");
    end(&mut ledger, "z", &[HARMFUL]);
    assert!(
        is_settling(&ledger, HARMFUL, 1_000),
        "it is not run meanwhile"
    );
    let settled = 1_000 + SETTLING_MS;
    let barred: Vec<u128> = (1..=5)
        .filter(|number| {
            let suspicion = ledger.suspicion(&request(*number), settled);
            matches!(suspicion, Suspicion::Barred { .. })
        })
        .collect();
    assert_eq!(barred, [HARMFUL]);
}

/// Two that were there at all the same ends may both be the cause: back ends come first in the end.
#[test]
fn requests_that_share_all_ends_are_barred_after_more_of_them() {
    let mut ledger = ledger();
    for number in 0..BAR_AFTER_SHARED_ENDS {
        assert!(!is_barred(&ledger, HARMFUL), "after {number} ends");
        end(&mut ledger, &format!("x{number}"), &[HARMFUL, 2]);
    }
    assert!(is_barred(&ledger, HARMFUL) && is_barred(&ledger, 2));
}

/// Two honest items of one batch were three times beside harmful requests, each time another one, which were
/// barred for it. What a barred one explains is not held against them, nor do they excuse each other.
#[test]
fn requests_that_were_beside_several_harmful_ones_are_not_barred() {
    let mut ledger = ledger();
    let (first, second) = (20, 21);
    for harmful in 1..=3 {
        for backend in 1..=3 {
            let backend = format!("w{harmful}-{backend}");
            match backend.ends_with('1') {
                true => end(&mut ledger, &backend, &[first, harmful, second]),
                false => end(&mut ledger, &backend, &[harmful]),
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

/// What may be harmful, as it is not clear that another one is the cause, is tried by one machine only once
/// callers had time to come again: the one that all agree on among those that saw its ends.
#[test]
fn after_a_while_one_machine_alone_tries_what_may_be_harmful() {
    let later = 1_000 + DOUBT_MS;
    for (machine, may_try) in [("a", true), ("b", false), ("own", false)] {
        let mut ledger = ledger_of(machine);
        for (backend, seen_by) in [("x", "b"), ("y", "a"), ("z", "a")] {
            let end = ended(backend, seen_by);
            ledger.record_end(request(2), end.clone(), 1_000);
            ledger.record_end(request(HARMFUL), end, 1_000);
        }
        ledger.record_end(request(HARMFUL), ended("v", "a"), 1_000);
        let runs_left = |now| match ledger.suspicion(&request(2), now) {
            Suspicion::Suspected { runs_left, .. } => runs_left,
            _ => 0,
        };
        assert_eq!(runs_left(later - 1), BAR_AFTER_SHARED_ENDS - BAR_AFTER_ENDS);
        assert_eq!(runs_left(later), usize::from(may_try), "{machine}");
    }
}

/// What others may try is left to them: it is refused for now, not barred for good. The owner of a batch, who
/// alone runs its items, may try it at any machine; an honest item would wait for its batch's end otherwise.
#[test]
fn what_another_machine_tries_is_not_barred() {
    let mut ledger = ledger_of("own");
    for backend in ["x", "y", "z"] {
        end(&mut ledger, backend, &[HARMFUL, 2]);
    }
    end(&mut ledger, "v", &[HARMFUL]);
    let later = 1_000 + DOUBT_MS;
    let suspicion = ledger.suspicion(&request(2), later);
    assert_eq!(suspicion, Suspicion::LeftToAnother { ends: 3 });
    for backend in ["p", "q"] {
        end(&mut ledger, backend, &[2]);
    }
    let suspicion = ledger.suspicion(&request(2), later);
    assert!(
        matches!(suspicion, Suspicion::Barred { .. }),
        "{suspicion:?}"
    );
}

/// The honest one was beside two harmful ones, of which one had its third end before and the other one's is told
/// only after its own.
#[test]
fn a_request_beside_harmful_ones_with_as_many_ends_is_not_barred() {
    let (first, second, honest) = (HARMFUL, 2, 3);
    let mut ledger = ledger();
    end(&mut ledger, "x", &[first, honest]);
    end(&mut ledger, "y", &[first, 7]);
    end(&mut ledger, "z", &[first, 8]);
    assert!(is_barred(&ledger, first) || is_settling(&ledger, first, 1_000));
    let mut at = |backend: &str, number, now| {
        ledger.record_end(request(number), ended(backend, "a"), now);
    };
    at("u", second, 2_000);
    at("u", 9, 2_000);
    at("v", second, 2_000);
    at("v", honest, 2_000);
    at("w", 9, 2_050);
    at("w", honest, 2_050);
    assert!(matches!(
        ledger.suspicion(&request(first), 2_050),
        Suspicion::Barred { .. }
    ));
    for now in [2_050, 2_100, 2_050 + SETTLING_MS, 60_000] {
        if now == 2_100 {
            ledger.record_end(request(second), ended("w", "b"), now);
        }
        let suspicion = ledger.suspicion(&request(honest), now);
        let is_barred = matches!(suspicion, Suspicion::Barred { .. });
        assert!(!is_barred, "{now}: {suspicion:?}");
    }
}

/// In a small pool one batch saw five engines end within seconds, each under another harmful request.
#[test]
fn an_honest_request_beside_five_harmful_ones_is_not_barred() {
    let (honest, other) = (20, 21);
    let mut ledger = ledger();
    for harmful in 1..=5 {
        for backend in ["x", "y", "z"] {
            end(&mut ledger, &format!("{backend}{harmful}"), &[harmful]);
        }
        end(&mut ledger, &format!("x{harmful}"), &[honest, other]);
    }
    let later = 1_000 + DOUBT_MS;
    for number in [honest, other] {
        let suspicion = ledger.suspicion(&request(number), later);
        assert_eq!(suspicion, Suspicion::LeftToAnother { ends: 5 });
    }
    end(&mut ledger, "v", &[honest]);
    let suspicion = ledger.suspicion(&request(honest), later);
    assert!(
        matches!(suspicion, Suspicion::Barred { .. }),
        "one end more without a likelier cause: {suspicion:?}"
    );
}

fn is_barred_at(ledger: &CrashLedger, number: u128, now: Millis) -> bool {
    let suspicion = ledger.suspicion(&request(number), now);
    matches!(suspicion, Suspicion::Barred { .. })
}

/// Guards against a refused honest item: in a pool whose engines all ended it was beside one harmful request once and
/// beside another one each time, so that it had more ends than either.
#[test]
fn an_honest_request_with_more_ends_than_the_harmful_ones_is_not_barred() {
    let (first, second, honest) = (HARMFUL, 2, 30);
    let mut ledger = ledger();
    let mut at = |now, backend: &str, running: &[u128]| {
        for number in running {
            ledger.record_end(request(*number), ended(backend, "a"), now);
        }
    };
    at(1_000, "p", &[first, 7]);
    at(1_400, "q", &[first, 8]);
    at(1_900, "r", &[honest, 9, first]);
    at(3_100, "s", &[honest, 10, second]);
    at(3_800, "t", &[honest, 11, second]);
    at(3_900, "u", &[second, 12, honest]);
    for now in [3_900, 3_900 + SETTLING_MS, 3_800 + DOUBT_MS, 60_000] {
        assert!(!is_barred_at(&ledger, honest, now), "{now}");
        assert!(is_barred_at(&ledger, first, now), "{now}");
    }
    let next_run = 60_000;
    for number in [second, 13] {
        ledger.record_end(request(number), ended("v", "a"), next_run);
    }
    let settled = next_run + SETTLING_MS;
    assert!(is_barred_at(&ledger, second, settled));
    assert!(!is_barred_at(&ledger, honest, settled));
}

/// The same with five ends, of which a barred request explains two, and two that came together the others.
#[test]
fn an_honest_request_with_five_ends_beside_three_harmful_ones_is_not_barred() {
    let (barred, second, third, honest) = (HARMFUL, 2, 3, 30);
    let mut ledger = ledger();
    for (backend, running) in [
        ("a", [barred, honest, 7].as_slice()),
        ("b", &[barred, 8]),
        ("c", &[barred, 9]),
        ("d", &[barred, honest, second, 10]),
        ("e", &[second, third, 11]),
        ("f", &[second, third, honest]),
        ("g", &[third, honest, 12]),
        ("h", &[second, honest, 13]),
    ] {
        end(&mut ledger, backend, running);
    }
    for now in [1_000, 1_000 + SETTLING_MS, 1_000 + DOUBT_MS, 60_000] {
        assert!(!is_barred_at(&ledger, honest, now), "{now}");
    }
    assert!(is_barred_at(&ledger, barred, 1_000 + SETTLING_MS));
    for backend in ["i", "j"] {
        end(&mut ledger, backend, &[second, 14]);
        end(&mut ledger, &format!("{backend}'"), &[third, 15]);
    }
    let settled = 1_000 + SETTLING_MS;
    assert!(is_barred_at(&ledger, second, settled) && is_barred_at(&ledger, third, settled));
    assert!(!is_barred_at(&ledger, honest, settled));
}

/// Guards against the refusal of all items of a batch that were moved together: a next run of each tells which one it is.
#[test]
fn requests_that_are_moved_together_are_tried_before_they_are_barred() {
    let items = [20, 21, 22];
    let mut ledger = ledger_of("a");
    for backend in ["x", "y", "z"] {
        end(&mut ledger, backend, &items);
    }
    let later = 1_000 + DOUBT_MS;
    for item in items {
        let suspicion = ledger.suspicion(&request(item), later);
        let tried = Suspicion::Suspected {
            ends: 3,
            runs_left: 1,
        };
        assert_eq!(suspicion, tried);
    }
    end(&mut ledger, "v", &[21]);
    let barred = items.map(|item| is_barred_at(&ledger, item, later));
    assert_eq!(barred, [false, true, false]);
}

/// An honest request that had as many ends before a harmful one does not excuse it: its own ends are explained, or
/// it was at exactly the same ones.
#[test]
fn an_honest_request_excuses_no_harmful_one() {
    let (first, honest) = (2, 3);
    let harmful_ends = ["b", "c", "d"];
    for honest_ends in [["a", "b", "c"], harmful_ends] {
        let mut ledger = ledger();
        let mut at = |backend: &str, number| {
            ledger.record_end(request(number), ended(backend, "b"), 1_000);
        };
        for (backend, other) in [("x", 7), ("y", 8), ("a", 9)] {
            at(backend, other);
            at(backend, first);
        }
        for backend in honest_ends {
            at(backend, honest);
        }
        for backend in harmful_ends {
            at(backend, HARMFUL);
            at(backend, 10 + u128::from(backend.as_bytes()[0]));
        }
        let suspicion = ledger.suspicion(&request(HARMFUL), 1_000 + DOUBT_MS);
        assert!(
            matches!(suspicion, Suspicion::Barred { .. }),
            "{honest_ends:?}: {suspicion:?}"
        );
    }
}

/// Words of other nodes on the same end may be on their way: one that had company at all its ends is neither run
/// nor barred until they had time to come.
#[test]
fn a_request_that_was_never_alone_is_judged_when_all_had_time_to_tell() {
    let mut ledger = ledger();
    for (backend, running) in [("x", [7, 2].as_slice()), ("y", &[8, 2]), ("z", &[2])] {
        end(&mut ledger, backend, running);
    }
    let waits = Suspicion::Suspected {
        ends: 3,
        runs_left: 0,
    };
    assert_eq!(ledger.suspicion(&request(2), 1_000), waits);
    let settled = 1_000 + SETTLING_MS;
    assert_eq!(ledger.suspicion(&request(2), settled - 1), waits);
    assert_ne!(ledger.suspicion(&request(2), settled), waits);
}

/// Two harmful ones that came together are not sent on for ever while it is not clear which one it is.
#[test]
fn doubt_between_requests_with_the_same_ends_does_not_last() {
    let mut ledger = ledger();
    for backend in ["x", "y", "z"] {
        end(&mut ledger, backend, &[HARMFUL, 2]);
    }
    let barred_at = |now| {
        let suspicion = ledger.suspicion(&request(HARMFUL), now);
        matches!(suspicion, Suspicion::Barred { .. })
    };
    assert!(!barred_at(1_000 + DOUBT_MS - 1));
    assert!(barred_at(1_000 + DOUBT_MS));
}

#[test]
fn an_answer_clears_a_request_and_a_living_back_end_is_not_held_against_any() {
    let mut ledger = ledger();
    end(&mut ledger, "x", &[HARMFUL, 2]);
    end(&mut ledger, "y", &[HARMFUL]);
    end(&mut ledger, "z", &[HARMFUL]);
    assert!(ledger.clear(&request(2)));
    assert!(!ledger.clear(&request(2)));
    assert!(ledger.retract_ends_at(&BackendId::from("z")));
    assert!(!ledger.retract_ends_at(&BackendId::from("z")));
    assert!(!is_barred(&ledger, HARMFUL));
    assert!(ledger.clear(&request(HARMFUL)));
    assert!(ledger.is_empty());
    end(&mut ledger, "v", &[3]);
    assert!(ledger.retract_ends_at(&BackendId::from("v")));
    assert!(ledger.is_empty());
    let forgotten = ForgottenRequests {
        cleared: 2,
        disproved: 1,
        ..ForgottenRequests::default()
    };
    assert_eq!(ledger.forgotten(), forgotten);
}

/// A flood of different requests that each end one back end pushes out no barred one.
#[test]
fn memory_is_bounded_and_barred_requests_stay_longest() {
    let mut ledger = ledger();
    for backend in ["x", "y", "z"] {
        end(&mut ledger, backend, &[HARMFUL]);
    }
    for number in 10..(10 * MOST_REQUESTS as u128) {
        end(&mut ledger, &format!("b{number}"), &[number]);
    }
    assert_eq!(ledger.len(), MOST_REQUESTS);
    assert!(is_barred(&ledger, HARMFUL));
    let came = 10 * MOST_REQUESTS as u64 - 10;
    assert_eq!(
        ledger.forgotten().evicted,
        came - (MOST_REQUESTS as u64 - 1)
    );
}

#[test]
fn what_is_not_heard_of_for_long_is_forgotten_and_what_comes_again_is_not() {
    let mut ledger = ledger();
    for backend in ["x", "y", "z"] {
        end(&mut ledger, backend, &[HARMFUL, 3]);
    }
    end(&mut ledger, "w", &[HARMFUL]);
    ledger.forget_old(HOUR_MS);
    assert_eq!(ledger.len(), 1, "a suspected one is forgotten sooner");
    ledger.record_retry(&request(HARMFUL), HOUR_MS);
    ledger.forget_old(HOUR_MS + HOUR_MS / 2);
    assert!(is_barred(&ledger, HARMFUL));
    ledger.forget_old(3 * HOUR_MS);
    assert!(ledger.is_empty());
    assert_eq!(ledger.forgotten().expired, 2);
}

#[test]
fn a_fingerprint_is_read_as_it_is_written() {
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

/// A node that starts reads a checkpoint, and with it what is known against requests.
#[test]
fn a_checkpoint_keeps_what_is_known_against_requests() {
    let checkpoint = barred_state().checkpoint(7);
    let read = ControlCheckpoint::decode(&checkpoint.encode()).unwrap();
    let state = ControlState::restored(MachineName::from("c"), read, 9_000);
    assert!(is_barred(state.crashes(), HARMFUL));
}

/// Which of two with as many ends was the first to have them decides; a node that starts must not turn it round.
#[test]
fn a_checkpoint_keeps_who_had_its_ends_first() {
    let (harmful, honest) = (20, 3);
    let mut ledger = ledger();
    for (backend, running) in [
        ("x", [harmful, honest]),
        ("y", [harmful, 7]),
        ("z", [harmful, 8]),
    ] {
        end(&mut ledger, backend, &running);
    }
    for (backend, running) in [("u", [9, honest]), ("v", [9, honest])] {
        end(&mut ledger, backend, &running);
    }
    let restored = CrashLedger::restored(MachineName::from("c"), ledger.checkpoint(), 5_000);
    let settled = 5_000 + SETTLING_MS;
    let suspicion = |number| restored.suspicion(&request(number), settled);
    assert!(matches!(suspicion(harmful), Suspicion::Barred { .. }));
    let of_honest = suspicion(honest);
    assert!(
        !matches!(of_honest, Suspicion::Barred { .. }),
        "{of_honest:?}"
    );
}

/// While a release goes on, nodes read checkpoints of nodes that know nothing of such requests.
#[test]
fn a_checkpoint_of_the_form_before_is_read_too() {
    let mut checkpoint = ControlState::new(MachineName::from("a")).checkpoint(7);
    checkpoint.form = 2;
    let mut bytes = checkpoint.encode();
    assert_eq!(
        bytes.pop(),
        Some(0),
        "the empty list that the form before lacks"
    );
    let read = ControlCheckpoint::decode(&bytes).unwrap();
    assert_eq!(read, checkpoint);
}
