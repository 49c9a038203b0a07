//! Tests how usage is counted, added up, and decided before it is reported.

mod support;

use havenstage_rollout::ids::TenantName;
use havenstage_rollout::usage::{
    RequestCounts, UsageLedger, UsageMeter, UsageRecord, UsageTotals, window_at,
};
use support::node;

fn counts(counts: &[(&str, u64)]) -> RequestCounts {
    let count = |(tenant, count): &(&str, u64)| (TenantName::from(*tenant), *count);
    counts.iter().map(count).collect()
}

fn record(machine: &str, window: u64, of: &[(&str, u64)]) -> UsageRecord {
    UsageRecord {
        node: node(machine, 1),
        window,
        counts: counts(of),
    }
}

#[test]
fn windows_are_counted_from_1970() {
    assert_eq!(window_at(1_767_225_600_000, 5_000), 353_445_120);
    assert_eq!(window_at(1_767_225_604_999, 5_000), 353_445_120);
    assert_eq!(window_at(1_767_225_605_000, 5_000), 353_445_121);
}

#[test]
fn a_meter_returns_the_records_that_are_not_written() {
    let (mut meter, own) = (UsageMeter::default(), node("a", 1));
    let water = TenantName::from("water");
    meter.count_request(&water, 7);
    let first = meter.unwritten_records(&own);
    assert_eq!(first, [record("a", 7, &[("water", 1)])]);
    meter.count_request(&water, 7);
    meter.mark_written(&first);
    let second = meter.unwritten_records(&own);
    assert_eq!(
        second,
        [record("a", 7, &[("water", 2)])],
        "one request was counted meanwhile"
    );
    meter.forget_before(8);
    assert_eq!(
        meter.unwritten_records(&own).len(),
        1,
        "the second request is not written yet"
    );
    meter.mark_written(&second);
    assert!(meter.unwritten_records(&own).is_empty());
}

#[test]
fn duplicate_and_late_records_change_nothing() {
    let mut totals = UsageTotals::default();
    let (early, newest) = (
        record("a", 7, &[("water", 1)]),
        record("a", 7, &[("water", 3), ("power", 1)]),
    );
    let other = record("b", 7, &[("water", 2)]);
    let other_window = record("b", 8, &[("water", 9)]);
    for record in [&early, &newest, &other, &early, &newest, &other_window] {
        totals.apply(record.clone());
    }
    let mut sum = RequestCounts::new();
    totals.add_to(7, &mut sum);
    assert_eq!(sum, counts(&[("water", 5), ("power", 1)]));
    totals.forget_before(8);
    let mut sum = RequestCounts::new();
    totals.add_to(7, &mut sum);
    assert!(sum.is_empty());
}

/// Two lease holders decide the same window, the second with one more request; the platform must receive one sum only.
#[test]
fn the_first_decision_of_a_window_counts() {
    let mut ledger = UsageLedger::default();
    ledger.decide(7, counts(&[("water", 1)]));
    ledger.decide(7, counts(&[("water", 2)]));
    assert_eq!(ledger.newest(), Some(7));
    assert_eq!(
        ledger.oldest_unsettled().unwrap().counts,
        counts(&[("water", 1)])
    );
    ledger.settle(7);
    assert_eq!(ledger.oldest_unsettled(), None);
    ledger.decide(8, counts(&[]));
    ledger.decide(7, counts(&[("water", 2)]));
    assert_eq!(
        ledger.oldest_unsettled().unwrap().window,
        8,
        "a delayed duplicate is ignored"
    );
}

#[test]
fn a_ledger_is_bounded_and_survives_a_checkpoint() {
    let mut ledger = UsageLedger::default();
    for window in 0..100 {
        ledger.decide(window, counts(&[("water", window)]));
    }
    assert!(ledger.decided().len() < 50);
    ledger.settle(99);
    let restored = UsageLedger::restored(ledger.decided().to_vec());
    assert_eq!(restored.decided(), ledger.decided());
    assert_eq!(restored.newest(), Some(99));
}
