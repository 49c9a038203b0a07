//! Attempts claim the same keys concurrently, abandon them or crash, and their records are appended
//! late, more than once or never. The test guards against a key that is dispatched twice and
//! against readers that disagree at the same offset.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use havenstage_ledger::claims::ClaimLedger;
use havenstage_types::claim::{ClaimRecord, ClaimVerdict};
use havenstage_types::ids::LogOffset;
use proptest::prelude::*;
use support::{FINGERPRINT, abandon, attempt, claim, failed, fixed_cases, key, outcome, tail};

const KEYS: u64 = 2;
const ATTEMPTS: u64 = 6;
const READERS: usize = 2;

#[derive(Debug, Clone)]
enum Step {
    RequestClaim { attempt: u64, reader: usize },
    AppendInFlight { selected: usize, append_again: bool },
    Read { reader: usize, records: usize },
    Poll { attempt: u64, reader: usize },
    Abandon { attempt: u64 },
    Finish { attempt: u64 },
    Crash { attempt: u64 },
    CopyReader { from: usize, to: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let attempt = 0..ATTEMPTS;
    let reader = 0..READERS;
    prop_oneof![
        3 => (attempt.clone(), reader.clone())
            .prop_map(|(attempt, reader)| Step::RequestClaim { attempt, reader }),
        6 => (any::<usize>(), any::<bool>())
            .prop_map(|(selected, append_again)| Step::AppendInFlight { selected, append_again }),
        6 => (reader.clone(), 1..4_usize)
            .prop_map(|(reader, records)| Step::Read { reader, records }),
        6 => (attempt.clone(), reader.clone())
            .prop_map(|(attempt, reader)| Step::Poll { attempt, reader }),
        2 => attempt.clone().prop_map(|attempt| Step::Abandon { attempt }),
        1 => attempt.clone().prop_map(|attempt| Step::Finish { attempt }),
        1 => attempt.prop_map(|attempt| Step::Crash { attempt }),
        1 => (reader.clone(), reader).prop_map(|(from, to)| Step::CopyReader { from, to }),
    ]
}

#[derive(Default)]
struct Simulation {
    log: Vec<ClaimRecord>,
    in_flight: Vec<ClaimRecord>,
    readers: [ClaimLedger; READERS],
    /// Attempts that take no further action.
    stopped: BTreeSet<u64>,
    /// Attempts that read back their own claim and found the key held by another.
    rejected: BTreeSet<u64>,
    dispatched: BTreeSet<u64>,
    dispatches: BTreeMap<u64, u32>,
}

impl Simulation {
    fn apply_step(&mut self, step: &Step) {
        match *step {
            Step::RequestClaim { attempt, reader } => self.request_claim(attempt, reader),
            Step::AppendInFlight {
                selected,
                append_again,
            } => self.append_in_flight(selected, append_again),
            Step::Read { reader, records } => self.read(reader, records),
            Step::Poll { attempt, reader } => self.poll(attempt, reader),
            Step::Abandon { attempt } => self.abandon(attempt),
            Step::Finish { attempt } => self.finish(attempt),
            Step::Crash { attempt } => {
                self.stopped.insert(attempt);
            }
            Step::CopyReader { from, to } => {
                let snapshot = self.readers[from].snapshot();
                self.readers[to] = ClaimLedger::from_snapshot(snapshot);
            }
        }
    }

    fn verdict(&self, number: u64, reader: usize) -> Option<ClaimVerdict> {
        self.readers[reader].verdict(&key(number % KEYS), attempt(number), FINGERPRINT)
    }

    fn request_claim(&mut self, number: u64, reader: usize) {
        if !self.stopped.contains(&number) && self.verdict(number, reader).is_none() {
            self.in_flight.push(claim(number % KEYS, number));
        }
    }

    fn append_in_flight(&mut self, selected: usize, append_again: bool) {
        if self.in_flight.is_empty() {
            return;
        }
        let selected = selected % self.in_flight.len();
        self.log.push(self.in_flight[selected].clone());
        if !append_again {
            self.in_flight.remove(selected);
        }
    }

    fn read(&mut self, reader: usize, records: usize) {
        let ledger = &mut self.readers[reader];
        for (offset, record) in tail(&self.log, ledger.next_offset()).take(records) {
            ledger.apply(offset, record).unwrap();
        }
    }

    fn poll(&mut self, number: u64, reader: usize) {
        if self.stopped.contains(&number) {
            return;
        }
        match self.verdict(number, reader) {
            Some(ClaimVerdict::Granted) => self.dispatch(number),
            Some(ClaimVerdict::HeldBy(_)) if self.has_read_claim(number, reader) => {
                self.stopped.insert(number);
                self.rejected.insert(number);
            }
            _ => {}
        }
    }

    fn dispatch(&mut self, number: u64) {
        if self.dispatched.insert(number) {
            *self.dispatches.entry(number % KEYS).or_default() += 1;
        }
    }

    fn has_read_claim(&self, number: u64, reader: usize) -> bool {
        let read = self.readers[reader].next_offset().0 as usize;
        self.log[..read].contains(&claim(number % KEYS, number))
    }

    fn abandon(&mut self, number: u64) {
        if !self.dispatched.contains(&number) && self.stopped.insert(number) {
            self.in_flight.push(abandon(number % KEYS, number));
        }
    }

    fn finish(&mut self, number: u64) {
        if self.dispatched.contains(&number) && self.stopped.insert(number) {
            self.in_flight
                .push(outcome(number % KEYS, number, failed()));
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        for (name, runs) in &self.dispatches {
            prop_assert!(*runs <= 1, "key {name} was dispatched {runs} times");
        }
        for reader in &self.readers {
            for number in &self.rejected {
                let holder = reader.holder(&key(number % KEYS));
                prop_assert_ne!(holder, Some(attempt(*number)));
            }
        }
        Ok(())
    }

    fn check_readers_agree(&self) -> Result<(), TestCaseError> {
        for reader in &self.readers {
            let mut fresh = ClaimLedger::default();
            let read = &self.log[..reader.next_offset().0 as usize];
            for (offset, record) in tail(read, LogOffset(0)) {
                fresh.apply(offset, record).unwrap();
            }
            prop_assert_eq!(&fresh, reader);
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(fixed_cases(2_000))]

    #[test]
    fn racing_attempts_run_at_most_once(steps in prop::collection::vec(step(), 1..120)) {
        let mut simulation = Simulation::default();
        for step in &steps {
            simulation.apply_step(step);
            simulation.check()?;
        }
        simulation.check_readers_agree()?;
    }
}
