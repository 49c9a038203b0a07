//! Property tests: the limits, priorities and answers of admission hold after any sequence of
//! events.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use havenstage_placement::admission::{AdmissionAction, EngineAdmission};
use havenstage_types::clock::Moment;
use havenstage_types::decision::EngineStopReason;
use havenstage_types::ids::{AttemptId, NodeId};
use havenstage_types::peer::{AdmitRequest, Permit, ReleaseReason};
use havenstage_types::refusal::Execution;
use havenstage_types::resource::PriorityClass;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::{engine, limits, release, report};

const MAX_RUNNING: u32 = 6;
const NODES: u64 = 3;
const ATTEMPTS: u64 = 40;

#[derive(Debug, Clone)]
enum Event {
    Admit(AdmitRequest),
    Release(AttemptId, ReleaseReason),
    Tick,
    Report {
        boot: u64,
        kv_used: u64,
        leaving: bool,
    },
    Unreachable,
    Stop,
    Resume,
    DropHolder(NodeId),
}

fn attempts() -> impl Strategy<Value = AttemptId> {
    (1..=NODES, 1..=ATTEMPTS).prop_map(|(node, sequence)| AttemptId {
        node: NodeId(node),
        sequence,
    })
}

fn admit_requests() -> impl Strategy<Value = AdmitRequest> {
    let classes = prop_oneof![
        1 => Just(PriorityClass::Urgent),
        2 => Just(PriorityClass::Live),
        4 => Just(PriorityClass::Training),
    ];
    // Small requests exhaust the slots, large requests the KV budget.
    let tokens = prop_oneof![(1u32..100, 1u32..400), (1u32..2_000, 1u32..4_000)];
    (attempts(), classes, tokens, 0u64..20_000).prop_map(|(attempt, class, tokens, patience)| {
        AdmitRequest {
            attempt,
            engine: engine(),
            class,
            context_tokens: tokens.0,
            max_new_tokens: tokens.1,
            oldest_version: None,
            patience: Duration::from_millis(patience),
        }
    })
}

fn events() -> impl Strategy<Value = Event> {
    let ends = prop_oneof![
        8 => Just(ReleaseReason::Ended),
        1 => Just(ReleaseReason::EngineFailed),
        1 => Just(ReleaseReason::EngineUnreachable),
    ];
    let reports =
        (0u64..10, 0u64..12_000, 0u32..10).prop_map(|(boot, kv_used, leaving)| Event::Report {
            boot: boot / 9,
            kv_used,
            leaving: leaving == 0,
        });
    prop_oneof![
        20 => admit_requests().prop_map(Event::Admit),
        14 => (attempts(), ends).prop_map(|(attempt, end)| Event::Release(attempt, end)),
        3 => Just(Event::Tick),
        5 => reports,
        1 => Just(Event::Unreachable),
        1 => Just(Event::Stop),
        3 => Just(Event::Resume),
        1 => (1..=NODES).prop_map(|node| Event::DropHolder(NodeId(node))),
    ]
}

/// Model of the expected state, built only from the events and the returned actions.
struct Observer {
    admission: EngineAdmission,
    now: Moment,
    waiting: BTreeMap<AttemptId, PriorityClass>,
    held: BTreeMap<AttemptId, (Permit, PriorityClass)>,
    ended: BTreeSet<AttemptId>,
    preempted: BTreeSet<AttemptId>,
}

impl Observer {
    fn new() -> Self {
        Self {
            admission: EngineAdmission::new(engine(), limits(MAX_RUNNING)),
            now: Moment(0),
            waiting: BTreeMap::new(),
            held: BTreeMap::new(),
            ended: BTreeSet::new(),
            preempted: BTreeSet::new(),
        }
    }

    fn apply(&mut self, event: Event) {
        let now = self.now;
        let actions = match event {
            Event::Admit(request) => return self.admit(request),
            Event::Release(attempt, end) => {
                self.held.remove(&attempt);
                self.ended.insert(attempt);
                self.admission.release(now, &release(attempt, end))
            }
            Event::Tick => self.admission.tick(now),
            Event::Report {
                boot,
                kv_used,
                leaving,
            } => {
                let mut report = report(boot);
                report.kv_used_tokens = kv_used;
                report.leaving = leaving;
                self.admission.record_report(now, &report)
            }
            Event::Unreachable => self.admission.record_unreachable(now),
            Event::Stop => self.admission.stop(now, EngineStopReason::Operator),
            Event::Resume => self.admission.resume(now, EngineStopReason::Operator),
            Event::DropHolder(node) => {
                self.held.retain(|attempt, _| attempt.node != node);
                self.admission.drop_holder(now, node)
            }
        };
        self.observe(&actions);
    }

    fn admit(&mut self, request: AdmitRequest) {
        let attempt = request.attempt;
        let class = request.class;
        let held_permit = self.held.get(&attempt).map(|(permit, _)| permit.clone());
        let actions = self.admission.admit(self.now, request);
        if let Some(permit) = held_permit {
            assert_eq!(actions, [AdmissionAction::Grant(permit)]);
            return;
        }
        self.waiting.entry(attempt).or_insert(class);
        self.observe(&actions);
        if self.ended.contains(&attempt) {
            assert!(!self.held.contains_key(&attempt), "nobody would release it");
        }
    }

    fn observe(&mut self, actions: &[AdmissionAction]) {
        for action in actions {
            match action {
                AdmissionAction::Grant(permit) => self.grant(permit),
                AdmissionAction::Refuse {
                    attempt, refusal, ..
                } => {
                    assert_eq!(refusal.execution, Execution::NotRun);
                    assert!(
                        self.waiting.remove(attempt).is_some(),
                        "one answer per admission request"
                    );
                }
                AdmissionAction::Preempt { attempt } => {
                    assert_eq!(self.held[attempt].1, PriorityClass::Training);
                    assert!(self.preempted.insert(*attempt), "preemption requested once");
                }
                AdmissionAction::EngineStopped(_) | AdmissionAction::EngineResumed => {}
            }
        }
        self.check_limits();
    }

    fn grant(&mut self, permit: &Permit) {
        let class = self
            .waiting
            .remove(&permit.attempt)
            .expect("one answer per admission request");
        assert!(!self.admission.is_stopped());
        let most_urgent_waiting = self.waiting.values().min();
        assert!(most_urgent_waiting.is_none_or(|waiting| *waiting >= class));
        self.held.insert(permit.attempt, (permit.clone(), class));
    }

    fn check_limits(&self) {
        let training = self
            .held
            .values()
            .filter(|(_, class)| !class.is_live())
            .count();
        assert!(self.held.len() <= MAX_RUNNING as usize);
        assert!(training <= limits(MAX_RUNNING).training_slots() as usize);
        assert!(self.admission.kv_projected_tokens() <= self.admission.kv_budget_tokens());
        assert_eq!(self.admission.in_flight() as usize, self.held.len());
        assert_eq!(self.admission.queued() as usize, self.waiting.len());
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x5EED_0001),
        ..ProptestConfig::default()
    })]

    #[test]
    fn limits_priorities_and_answers_hold_after_any_events(
        events in prop::collection::vec((events(), 0u64..800), 1..120),
    ) {
        let mut observer = Observer::new();
        for (event, pause_ms) in events {
            observer.now = observer.now + Duration::from_millis(pause_ms);
            observer.apply(event);
        }
        // Every remaining request ends when its maximum wait passes or its holder dies.
        for node in 1..=NODES {
            observer.apply(Event::DropHolder(NodeId(node)));
        }
        observer.now = observer.now + Duration::from_secs(20);
        observer.apply(Event::Tick);
        prop_assert_eq!(observer.admission.load(), 0);
        prop_assert_eq!(observer.admission.kv_projected_tokens(), 0);
        prop_assert!(observer.waiting.is_empty());
    }
}
