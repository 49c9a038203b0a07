//! Racing attempts that claim, abandon, crash and have records appended late, twice or never: no
//! key is ever dispatched twice, and readers at the same offset agree.

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
    Ask { attempt: u64, reader: usize },
    Land { pick: usize, again_later: bool },
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
            .prop_map(|(attempt, reader)| Step::Ask { attempt, reader }),
        6 => (any::<usize>(), any::<bool>())
            .prop_map(|(pick, again_later)| Step::Land { pick, again_later }),
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
struct World {
    log: Vec<ClaimRecord>,
    in_flight: Vec<ClaimRecord>,
    readers: [ClaimLedger; READERS],
    gone: BTreeSet<u64>,
    told_off: BTreeSet<u64>,
    dispatched: BTreeSet<u64>,
    dispatches: BTreeMap<u64, u32>,
}

impl World {
    fn take(&mut self, step: &Step) {
        match *step {
            Step::Ask { attempt, reader } => self.ask(attempt, reader),
            Step::Land { pick, again_later } => self.land(pick, again_later),
            Step::Read { reader, records } => self.read(reader, records),
            Step::Poll { attempt, reader } => self.poll(attempt, reader),
            Step::Abandon { attempt } => self.abandon(attempt),
            Step::Finish { attempt } => self.finish(attempt),
            Step::Crash { attempt } => {
                self.gone.insert(attempt);
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

    fn ask(&mut self, number: u64, reader: usize) {
        if !self.gone.contains(&number) && self.verdict(number, reader).is_none() {
            self.in_flight.push(claim(number % KEYS, number));
        }
    }

    fn land(&mut self, pick: usize, again_later: bool) {
        if self.in_flight.is_empty() {
            return;
        }
        let pick = pick % self.in_flight.len();
        self.log.push(self.in_flight[pick].clone());
        if !again_later {
            self.in_flight.remove(pick);
        }
    }

    fn read(&mut self, reader: usize, records: usize) {
        let ledger = &mut self.readers[reader];
        for (offset, record) in tail(&self.log, ledger.next_offset()).take(records) {
            ledger.apply(offset, record).unwrap();
        }
    }

    fn poll(&mut self, number: u64, reader: usize) {
        if self.gone.contains(&number) {
            return;
        }
        match self.verdict(number, reader) {
            Some(ClaimVerdict::Granted) => self.dispatch(number),
            Some(ClaimVerdict::HeldBy(_)) if self.has_read_claim(number, reader) => {
                self.gone.insert(number);
                self.told_off.insert(number);
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
        if !self.dispatched.contains(&number) && self.gone.insert(number) {
            self.in_flight.push(abandon(number % KEYS, number));
        }
    }

    fn finish(&mut self, number: u64) {
        if self.dispatched.contains(&number) && self.gone.insert(number) {
            self.in_flight
                .push(outcome(number % KEYS, number, failed()));
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        for (name, runs) in &self.dispatches {
            prop_assert!(*runs <= 1, "key {name} was dispatched {runs} times");
        }
        for reader in &self.readers {
            for number in &self.told_off {
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
        let mut world = World::default();
        for step in &steps {
            world.take(step);
            world.check()?;
        }
        world.check_readers_agree()?;
    }
}
