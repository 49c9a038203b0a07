//! Random configuration streams. They hold changes of a few resources with preconditions that are
//! met or not, repeated ids, member lists, snapshots and records that cannot be decoded.

use havenstage_config::ConfigState;
use havenstage_types::config::{ConfigRecord, Precondition};
use havenstage_types::ids::{LogOffset, Revision};
use havenstage_types::resource::{PriorityClass, ResourceKey, ResourceKind, ResourceSpec};
use proptest::prelude::*;

use crate::common::{change, engine, job, key, members, met_precondition, pool, rule, version};

/// A record, or `None` for one that cannot be decoded.
pub type StreamEntry = Option<ConfigRecord>;

/// Applies the entry at `offset`.
pub fn deliver(state: &mut ConfigState, stream: &[StreamEntry], offset: usize) {
    let position = LogOffset(offset as u64);
    match &stream[offset] {
        Some(record) => {
            state.apply(position, record).expect("no gap");
        }
        None => state.skip(position).expect("no gap"),
    }
}

/// The state after all entries with an offset below `end`.
pub fn fold(stream: &[StreamEntry], end: usize) -> ConfigState {
    let mut state = ConfigState::default();
    (0..end).for_each(|offset| deliver(&mut state, stream, offset));
    state
}

#[derive(Debug, Clone)]
struct Draft {
    shape: u8,
    name: u8,
    value: u64,
    is_deletion: bool,
    is_precondition_met: bool,
}

/// Streams of fewer than `length_limit` entries, at least one.
pub fn streams(length_limit: usize) -> impl Strategy<Value = Vec<StreamEntry>> {
    let draft = (
        0..10u8,
        0..3u8,
        0..12u64,
        prop::bool::weighted(0.25),
        prop::bool::weighted(0.8),
    )
        .prop_map(
            |(shape, name, value, is_deletion, is_precondition_met)| Draft {
                shape,
                name,
                value,
                is_deletion,
                is_precondition_met,
            },
        );
    prop::collection::vec(draft, 1..length_limit).prop_map(build_stream)
}

fn build_stream(drafts: Vec<Draft>) -> Vec<StreamEntry> {
    let mut state = ConfigState::default();
    let mut stream = Vec::new();
    for draft in drafts {
        stream.push(build_entry(&state, &draft));
        deliver(&mut state, &stream, stream.len() - 1);
    }
    stream
}

fn build_entry(state: &ConfigState, draft: &Draft) -> StreamEntry {
    match draft.shape {
        0 => None,
        1 => Some(ConfigRecord::Snapshot(state.snapshot())),
        2 => Some(members(
            state.members().epoch + draft.value % 3,
            draft.value,
        )),
        _ => Some(build_change(state, draft)),
    }
}

fn build_change(state: &ConfigState, draft: &Draft) -> ConfigRecord {
    let (key, spec) = build_resource(draft);
    let precondition = match draft.is_precondition_met {
        true => met_precondition(state, &key),
        false => Precondition::AtRevision(Revision(draft.value)),
    };
    // There are few ids, so that some changes repeat others.
    let id = format!("change-{}", (state.next_offset().0 * 7 + draft.value) % 40);
    let spec = (!draft.is_deletion).then_some(spec);
    ConfigRecord::Change(change(&id, &key, precondition, spec))
}

fn build_resource(draft: &Draft) -> (ResourceKey, ResourceSpec) {
    let name = format!("resource-{}", draft.name);
    let pool_name = format!("resource-{}", draft.value % 3);
    let (kind, spec) = match draft.shape {
        3 | 4 => (ResourceKind::Pool, ResourceSpec::Pool(pool())),
        5 => (ResourceKind::Job, ResourceSpec::Job(job(&pool_name))),
        6 => (
            ResourceKind::Engine,
            ResourceSpec::Engine(engine(&pool_name)),
        ),
        7 => {
            let caller = (draft.value < 8).then_some("portal");
            (
                ResourceKind::PriorityRule,
                rule(caller, PriorityClass::Live),
            )
        }
        _ => (ResourceKind::WeightVersion, version(draft.value)),
    };
    (key(kind, &name), spec)
}
