//! What must hold after every run.

use std::collections::{BTreeMap, BTreeSet};

use havenstage_ledger::claims::ClaimLedger;
use havenstage_types::claim::{ClaimCommand, ClaimRecord, ClaimVerdict};
use havenstage_types::ids::{AttemptId, EntryIndex, IdempotencyKey, LogOffset};
use havenstage_types::replica::{EntryPayload, SequencedEntry};

use super::callers::{Caller, CallerState, End, outcome};
use super::world::World;

type Entry = SequencedEntry<ClaimCommand>;

/// What was seen during a run.
#[derive(Default)]
pub struct Facts {
    committed: BTreeMap<(LogOffset, EntryIndex), Entry>,
    acknowledged: BTreeSet<(IdempotencyKey, AttemptId, bool)>,
}

impl Facts {
    /// Members agree on every entry they hold to be committed.
    pub fn committed(&mut self, generation: LogOffset, index: EntryIndex, entry: Entry) {
        let known = self
            .committed
            .entry((generation, index))
            .or_insert_with(|| entry.clone());
        assert_eq!(*known, entry, "two entries {index} of group {generation}");
    }

    pub fn acknowledged(&mut self, caller: &Caller) {
        let is_outcome = matches!(caller.state, CallerState::Completing { .. });
        self.acknowledged
            .insert((caller.key.clone(), caller.attempt, is_outcome));
    }
}

/// A fold of the log from its start.
pub fn fresh_reader(world: &World) -> ClaimLedger {
    let mut reader = ClaimLedger::default();
    for (offset, record) in world.log.read(LogOffset(0), usize::MAX) {
        reader.apply(offset, &record).unwrap();
    }
    reader
}

/// Groups that were replaced by force with records that may be lost.
pub fn losses(world: &World) -> usize {
    let mut reader = ClaimLedger::default();
    let mut losses = BTreeSet::new();
    for (offset, record) in world.log.read(LogOffset(0), usize::MAX) {
        reader.apply(offset, &record).unwrap();
        losses.extend(reader.open_loss());
    }
    losses.len()
}

/// The key of every caller was dispatched at most once.
pub fn at_most_once(world: &World) {
    let mut dispatches: BTreeMap<&IdempotencyKey, Vec<(AttemptId, u64)>> = BTreeMap::new();
    for caller in &world.callers {
        let dispatched = dispatches.entry(&caller.key).or_default();
        dispatched.extend(caller.dispatched);
    }
    for (key, dispatched) in dispatches {
        assert!(
            dispatched.len() <= 1,
            "{} ran twice: {dispatched:?}",
            key.as_str()
        );
    }
}

/// What was acknowledged is in the log's fold.
pub fn nothing_lost(world: &World) {
    let reader = fresh_reader(world);
    for caller in &world.callers {
        let Some((attempt, _)) = caller.dispatched else {
            continue;
        };
        let holder = reader.holder(&caller.key);
        assert_eq!(
            holder,
            Some(attempt),
            "{} lost its grant",
            caller.key.as_str()
        );
    }
    for (key, attempt, is_outcome) in &world.facts.acknowledged {
        let verdict = reader.verdict(key, *attempt, 7);
        if *is_outcome {
            assert_eq!(verdict, Some(ClaimVerdict::Done(outcome())), "{attempt}");
        } else {
            assert_ne!(verdict, Some(ClaimVerdict::Granted), "{attempt}");
        }
    }
}

/// Entries that a member held to be committed and that the log's fold does not have, at their
/// place.
pub fn committed_but_not_logged(world: &World) -> usize {
    let logged = logged_entries(world);
    let committed = world.facts.committed.iter();
    committed
        .filter(|(_, entry)| matches!(entry.payload, EntryPayload::Command(_)))
        .filter(|(place, entry)| logged.get(place) != Some(entry))
        .count()
}

fn logged_entries(world: &World) -> BTreeMap<(LogOffset, EntryIndex), Entry> {
    let mut reader = ClaimLedger::default();
    let mut logged = BTreeMap::new();
    for (offset, record) in world.log.read(LogOffset(0), usize::MAX) {
        let before = reader.group().cloned();
        reader.apply(offset, &record).unwrap();
        let ClaimRecord::Batch {
            first_index,
            entries,
            generation,
        } = record
        else {
            continue;
        };
        if before
            .is_none_or(|group| group.generation != generation || first_index > group.logged.next())
        {
            continue;
        }
        for (position, entry) in entries.into_iter().enumerate() {
            let index = EntryIndex(first_index.0 + position as u64);
            let known = logged
                .entry((generation, index))
                .or_insert_with(|| entry.clone());
            assert_eq!(
                *known, entry,
                "two entries {index} of group {generation} in the log"
            );
        }
    }
    logged
}

/// Every node that has read to the end agrees with a reader that has only the log.
pub fn readers_agree(world: &World) {
    let reader = fresh_reader(world);
    for node in world.nodes.values() {
        assert_eq!(node.ledger, reader, "node {} differs", node.id());
    }
}

/// Groups that replaced one which had not sealed itself.
pub fn forced_groups(world: &World) -> usize {
    let mut reader = ClaimLedger::default();
    let mut forced = 0;
    for (offset, record) in world.log.read(LogOffset(0), usize::MAX) {
        let before = reader.group().map(|group| group.generation);
        reader.apply(offset, &record).unwrap();
        let after = reader.group().map(|group| group.generation);
        let is_forming = matches!(record, ClaimRecord::GroupFormed { .. });
        if is_forming && before.is_some() && before != after {
            forced += 1;
        }
    }
    forced
}

/// Entries in the largest batch.
pub fn largest_batch(world: &World) -> usize {
    let sizes = world.log.records.iter().map(|record| match record {
        ClaimRecord::Batch { entries, .. } => entries.len(),
        _ => 0,
    });
    sizes.max().unwrap_or(0)
}

/// Callers that ended in a way.
pub fn count(world: &World, end: End) -> usize {
    let ended = world.callers.iter().map(|caller| &caller.state);
    ended
        .filter(|state| **state == CallerState::Ended(end))
        .count()
}

/// Every caller has its answer.
pub fn all_ended(world: &World) {
    for (number, caller) in world.callers.iter().enumerate() {
        assert!(caller.has_ended(), "caller {number}: {:?}", caller.state);
    }
}
