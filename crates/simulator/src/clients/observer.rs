//! Reads a job's stream from outside the nodes and records which samples fill their slots. It
//! shares no code with the nodes' ledger.

use std::collections::{BTreeMap, BTreeSet};

use havenstage_history::event::engine::AttemptLabel;
use havenstage_history::event::trainer::{JobStreamCommitObserved, SampleReceived};
use havenstage_history::event::{EventBody, EventSource, HistoryEvent};
use havenstage_types::codec;
use havenstage_types::ids::{JobName, LogOffset, SampleId, VersionNumber, streams};
use havenstage_types::job::{JobRecord, Sample};

use crate::world::World;

/// Records what the stream of `job` holds. A sample counts if it is the first for its slot within
/// the bound; samples that a trainer received are recorded in any case, so that a wrong delivery
/// is seen.
pub fn observe(world: &World, job: &JobName, staleness_bound: u64) {
    let events = world.recorder().events();
    let mut observer = Observer {
        delivered: delivered(&events),
        filled: BTreeMap::new(),
        newest: VersionNumber(0),
        staleness_bound,
        observed: Vec::new(),
    };
    let records = world.log().records(&streams::job(job));
    for (offset, payload) in records.iter().enumerate() {
        let Ok(record) = codec::decode::<JobRecord>(payload) else {
            continue;
        };
        observer.take(LogOffset(offset as u64), &record);
    }
    for body in observer.observed {
        world.recorder().record(EventSource::Platform, body);
    }
}

type Delivery<'events> = (&'events SampleId, &'events AttemptLabel);

struct Observer<'events> {
    delivered: BTreeSet<Delivery<'events>>,
    filled: BTreeMap<SampleId, AttemptLabel>,
    newest: VersionNumber,
    staleness_bound: u64,
    observed: Vec<EventBody>,
}

impl Observer<'_> {
    fn take(&mut self, offset: LogOffset, record: &JobRecord) {
        match record {
            JobRecord::VersionPublished(version) => self.newest = self.newest.max(*version),
            JobRecord::SampleCommitted(sample) => self.take_sample(offset, sample),
            JobRecord::SampleDropped(_)
            | JobRecord::StepAcknowledged { .. }
            | JobRecord::RulesChanged { .. } => {}
        }
    }

    fn take_sample(&mut self, offset: LogOffset, sample: &Sample) {
        let attempt = AttemptLabel(sample.attempt.to_string());
        let repeated = self.filled.get(&sample.id) == Some(&attempt);
        let fills = self.is_fresh(sample) && !self.filled.contains_key(&sample.id);
        let is_delivered = self.delivered.contains(&(&sample.id, &attempt));
        if repeated || !(fills || is_delivered) {
            return;
        }
        self.filled.insert(sample.id.clone(), attempt.clone());
        let observed = JobStreamCommitObserved {
            sample: sample.id.clone(),
            attempt,
            offset,
            newest: self.newest,
        };
        self.observed
            .push(EventBody::JobStreamCommitObserved(observed));
    }

    fn is_fresh(&self, sample: &Sample) -> bool {
        let oldest = sample.segments.oldest();
        oldest.is_some_and(|oldest| oldest.0 + self.staleness_bound >= self.newest.0)
    }
}

fn delivered(events: &[HistoryEvent]) -> BTreeSet<Delivery<'_>> {
    let received = events.iter().filter_map(|event| match &event.body {
        EventBody::SampleReceived(received) => Some(received),
        _ => None,
    });
    received
        .map(|received: &SampleReceived| (&received.sample, &received.attempt))
        .collect()
}
