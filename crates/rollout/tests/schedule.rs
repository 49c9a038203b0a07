//! Scheduling of items: their order, placement and relocation, and probes of half-open back ends.

mod support;

use std::collections::{BTreeMap, HashSet};

use havenstage_rollout::batch_state::ItemState;
use havenstage_rollout::expected_length::LengthHistory;
use havenstage_rollout::fold::PartitionState;
use havenstage_rollout::ids::{BatchId, GroupId, ItemId, ModelName, RegionName};
use havenstage_rollout::residency::Residency;
use havenstage_rollout::schedule::{
    Candidate, ItemTokens, RunningItem, TokenMemory, WaitReason, WaitingItem, assign_probes,
    choose_backend, optional_items, plan_relocations, sort_by_expected_end, wait_reason,
};
use support::{backend, claim, item, submitted};

fn waiting(id: &str, optional: bool, expected_tokens: u32) -> WaitingItem {
    WaitingItem {
        batch: BatchId::from("batch"),
        item: ItemId::from(id),
        is_optional: optional,
        claim: claim(0, "route"),
        expected_tokens,
        held_tokens: 0,
        batch_first_seen: 0,
        waiting_since: 0,
        model: Some(ModelName::from("model")),
        minimum_version: 3,
        exact_version: None,
        group: Some(GroupId::from("group")),
        residency: Residency::anywhere(),
    }
}

/// A back end whose speed is relative to one that sends an event every 40 ms.
fn candidate(id: &str, running: u32, version: u64, speed: f64) -> Candidate {
    Candidate {
        backend: backend(id),
        region: None,
        running,
        slots: 8,
        memory: TokenMemory::default(),
        event_gap_ms: 40.0 / speed,
        is_half_open: false,
        models: BTreeMap::from([(ModelName::from("model"), version)]),
        groups: HashSet::new(),
    }
}

fn chosen_backend(candidates: &[Candidate]) -> Option<String> {
    choose_backend(&waiting("item", false, 10), candidates).map(|chosen| chosen.backend.to_string())
}

#[test]
fn the_longest_items_go_first_even_if_optional() {
    let mut items = [
        waiting("short", false, 5),
        waiting("optional", true, 500),
        waiting("long", false, 50),
    ];
    sort_by_expected_end(&mut items, 0, 1.0);
    let order: Vec<&str> = items.iter().map(|item| item.item.as_str()).collect();
    assert_eq!(order, ["optional", "long", "short"]);
}

#[test]
fn of_equally_long_items_the_one_of_the_older_batch_goes_first() {
    let mut older = waiting("older", true, 50);
    older.batch_first_seen = 1_000;
    let mut newer = waiting("newer", false, 60);
    newer.batch_first_seen = 5_000;
    let mut items = [newer, older];
    sort_by_expected_end(&mut items, 5_000, 1.0);
    assert_eq!(items[0].item.as_str(), "older");
}

#[test]
fn a_long_item_of_a_new_batch_goes_before_a_short_one_of_an_older_batch() {
    let mut older = waiting("short", false, 500);
    older.batch_first_seen = 1_000;
    let mut newer = waiting("long", false, 6_000);
    newer.batch_first_seen = 5_000;
    let mut items = [older, newer];
    sort_by_expected_end(&mut items, 5_000, 1.0);
    assert_eq!(items[0].item.as_str(), "long");
}

#[test]
fn a_full_or_outdated_back_end_is_not_chosen() {
    assert_eq!(
        chosen_backend(&[candidate("full", 8, 3, 1.0), candidate("old", 0, 2, 1.0)]),
        None
    );
    let with_room = [candidate("full", 8, 3, 1.0), candidate("room", 7, 3, 1.0)];
    assert_eq!(chosen_backend(&with_room).as_deref(), Some("room"));
}

#[test]
fn a_slow_back_end_is_chosen_only_if_there_is_no_other() {
    let both = [candidate("slow", 0, 3, 0.3), candidate("usual", 6, 3, 1.0)];
    assert_eq!(chosen_backend(&both).as_deref(), Some("usual"));
    assert_eq!(chosen_backend(&both[..1]).as_deref(), Some("slow"));
}

#[test]
fn a_back_end_that_holds_the_prompt_wins_a_tie() {
    let mut with_prompt = candidate("with", 1, 3, 1.0);
    with_prompt.groups.insert(GroupId::from("group"));
    let both = [candidate("alone", 1, 3, 1.0), with_prompt];
    assert_eq!(chosen_backend(&both).as_deref(), Some("with"));
}

fn estimated_remaining(item: &ItemState) -> u32 {
    LengthHistory::default().expected_remaining(item.expected_tokens, item.events.len() as u32)
}

#[test]
fn groups_with_the_longest_items_are_optional_unless_carried_over() {
    let mut state = PartitionState::default();
    let items = vec![
        item("a", "short", 10),
        item("b", "middle", 20),
        item("c", "long", 30),
    ];
    state.apply(submitted("batch", items, None), 0);
    let batch = state.batch(&BatchId::from("batch")).unwrap();
    let optional = optional_items(batch, &HashSet::new(), estimated_remaining);
    assert_eq!(
        optional,
        HashSet::from([ItemId::from("b"), ItemId::from("c")])
    );
    let carried = HashSet::from([ItemId::from("c")]);
    let optional = optional_items(batch, &carried, estimated_remaining);
    assert_eq!(
        optional,
        HashSet::from([ItemId::from("a"), ItemId::from("b")])
    );
}

fn running(id: &str, backend_id: &str, expected_tokens: u32, running_ms: u64) -> RunningItem {
    let item = waiting(id, false, expected_tokens);
    RunningItem {
        item,
        backend: backend(backend_id),
        running_ms,
        expected_events: expected_tokens,
        moves: 0,
    }
}

fn planned_moves(running: Vec<RunningItem>, candidates: Vec<Candidate>) -> Vec<(String, String)> {
    let moves = plan_relocations(running, candidates);
    moves
        .into_iter()
        .map(|m| (m.item.item.to_string(), m.to.to_string()))
        .collect()
}

#[test]
fn items_move_from_a_slow_back_end_to_free_slots() {
    let items = vec![
        running("short", "slow", 5, 900),
        running("long", "slow", 90, 900),
    ];
    let candidates = vec![candidate("slow", 2, 3, 0.3), candidate("free", 7, 3, 1.0)];
    assert_eq!(
        planned_moves(items, candidates),
        [("long".to_owned(), "free".to_owned())]
    );
}

#[test]
fn nothing_moves_for_a_small_gain_after_a_recent_start_or_to_old_weights() {
    let item = || vec![running("item", "here", 50, 900)];
    assert!(
        planned_moves(
            item(),
            vec![candidate("here", 4, 3, 0.9), candidate("other", 0, 3, 1.0)]
        )
        .is_empty()
    );
    assert!(
        planned_moves(
            item(),
            vec![candidate("here", 4, 3, 0.2), candidate("old", 0, 2, 1.0)]
        )
        .is_empty()
    );
    let just_started = vec![running("item", "here", 50, 100)];
    assert!(
        planned_moves(
            just_started,
            vec![candidate("here", 4, 3, 0.2), candidate("other", 0, 3, 1.0)]
        )
        .is_empty()
    );
}

#[test]
fn an_item_bound_to_a_version_runs_on_no_other() {
    let mut bound = waiting("item", false, 10);
    bound.exact_version = Some(4);
    let both = [candidate("newer", 0, 5, 1.0), candidate("same", 5, 4, 1.0)];
    assert_eq!(
        choose_backend(&bound, &both).map(|c| c.backend.clone()),
        Some(backend("same"))
    );
    assert!(choose_backend(&bound, &both[..1]).is_none());
}

#[test]
fn an_item_with_much_left_moves_from_a_back_end_that_is_a_little_slower() {
    let items = vec![
        running("long", "slower", 100, 900),
        running("nearly done", "slower", 10, 900),
    ];
    let candidates = vec![
        candidate("slower", 4, 3, 0.77),
        candidate("free", 3, 3, 1.0),
    ];
    assert_eq!(
        planned_moves(items, candidates),
        [("long".to_owned(), "free".to_owned())]
    );
}

#[test]
fn nothing_moves_only_because_a_decode_batch_is_fuller() {
    let item = vec![running("item", "full", 160, 900)];
    let candidates = vec![candidate("full", 8, 3, 0.9), candidate("empty", 0, 3, 1.0)];
    assert!(planned_moves(item, candidates).is_empty());
}

#[test]
fn the_wait_before_a_move_doubles_with_each_earlier_move() {
    let candidates = || vec![candidate("slow", 4, 3, 0.3), candidate("free", 0, 3, 1.0)];
    let item = |moves, running_ms| {
        let mut item = running("item", "slow", 90, running_ms);
        item.moves = moves;
        vec![item]
    };
    assert_eq!(planned_moves(item(0, 400), candidates()).len(), 1);
    assert!(planned_moves(item(2, 1_500), candidates()).is_empty());
    assert_eq!(planned_moves(item(2, 1_600), candidates()).len(), 1);
    assert_eq!(planned_moves(item(40, 6_400), candidates()).len(), 1);
}

#[test]
fn an_item_goes_only_where_its_residency_allows() {
    let mut restricted = waiting("item", false, 10);
    restricted.residency = Residency::of([RegionName::from("west")]);
    let mut near = candidate("a", 0, 5, 2.0);
    assert!(!near.accepts(&restricted), "its region is not known");
    near.region = Some(RegionName::from("east"));
    assert!(!near.accepts(&restricted));
    near.region = Some(RegionName::from("west"));
    assert!(near.accepts(&restricted));
}

/// A back end with a memory of 30,000 tokens, of which items of other nodes are expected to hold `expected`.
fn with_memory(id: &str, running: u32, expected: u32, speed: f64) -> Candidate {
    Candidate {
        memory: TokenMemory {
            capacity: Some(30_000),
            other_nodes_tokens: expected,
            items: Vec::new(),
        },
        ..candidate(id, running, 3, speed)
    }
}

fn placed_on(tokens: u32, candidates: &[Candidate]) -> Option<String> {
    let chosen = choose_backend(&waiting("item", false, tokens), candidates);
    chosen.map(|chosen| chosen.backend.to_string())
}

#[test]
fn an_item_goes_where_the_fewest_tokens_are_expected() {
    let both = [
        with_memory("one long", 1, 11_000, 1.0),
        with_memory("five short", 5, 8_000, 1.0),
    ];
    assert_eq!(placed_on(9_000, &both).as_deref(), Some("five short"));
    assert_eq!(placed_on(500, &both).as_deref(), Some("five short"));
}

#[test]
fn free_memory_does_not_make_a_slow_back_end_preferable() {
    let both = [
        with_memory("slow", 0, 0, 0.4),
        with_memory("usual", 4, 18_000, 1.0),
    ];
    assert_eq!(placed_on(2_000, &both).as_deref(), Some("usual"));
}

#[test]
fn a_back_end_that_would_run_out_of_memory_is_chosen_only_if_there_is_no_other() {
    let full = with_memory("full", 3, 25_000, 1.0);
    let fuller = with_memory("fuller", 3, 29_000, 1.0);
    let slow = with_memory("slow", 1, 1_000, 0.4);
    let three = [full.clone(), fuller.clone(), slow];
    assert_eq!(placed_on(9_000, &three).as_deref(), Some("slow"));
    assert_eq!(placed_on(9_000, &[fuller, full]).as_deref(), Some("full"));
}

#[test]
fn an_item_larger_than_any_memory_goes_to_an_empty_back_end() {
    let both = [
        with_memory("busy", 1, 2_000, 1.0),
        with_memory("empty", 0, 0, 0.9),
    ];
    assert_eq!(placed_on(50_000, &both).as_deref(), Some("empty"));
}

#[test]
fn a_memory_of_unknown_capacity_accepts_every_item() {
    let mut unknown = candidate("unknown", 0, 3, 1.0);
    unknown.memory.other_nodes_tokens = 1_000_000;
    assert_eq!(placed_on(9_000, &[unknown]).as_deref(), Some("unknown"));
}

#[test]
fn items_placed_in_sequence_fill_memories_evenly() {
    let mut candidates: Vec<Candidate> = ["a", "b", "c"]
        .map(|id| with_memory(id, 0, 0, 1.0))
        .to_vec();
    let mut long = waiting("long", false, 9_000);
    long.group = None;
    for _ in 0..9 {
        let chosen = choose_backend(&long, &candidates).unwrap().backend.clone();
        let at = candidates.iter().position(|c| c.backend == chosen).unwrap();
        candidates[at].add_item(&long);
    }
    assert!(
        candidates
            .iter()
            .all(|c| c.memory.expected_tokens() == 27_000)
    );
    candidates[0].remove_item(&long);
    assert_eq!(
        (
            candidates[0].running,
            candidates[0].memory.expected_tokens()
        ),
        (2, 18_000)
    );
}

#[test]
fn an_item_does_not_move_to_a_back_end_whose_memory_would_run_out() {
    let item = || vec![running("item", "slow", 9_000, 900)];
    let slow = with_memory("slow", 1, 9_000, 0.3);
    let full = with_memory("full", 2, 25_000, 1.0);
    assert!(planned_moves(item(), vec![slow.clone(), full]).is_empty());
    let roomy = with_memory("roomy", 2, 20_000, 1.0);
    assert_eq!(planned_moves(item(), vec![slow, roomy]).len(), 1);
}

fn half_open(id: &str) -> Candidate {
    let candidate = candidate(id, 0, 3, 1.0);
    Candidate {
        is_half_open: true,
        ..candidate
    }
}

/// Guards against sending one item after another to back ends that stopped responding, which costs each item 0.4 s.
#[test]
fn half_open_back_ends_get_the_items_that_go_last() {
    let items = [
        waiting("longest", false, 500),
        waiting("long", false, 400),
        waiting("short", false, 50),
        waiting("shortest", true, 20),
    ];
    let candidates = [
        candidate("sound", 7, 3, 1.0),
        half_open("half-open-1"),
        half_open("half-open-2"),
        half_open("half-open-3"),
    ];
    let probes = assign_probes(&items, &candidates);
    assert_eq!(
        probes,
        [(3, backend("half-open-1")), (2, backend("half-open-2"))]
    );
    assert_eq!(chosen_backend(&candidates), Some("sound".to_owned()));
}

#[test]
fn a_single_item_is_a_probe_only_if_no_other_back_end_accepts_it() {
    let items = [waiting("item", false, 500)];
    let sound = candidate("sound", 7, 3, 1.0);
    assert_eq!(assign_probes(&items, &[sound, half_open("half-open")]), []);
    let full = candidate("full", 8, 3, 1.0);
    let probes = assign_probes(&items, &[full, half_open("half-open")]);
    assert_eq!(probes, [(0, backend("half-open"))]);
}

#[test]
fn no_item_moves_to_a_half_open_back_end() {
    let slow = candidate("slow", 1, 3, 0.2);
    let running = RunningItem {
        item: waiting("item", false, 500),
        backend: backend("slow"),
        running_ms: 10_000,
        expected_events: 500,
        moves: 0,
    };
    let moves = plan_relocations(
        vec![running.clone()],
        vec![slow.clone(), half_open("half-open")],
    );
    assert_eq!(moves, []);
    let sound = candidate("sound", 1, 3, 1.0);
    assert_eq!(plan_relocations(vec![running], vec![slow, sound]).len(), 1);
}

#[test]
fn short_items_free_their_memory_before_long_ones_need_it() {
    let memory = |items: &[(u32, u32)]| TokenMemory {
        capacity: Some(30_000),
        other_nodes_tokens: 0,
        items: items.iter().map(|item| item_tokens(*item)).collect(),
    };
    let long = item_tokens((300, 9_700));
    let with_short = memory(&[
        (300, 9_700),
        (300, 1_500),
        (300, 1_500),
        (900, 900),
        (1_500, 300),
    ]);
    assert_eq!(with_short.expected_tokens(), 17_200);
    assert!(with_short.fits(long));
    let with_many = memory(&[(300, 9_700), (2_000, 3_000), (2_000, 3_000), (1_800, 100)]);
    assert!(with_many.expected_tokens() + long.tokens_at_end() > 30_000);
    assert!(with_many.fits(long), "20,000 at the end of the long ones");
    assert!(!memory(&[(300, 9_700), (300, 9_800), (9_000, 9_000)]).fits(long));
}

#[test]
fn tokens_of_other_nodes_count_fully_because_their_end_is_unknown() {
    let mut memory = with_memory("shared", 2, 25_000, 1.0).memory;
    assert!(memory.fits(item_tokens((1_000, 4_000))));
    assert!(!memory.fits(item_tokens((1_000, 4_001))));
    memory.add(item_tokens((3_000, 1)));
    assert_eq!(
        memory.shortage(item_tokens((1_000, 4_000))),
        0,
        "it ends long before"
    );
    assert_eq!(memory.shortage(item_tokens((1_001, 4_000))), 1);
    memory.remove(item_tokens((3_000, 1)));
    assert_eq!(memory.expected_tokens(), 25_000);
}

fn item_tokens((held, remaining): (u32, u32)) -> ItemTokens {
    ItemTokens { held, remaining }
}

/// Guards against a short item that is passed over for good, while long items that break off come back before it.
#[test]
fn an_item_that_waits_for_seconds_goes_before_long_ones_that_just_broke_off() {
    let now = 10_000;
    let mut passed_over = waiting("passed over", false, 100);
    passed_over.waiting_since = 4_500;
    let broken_off = |id: &str, tokens| WaitingItem {
        waiting_since: now,
        ..waiting(id, false, tokens)
    };
    let mut items = [
        broken_off("long", 2_000),
        passed_over,
        broken_off("longest", 5_850),
    ];
    sort_by_expected_end(&mut items, now, 0.7);
    assert_eq!(items[0].item.as_str(), "passed over");
}

/// The log must say why an item waits.
#[test]
fn the_reason_of_a_wait_is_the_first_condition_that_no_back_end_meets() {
    let item = waiting("item", false, 100);
    let reason = |candidates: &[Candidate]| wait_reason(&item, candidates);
    assert_eq!(reason(&[]), WaitReason::NoBackEnd);
    assert_eq!(reason(&[half_open("probed")]), WaitReason::OnlyProbes);
    let too_old = candidate("too old", 0, 2, 1.0);
    assert_eq!(reason(std::slice::from_ref(&too_old)), WaitReason::Version);
    let full = candidate("full", 8, 3, 1.0);
    assert_eq!(reason(&[too_old, full]), WaitReason::NoFreeSlot);
    let free = candidate("free", 0, 3, 1.0);
    assert_eq!(reason(&[free]), WaitReason::NotStarted);
}
