//! Tests of the digest of the directory of back ends: its entries, its updates, and the bytes that nodes read for it.

use havenstage_rollout::backend::{BackendChange, BackendList, BackendRecord};
use havenstage_rollout::backend_digest::{
    DigestCheckpoint, DigestRecord, DigestState, DigestUpdate, compute_changes,
};
use havenstage_rollout::ids::{BackendName, ModelName, PoolName};
use havenstage_rollout::lease::Term;
use havenstage_rollout::stored::Stored;

const ENGINES: usize = 7_777;
const APPLICATIONS: usize = 2_222;
const MODELS: usize = 8;
const WANTED: usize = 64;
/// Read throughput of the log in bytes per second, for all readers together.
const READ_BYTES_PER_S: usize = 80_000_000;

fn record(pool: &str, at: usize) -> BackendRecord {
    let models = match pool {
        "tono-llm" => MODELS,
        _ => 0,
    };
    let model = |at| (ModelName::from(format!("model-{at:06}")), 1);
    BackendRecord {
        pool: PoolName::from(pool),
        address: format!("10.4.{}.{}:8362", at / 250, at % 250)
            .parse()
            .unwrap(),
        zone: "santander-d".to_owned(),
        slots: 6,
        draining: false,
        cold_left_ms: 0,
        models: (0..models).map(model).collect(),
        started_at: Some(1_779_876_374_005),
    }
}

/// Hexadecimal names, so that the order of the names mixes the pools.
fn name(at: usize) -> BackendName {
    let scattered = (at as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 24;
    BackendName::from(format!("i-{scattered:010x}"))
}

fn directory() -> BackendList {
    let mut list = BackendList::default();
    for at in 0..ENGINES + APPLICATIONS {
        let pool = match at < ENGINES {
            true => "tono-llm",
            false => "aviso-app",
        };
        set(&mut list, at, Some(record(pool, at)));
    }
    list
}

fn set(list: &mut BackendList, at: usize, record: Option<BackendRecord>) {
    let name = name(at);
    list.apply(BackendChange { name, record });
}

/// Brings a digest up to date, and returns the number of bytes that were written for it.
fn update(digest: &mut DigestState, directory: &BackendList, term: Term) -> usize {
    let changes = compute_changes(digest, directory, |_| WANTED);
    let record = DigestRecord::Changed { term, changes };
    let bytes = record.encode();
    digest.apply(DigestRecord::decode(&bytes).unwrap(), 0);
    bytes.len()
}

fn ready_in(digest: &mut DigestState, pool: &str) -> usize {
    let all = digest.all();
    let in_pool = all.values().filter(|record| record.pool.as_str() == pool);
    in_pool.filter(|record| !record.draining).count()
}

#[test]
fn a_digest_has_enough_of_each_pool_and_2_000_nodes_read_it_within_a_second() {
    let mut digest = DigestState::default();
    let bytes = update(&mut digest, &directory(), 1);
    for pool in ["tono-llm", "aviso-app"] {
        assert_eq!(ready_in(&mut digest, pool), WANTED);
    }
    assert!(bytes * 2_000 < READ_BYTES_PER_S, "{bytes} B for each node");
}

#[test]
fn a_change_of_many_back_ends_costs_only_as_much_as_the_entries_in_the_digest() {
    let mut directory = directory();
    let mut digest = DigestState::default();
    update(&mut digest, &directory, 1);
    for at in 0..ENGINES / 5 {
        set(&mut directory, at, None);
    }
    let gone = update(&mut digest, &directory, 1);
    assert_eq!(
        ready_in(&mut digest, "tono-llm"),
        WANTED,
        "other back ends replaced the removed ones"
    );
    for at in 0..ENGINES / 5 {
        set(&mut directory, at, Some(record("tono-llm", at)));
    }
    let back = update(&mut digest, &directory, 1);
    let bytes = gone + back;
    assert!(
        bytes * 2_000 < READ_BYTES_PER_S / 4,
        "{bytes} B for each node"
    );
}

#[test]
fn a_draining_back_end_is_reported_at_once_and_replaced() {
    let mut directory = directory();
    let mut digest = DigestState::default();
    update(&mut digest, &directory, 1);
    digest.take_changes();
    let leaving = digest.all().keys().next().unwrap().clone();
    let at = (0..ENGINES + APPLICATIONS)
        .find(|at| name(*at) == leaving)
        .unwrap();
    let mut draining = directory.by_name(&leaving).unwrap().clone();
    draining.draining = true;
    set(&mut directory, at, Some(draining));
    update(&mut digest, &directory, 1);
    let changes = digest.take_changes();
    assert_eq!(
        changes.len(),
        2,
        "one back end is draining, and another replaces it"
    );
    let of_leaving = changes.iter().find(|change| change.name == leaving);
    assert!(of_leaving.unwrap().record.as_ref().unwrap().draining);
    set(&mut directory, at, None);
    update(&mut digest, &directory, 1);
    let changes = digest.take_changes();
    assert_eq!(
        changes,
        [BackendChange {
            name: leaving,
            record: None
        }]
    );
}

/// A lease holder that was suspended may write an outdated view after its successor has started, so records of its
/// term must be ignored.
#[test]
fn records_of_a_former_term_are_ignored() {
    let (directory, empty) = (directory(), BackendList::default());
    let mut digest = DigestState::default();
    update(&mut digest, &directory, 3);
    digest.take_changes();
    digest.apply(DigestRecord::Kept { term: 4 }, 10);
    let late = DigestRecord::Changed {
        term: 3,
        changes: compute_changes(&digest, &empty, |_| WANTED),
    };
    digest.apply(late, 20);
    assert!(digest.take_changes().is_empty());
    assert_eq!(
        digest.confirmed_at(),
        Some(10),
        "records of a former term are no heartbeats"
    );
    update(&mut digest, &empty, 4);
    assert!(digest.is_empty());
}

#[test]
fn a_checkpoint_restores_the_whole_digest() {
    let mut digest = DigestState::default();
    update(&mut digest, &directory(), 7);
    let bytes = digest.checkpoint(42).encode();
    let checkpoint = DigestCheckpoint::decode(&bytes).unwrap();
    assert_eq!(checkpoint.next, 42);
    let mut restored = DigestState::restored(checkpoint);
    assert_eq!(restored.all(), digest.all());
    restored.apply(DigestRecord::Kept { term: 6 }, 5);
    assert_eq!(
        restored.confirmed_at(),
        None,
        "the checkpoint holds the term"
    );
}

#[test]
fn only_a_writer_that_has_read_the_directory_confirms_the_digest() {
    let mut digest = DigestState::default();
    digest.apply(DigestRecord::Began { term: 2 }, 100);
    digest.apply(DigestRecord::Kept { term: 2 }, 100);
    assert_eq!(digest.confirmed_at(), None);
    let confirmed = DigestRecord::Confirmed {
        term: 2,
        directory_offset: 7,
    };
    digest.apply(confirmed, 200);
    digest.apply(DigestRecord::Kept { term: 2 }, 900);
    assert_eq!(digest.confirmed_at(), Some(200));
    assert_eq!(digest.directory_offset(), Some(7));
    digest.apply(DigestRecord::Began { term: 3 }, 1_000);
    digest.apply(DigestRecord::Kept { term: 3 }, 1_000);
    assert_eq!(digest.confirmed_at(), Some(200));
    assert_eq!(
        digest.directory_offset(),
        Some(7),
        "nothing has changed in the digest"
    );
}

/// During a rolling upgrade the writer may be a node of a version that writes no offsets.
#[test]
fn the_heartbeats_of_a_writer_that_reports_no_offsets_confirm_the_digest() {
    let mut digest = DigestState::default();
    let confirmed = DigestRecord::Confirmed {
        term: 2,
        directory_offset: 7,
    };
    digest.apply(confirmed, 200);
    digest.apply(DigestRecord::Kept { term: 3 }, 900);
    assert_eq!(digest.confirmed_at(), Some(900));
    assert_eq!(digest.directory_offset(), None);
}

#[test]
fn confirmations_of_a_former_term_are_ignored() {
    let mut digest = DigestState::default();
    digest.apply(DigestRecord::Began { term: 3 }, 100);
    let late = DigestRecord::Confirmed {
        term: 2,
        directory_offset: 9,
    };
    digest.apply(late, 200);
    assert_eq!(digest.confirmed_at(), None);
    assert_eq!(digest.directory_offset(), None);
}

#[test]
fn a_replaced_digest_completes_a_digest_that_lacks_records() {
    let mut digest = DigestState::default();
    update(&mut digest, &directory(), 1);
    digest.take_update();
    digest.mark_incomplete();
    let mut directory = directory();
    let removed = digest.all().keys().next().unwrap().clone();
    directory.apply(BackendChange {
        name: removed.clone(),
        record: None,
    });
    let entries = compute_changes(&DigestState::default(), &directory, |_| WANTED);
    let replaced = DigestRecord::Replaced { term: 2, entries };
    digest.apply(DigestRecord::decode(&replaced.encode()).unwrap(), 0);
    assert!(digest.is_complete());
    let DigestUpdate::Whole(backends) = digest.take_update() else {
        panic!("the list is replaced as a whole");
    };
    assert!(!backends.contains_key(&removed));
    assert_eq!(backends.len(), 2 * WANTED);
}
