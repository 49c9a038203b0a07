//! Claimants (tenants, or urgency classes) that compete for too few slots of a pool, in virtual time.

mod support;

use havenstage_rollout::ids::{BatchId, ItemId};
use havenstage_rollout::residency::Residency;
use havenstage_rollout::schedule::{
    Claim, RunningItem, WaitingItem, prioritize_waiting, sort_by_expected_end, urgency,
};
use support::{backend, claim};

const SLICE_MS: u64 = 100;
const ITEM_MS: u64 = 1_000;
const TOKENS: u32 = 1_000;

/// Items of one claimant that are submitted together.
struct Burst {
    at_ms: u64,
    claim: Claim,
    count: usize,
}

fn burst(at_ms: u64, claim: Claim, count: usize) -> Burst {
    Burst {
        at_ms,
        claim,
        count,
    }
}

/// How long an item waited for a slot, in milliseconds.
struct Wait {
    claimant: String,
    ms: u64,
}

/// Sorts the waiting items, given the running items, the number of free slots and the time in milliseconds.
type Order = fn(&mut Vec<WaitingItem>, &[RunningItem], usize, u64);

fn by_claims(waiting: &mut Vec<WaitingItem>, running: &[RunningItem], free: usize, now: u64) {
    prioritize_waiting(waiting, running, free, now, 1.0);
}

/// Simulates the bursts on a pool and returns the wait of each item. `slots` holds the times at which the number of
/// slots changes, in milliseconds, each with the new number.
fn simulate(bursts: &[Burst], slots: &[(u64, usize)], order: Order) -> Vec<Wait> {
    let (mut waiting, mut waits) = (Vec::new(), Vec::new());
    let mut running: Vec<RunningItem> = Vec::new();
    let mut now = 0;
    while now < 120_000 {
        for burst in bursts.iter().filter(|burst| burst.at_ms == now) {
            let items = (0..burst.count).map(|at| waiting_item(burst, at));
            waiting.extend(items);
        }
        running.retain(|running| running.running_ms < ITEM_MS);
        let current = slots.iter().rev().find(|(from, _)| *from <= now);
        let free = current.map_or(0, |(_, slots)| slots.saturating_sub(running.len()));
        order(&mut waiting, &running, free, now);
        for item in waiting.drain(..free.min(waiting.len())) {
            waits.push(Wait {
                claimant: item.claim.claimant.to_string(),
                ms: now - item.batch_first_seen,
            });
            running.push(started(item));
        }
        now += SLICE_MS;
        for running in &mut running {
            running.running_ms += SLICE_MS;
        }
    }
    waits
}

fn waiting_item(burst: &Burst, at: usize) -> WaitingItem {
    WaitingItem {
        batch: BatchId::from("batch"),
        item: ItemId::from(format!("{} {} {at}", burst.claim.claimant, burst.at_ms)),
        is_optional: false,
        claim: burst.claim.clone(),
        expected_tokens: TOKENS,
        held_tokens: 0,
        batch_first_seen: burst.at_ms,
        waiting_since: burst.at_ms,
        model: None,
        minimum_version: 0,
        exact_version: None,
        group: None,
        residency: Residency::anywhere(),
    }
}

fn started(item: WaitingItem) -> RunningItem {
    RunningItem {
        item,
        backend: backend("any"),
        running_ms: 0,
        expected_events: 0,
        moves: 0,
    }
}

fn longest_wait(waits: &[Wait], claimant: &str) -> u64 {
    let of_claimant = waits.iter().filter(|wait| wait.claimant == claimant);
    of_claimant.map(|wait| wait.ms).max().expect("some ran")
}

fn mean_wait(waits: &[Wait], claimant: &str) -> u64 {
    let waits_ms: Vec<u64> = waits
        .iter()
        .filter(|wait| wait.claimant == claimant)
        .map(|wait| wait.ms)
        .collect();
    waits_ms.iter().sum::<u64>() / waits_ms.len() as u64
}

/// A burst of `count` items in each of so many seconds.
fn each_second(seconds: u64, claim: &Claim, count: usize) -> Vec<Burst> {
    let times = (0..seconds).map(|second| second * 1_000);
    times.map(|at| burst(at, claim.clone(), count)).collect()
}

#[test]
fn a_tenant_at_ten_times_its_share_does_not_delay_others() {
    let mut bursts = each_second(20, &claim(1, "steady"), 10);
    bursts.extend(each_second(20, &claim(1, "flood"), 100));
    let waits = simulate(&bursts, &[(0, 20)], by_claims);
    assert!(longest_wait(&waits, "steady") <= ITEM_MS);
    let without_shares = simulate(&bursts, &[(0, 20)], |waiting, _, _, now| {
        sort_by_expected_end(waiting, now, 1.0);
    });
    assert!(
        longest_wait(&without_shares, "steady") > 10 * ITEM_MS,
        "without fair shares the steady tenant waits"
    );
}

#[test]
fn a_tenant_above_its_share_gets_the_unused_slots() {
    let mut bursts = each_second(10, &claim(1, "steady"), 2);
    bursts.push(burst(0, claim(1, "flood"), 180));
    let waits = simulate(&bursts, &[(0, 20)], by_claims);
    assert_eq!(
        longest_wait(&waits, "flood"),
        9 * ITEM_MS,
        "no slot stayed empty"
    );
}

#[test]
fn a_pool_of_half_its_size_does_not_delay_urgent_items() {
    let mut bursts = each_second(20, &claim(0, "urgent"), 8);
    bursts.extend(each_second(20, &claim(2, "patient"), 12));
    let slots = [(0, 20), (5_000, 10), (15_000, 20)];
    let waits = simulate(&bursts, &slots, by_claims);
    assert!(longest_wait(&waits, "urgent") <= ITEM_MS);
    assert!(longest_wait(&waits, "patient") > ITEM_MS);
}

#[test]
fn tenants_with_equal_backlogs_get_equal_waits() {
    let names = ["a", "b", "c", "d", "e"];
    let bursts: Vec<Burst> = names
        .iter()
        .map(|name| burst(0, claim(1, name), 100))
        .collect();
    let waits = simulate(&bursts, &[(0, 20)], by_claims);
    let means = names.map(|name| mean_wait(&waits, name));
    let (least, most) = (means.iter().min().unwrap(), means.iter().max().unwrap());
    assert!(most - least <= ITEM_MS, "{means:?}");
}

/// The longest wait of a burst of a patient claimant beside a minute of more urgent items than there are slots.
fn patient_beside_urgent(longest_wait_ms: u64) -> u64 {
    let patient = Claim {
        max_wait_ms: longest_wait_ms,
        ..claim(2, "patient")
    };
    let mut bursts = each_second(60, &claim(0, "urgent"), 30);
    bursts.push(burst(0, patient, 10));
    longest_wait(&simulate(&bursts, &[(0, 20)], by_claims), "patient")
}

#[test]
fn less_urgent_items_run_before_they_are_given_up() {
    let waited = patient_beside_urgent(20_000);
    assert!(waited > 10_000, "the urgent go first: {waited}");
    assert!(waited < 12_000, "{waited}");
    let without_limit = patient_beside_urgent(u64::MAX);
    assert!(without_limit > 60_000, "{without_limit}");
}

#[test]
fn with_slots_for_all_the_longest_item_goes_first_regardless_of_its_claimant() {
    let item = |name: &str, rank, tokens| WaitingItem {
        expected_tokens: tokens,
        ..waiting_item(&burst(0, claim(rank, name), 1), 0)
    };
    let mut waiting = vec![
        item("urgent", 0, 10),
        item("long", 3, 900),
        item("mid", 1, 50),
    ];
    let mut sorted = waiting.clone();
    prioritize_waiting(&mut waiting, &[], 3, 0, 1.0);
    sort_by_expected_end(&mut sorted, 0, 1.0);
    assert_eq!(waiting, sorted);
    prioritize_waiting(&mut waiting, &[], 2, 0, 1.0);
    let order: Vec<&str> = waiting.iter().map(|item| &*item.claim.claimant).collect();
    assert_eq!(
        order,
        ["mid", "urgent", "long"],
        "the two that get slots, the longest first"
    );
}

#[test]
fn shares_are_counted_in_tokens_not_in_items() {
    let item = |name: &str, tokens, at| WaitingItem {
        expected_tokens: tokens,
        item: ItemId::from(format!("{name} {at}")),
        ..waiting_item(&burst(0, claim(1, name), 1), at)
    };
    let mut waiting: Vec<WaitingItem> = (0..9).map(|at| item("long", 1_000, at)).collect();
    waiting.extend((0..90).map(|at| item("short", 100, at)));
    prioritize_waiting(&mut waiting, &[], 22, 0, 1.0);
    let long = waiting[..22]
        .iter()
        .filter(|item| &*item.claim.claimant == "long");
    assert_eq!(long.count(), 2, "beside twenty short ones");
}

#[test]
fn engine_urgency_combines_rank_and_whether_the_item_is_optional() {
    assert_eq!((urgency(0, false), urgency(0, true)), (0, 1));
    assert_eq!((urgency(1, false), urgency(4, true)), (2, 9));
    assert_eq!(urgency(1_000, true), 9);
}
