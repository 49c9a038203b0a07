//! A history of any size that exercises and keeps all nine promises.

use havenstage_history::event::EventBody;
use havenstage_history::event::caller::{BrokenCause, ToldExecution};
use havenstage_history::event::engine::{
    BackEndLeaving, EngineVersionCurrent, ExecutionOutcome, LeavingOrigin, Subject,
};
use havenstage_history::event::fault::{FaultBegan, FaultKind};
use havenstage_history::event::node::NodeStarted;
use havenstage_history::event::operator::{ChangeInForce, ChangeOutcome, VersionPublished};
use havenstage_history::event::trainer::{
    JobDrained, JobStreamCommitObserved, StepAcknowledged, StepReportedComplete,
};
use havenstage_types::ids::{
    CallerName, ChangeId, EngineName, JobName, LogOffset, NodeId, Revision, StepNumber,
    TrainerName, VersionNumber,
};

use super::{History, NODE, Run, attempt, found, model, sample};

pub const STOPPING_NODE: NodeId = NodeId(2);
pub const CUT_NODE: NodeId = NodeId(3);
const STEP_MS: u64 = 10_000;

/// Sizes of a good history.
#[derive(Debug, Clone)]
pub struct Sizes {
    pub rounds_of_calls: u64,
    pub steps: u64,
    pub samples_per_step: u32,
    pub changes: u64,
}

pub fn good(sizes: &Sizes) -> History {
    let mut history = History::default();
    for node in [NODE, STOPPING_NODE, CUT_NODE] {
        let machine = format!("machine-{node}");
        history.push(0, EventBody::NodeStarted(NodeStarted { node, machine }));
    }
    for round in 0..sizes.rounds_of_calls {
        calls(&mut history, round);
    }
    for step in 0..sizes.steps {
        training_step(&mut history, step, sizes.samples_per_step);
    }
    let drained = JobDrained {
        job: JobName::new("tono"),
        steps: sizes.steps,
    };
    history.push(500_000, EventBody::JobDrained(drained));
    changes(&mut history, sizes.changes);
    leaving_back_end(&mut history);
    planned_stop(&mut history);
    history.pass_all_deadlines();
    history
}

/// Five logical requests: answered, answered at the second call, refused and then answered,
/// unknown, and resumed on a second engine.
fn calls(history: &mut History, round: u64) {
    let start_ms = 20_000 + round * 1_000;
    let first = round * 10;
    let tokens = [11, 12, 13];

    history.sent(start_ms, first, 1, None);
    history.run(&Run::of_request(first, first, start_ms + 5, start_ms + 50));
    history.answered(start_ms + 60, first, 1, &tokens, &[(1, 3)]);

    let lost = first + 1;
    let key = format!("notice-{lost}");
    history.sent_to(CUT_NODE, start_ms, lost, 1, Some(&key));
    let fault_kind = FaultKind::CallerCut {
        caller: CallerName::new("portal"),
        node: CUT_NODE,
    };
    let began = FaultBegan {
        fault: round,
        fault_kind,
    };
    history.push(start_ms + 20, EventBody::FaultBegan(began));
    history.run(&Run::of_request(lost, lost, start_ms + 5, start_ms + 50));
    history.broken(start_ms + 25, lost, 1, BrokenCause::Reset);
    history.sent(start_ms + 70, lost, 2, Some(&key));
    history.answered(start_ms + 90, lost, 2, &tokens, &[(1, 3)]);

    let full = first + 2;
    history.sent(start_ms, full, 1, None);
    history.refused(start_ms + 5, full, 1, "overloaded", ToldExecution::NotRun);
    history.sent(start_ms + 100, full, 2, None);
    let mut retry = Run::of_request(full, full, start_ms + 105, start_ms + 150);
    retry.subject = Subject::Request(super::request_id(full, 2));
    history.run(&retry);
    history.answered(start_ms + 160, full, 2, &tokens, &[(1, 3)]);

    let crashed = first + 3;
    let key = format!("notice-{crashed}");
    history.sent(start_ms, crashed, 1, Some(&key));
    let mut run = Run::of_request(crashed, crashed, start_ms + 5, start_ms + 50);
    run.outcome = ExecutionOutcome::Crashed;
    history.run(&run);
    history.refused(
        start_ms + 60,
        crashed,
        1,
        "engine_failed",
        ToldExecution::Unknown,
    );

    resumed_call(history, first + 4, start_ms);
}

fn resumed_call(history: &mut History, request: u64, start_ms: u64) {
    history.sent(start_ms, request, 1, None);
    let mut run = Run::of_request(request, request, start_ms + 5, start_ms + 50);
    run.outcome = ExecutionOutcome::Crashed;
    history.run(&run);
    let mut rest = Run::of_request(request, request + 1_000, start_ms + 60, start_ms + 90);
    rest.engine = "e2";
    rest.resumed = &[11, 12];
    rest.produced = &[(2, 23), (2, 24)];
    history.run(&rest);
    let versions = [(1, 2), (2, 2)];
    history.answered(start_ms + 95, request, 1, &[11, 12, 23, 24], &versions);
}

/// A step whose samples hold its own version and, from step 1 on, the one before. The last sample
/// is delivered twice at the same offset, as after a lost answer.
fn training_step(history: &mut History, step: u64, samples_per_step: u32) {
    let start_ms = 100_000 + step * STEP_MS;
    let newest = step + 1;
    let oldest = step.max(1);
    let version = VersionNumber(newest);
    let published = VersionPublished {
        model: model(),
        version,
    };
    history.push(start_ms, EventBody::VersionPublished(published));
    for version in [oldest, newest] {
        let current = EngineVersionCurrent {
            engine: EngineName::new("trainer-engine"),
            boot: 7,
            version: VersionNumber(version),
        };
        history.push(start_ms + 100, EventBody::EngineVersionCurrent(current));
    }
    for index in 0..samples_per_step {
        let sequence = 50_000 + step * 100 + u64::from(index);
        let token = sequence as u32;
        let produced = [(oldest, token), (oldest, 5), (newest, 6)];
        let id = sample(step, index);
        let mut run = Run::of_request(0, sequence, start_ms + 200, start_ms + 900);
        run.engine = "trainer-engine";
        run.subject = Subject::Sample(id.clone());
        run.produced = &produced;
        history.run(&run);
        let commit = JobStreamCommitObserved {
            sample: id.clone(),
            attempt: attempt(sequence),
            offset: LogOffset(sequence),
            newest: version,
        };
        history.push(start_ms + 950, EventBody::JobStreamCommitObserved(commit));
        history.received(start_ms + 1_000, &id, sequence, sequence, &produced);
        if index + 1 == samples_per_step {
            history.received(start_ms + 1_100, &id, sequence, sequence, &produced);
        }
    }
    let trainer = TrainerName::new("trainer-0");
    let job = JobName::new("tono");
    let step = StepNumber(step);
    let reported = StepReportedComplete {
        trainer: trainer.clone(),
        job: job.clone(),
        step,
    };
    history.push(start_ms + 1_200, EventBody::StepReportedComplete(reported));
    let acknowledged = StepAcknowledged { trainer, job, step };
    history.push(start_ms + 1_300, EventBody::StepAcknowledged(acknowledged));
}

/// Changes one after the other, each beside a rival that conflicts, and reads at two nodes.
fn changes(history: &mut History, count: u64) {
    let mut base = None;
    for change in 1..=count {
        let start_ms = 200_000 + change * 10_000;
        let name = format!("change-{change}");
        let rival = format!("rival-{change}");
        let revision = change * 10;
        history.proposed(start_ms, &name, base, &name);
        history.proposed(start_ms, &rival, base, &rival);
        history.change_answered(start_ms + 5, &name, ChangeOutcome::Unknown);
        history.proposed(start_ms + 10, &name, base, &name);
        let accepted = ChangeOutcome::Accepted(Revision(revision));
        history.change_answered(start_ms + 20, &name, accepted);
        history.change_answered(start_ms + 20, &rival, ChangeOutcome::Conflict);
        if change % 2 == 0 {
            let told = ChangeInForce {
                change: ChangeId::new(&name),
                revision: Revision(revision),
            };
            history.push(start_ms + 500, EventBody::ChangeInForce(told));
        }
        for node in [NODE, CUT_NODE] {
            history.read(start_ms + 6_000, node, found(revision, &name));
        }
        base = Some(revision);
    }
}

fn leaving_back_end(history: &mut History) {
    let leaving = BackEndLeaving {
        engine: EngineName::new("e9"),
        origin: LeavingOrigin::Operator,
    };
    history.push(10_000, EventBody::BackEndLeaving(leaving));
    history.sent(12_000, 9_001, 1, None);
    let mut run = Run::of_request(9_001, 9_001, 12_500, 14_000);
    run.engine = "e9";
    history.run(&run);
    history.answered(14_010, 9_001, 1, &[11, 12, 13], &[(1, 3)]);
}

fn planned_stop(history: &mut History) {
    history.sent_to(STOPPING_NODE, 15_000, 9_002, 1, None);
    history.run(&Run::of_request(9_002, 9_002, 15_010, 18_000));
    history.stop_begun(16_000, STOPPING_NODE);
    history.sent_to(STOPPING_NODE, 16_100, 9_003, 1, None);
    history.refused(16_110, 9_003, 1, "stopping", ToldExecution::NotRun);
    history.answered(18_010, 9_002, 1, &[11, 12, 13], &[(1, 3)]);
    history.exited(18_100, STOPPING_NODE);
}
