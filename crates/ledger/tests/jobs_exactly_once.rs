//! Concurrent owners read at different speeds, commit samples for the same slot and append a commit
//! twice, as a retried append does. The test guards against a trainer that gets a sample twice or
//! not at all, gets a sample beyond the staleness bound, or gets different samples from different
//! nodes.

mod support;

use std::collections::BTreeMap;

use havenstage_ledger::jobs::{JobEffect, JobLedger, JobSnapshot, OpenSlot};
use havenstage_types::ids::{LogOffset, SampleId, StepNumber};
use havenstage_types::job::{DeliveredSample, JobRecord};
use proptest::prelude::*;
use support::{
    acknowledged, committed, fixed_cases, job, published, rules, rules_record, sample, tail,
};

const NODES: usize = 3;
const SETTLE_ROUNDS: usize = 40;

#[derive(Debug, Clone)]
enum Step {
    /// A node produces a sample for a slot that it sees as open and appends it once or twice.
    Commit {
        node: usize,
        selected: usize,
        age: u64,
        spread: u64,
        twice: bool,
    },
    Publish,
    ChangeRules {
        revision: u64,
        bound: u64,
    },
    Read {
        node: usize,
        records: usize,
    },
    Train {
        node: usize,
        max: usize,
        answer_lost: bool,
    },
    Restart {
        from: usize,
        to: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    prop_oneof![
        6 => (node.clone(), any::<usize>(), 0..4_u64, 0..4_u64, any::<bool>()).prop_map(
            |(node, selected, age, spread, twice)| Step::Commit { node, selected, age, spread, twice }
        ),
        2 => Just(Step::Publish),
        1 => (1..4_u64, 0..4_u64)
            .prop_map(|(revision, bound)| Step::ChangeRules { revision, bound }),
        6 => (node.clone(), 1..6_usize)
            .prop_map(|(node, records)| Step::Read { node, records }),
        4 => (node.clone(), 1..4_usize, any::<bool>())
            .prop_map(|(node, max, answer_lost)| Step::Train { node, max, answer_lost }),
        1 => (node.clone(), node).prop_map(|(from, to)| Step::Restart { from, to }),
    ]
}

struct Simulation {
    log: Vec<JobRecord>,
    nodes: Vec<JobLedger>,
    version: u64,
    attempts: u64,
    training: StepNumber,
    cursor: LogOffset,
    received: Vec<DeliveredSample>,
}

impl Simulation {
    fn new() -> Self {
        Self {
            log: vec![rules_record(1, rules())],
            nodes: vec![JobLedger::new(job()); NODES],
            version: 5,
            attempts: 0,
            training: StepNumber(0),
            cursor: LogOffset(0),
            received: Vec::new(),
        }
    }

    fn apply_step(&mut self, step: &Step) {
        match *step {
            Step::Commit {
                node,
                selected,
                age,
                spread,
                twice,
            } => {
                let slots: Vec<OpenSlot> = self.nodes[node].open_slots().collect();
                if !slots.is_empty() {
                    self.commit(slots[selected % slots.len()], age, spread, twice);
                }
            }
            Step::Publish => {
                self.version += 1;
                self.log.push(published(self.version));
            }
            Step::ChangeRules { revision, bound } => {
                let mut changed = rules();
                changed.staleness_bound = bound;
                self.log.push(rules_record(revision, changed));
            }
            Step::Read { node, records } => self.read(node, records),
            Step::Train {
                node,
                max,
                answer_lost,
            } => self.train(node, max, answer_lost),
            Step::Restart { from, to } => {
                self.nodes[to] = restore_from_snapshot_of(&self.nodes[from])
            }
        }
    }

    fn commit(&mut self, slot: OpenSlot, age: u64, spread: u64, twice: bool) {
        self.attempts += 1;
        let oldest = self.version - age;
        let newest = (oldest + spread).min(self.version);
        let produced = sample(slot.step.0, slot.index, self.attempts, [oldest, newest]);
        self.log.push(committed(produced.clone()));
        if twice {
            self.log.push(committed(produced));
        }
    }

    fn read(&mut self, node: usize, records: usize) {
        let ledger = &mut self.nodes[node];
        for (offset, record) in tail(&self.log, ledger.next_offset()).take(records) {
            ledger.apply(offset, record).unwrap();
        }
    }

    fn train(&mut self, node: usize, max: usize, answer_lost: bool) {
        let batch = self.nodes[node].deliver(self.training, self.cursor, max);
        if answer_lost {
            return;
        }
        self.received.extend(batch.samples);
        self.cursor = batch.next_cursor;
        if batch.step_complete && self.training < StepNumber(3) {
            self.log.push(acknowledged(self.training.0));
            self.log.push(acknowledged(self.training.0));
            self.training.0 += 1;
            self.cursor = LogOffset(0);
        }
    }

    /// Runs the job to completion without further faults.
    fn settle(&mut self) {
        for _ in 0..SETTLE_ROUNDS {
            self.read(0, usize::MAX);
            let slots: Vec<OpenSlot> = self.nodes[0].open_slots().collect();
            for slot in slots {
                self.commit(slot, 0, 0, false);
            }
            self.read(0, usize::MAX);
            self.train(0, usize::MAX, false);
        }
        for node in 0..NODES {
            self.read(node, usize::MAX);
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        prop_assert!(self.nodes[0].is_complete());
        for node in &self.nodes {
            prop_assert_eq!(node, &self.nodes[0]);
        }
        let mut times: BTreeMap<SampleId, u32> = BTreeMap::new();
        for delivered in &self.received {
            *times.entry(delivered.sample.id.clone()).or_default() += 1;
        }
        prop_assert_eq!(times.len(), 12);
        prop_assert!(times.values().all(|count| *count == 1));
        self.check_received_is_what_was_committed()
    }

    /// Folds the log from the start, and determines the newest version independently of the ledger.
    fn check_received_is_what_was_committed(&self) -> Result<(), TestCaseError> {
        let mut ledger = JobLedger::new(job());
        let mut newest = 0;
        let mut accepted = BTreeMap::new();
        for (offset, record) in tail(&self.log, LogOffset(0)) {
            newest = newest.max(newest_version_in(record));
            let effect = ledger.apply(offset, record).unwrap();
            let JobRecord::SampleCommitted(produced) = record else {
                continue;
            };
            if let JobEffect::Committed(id) = effect {
                let bound = ledger.rules().map_or(0, |rules| rules.staleness_bound);
                let oldest = produced.segments.oldest().map_or(0, |version| version.0);
                prop_assert!(oldest + bound >= newest, "{} is too stale", id);
                prop_assert!(accepted.insert(id, (offset, produced.attempt)).is_none());
            }
        }
        for delivered in &self.received {
            let expected = accepted.get(&delivered.sample.id);
            let found = (delivered.offset, delivered.sample.attempt);
            prop_assert_eq!(expected, Some(&found));
        }
        Ok(())
    }
}

fn newest_version_in(record: &JobRecord) -> u64 {
    match record {
        JobRecord::VersionPublished(version) => version.0,
        JobRecord::SampleCommitted(produced) => {
            let versions = produced.segments.0.iter().map(|segment| segment.version.0);
            versions.max().unwrap_or(0)
        }
        _ => 0,
    }
}

/// Restores a ledger from its encoded snapshot.
fn restore_from_snapshot_of(ledger: &JobLedger) -> JobLedger {
    let bytes = postcard::to_stdvec(&ledger.snapshot()).unwrap();
    let snapshot: JobSnapshot = postcard::from_bytes(&bytes).unwrap();
    JobLedger::from_snapshot(snapshot)
}

proptest! {
    #![proptest_config(fixed_cases(1_000))]

    #[test]
    fn trainer_gets_each_sample_exactly_once(steps in prop::collection::vec(step(), 1..120)) {
        let mut simulation = Simulation::new();
        for step in &steps {
            simulation.apply_step(step);
        }
        simulation.settle();
        simulation.check()?;
    }
}
