//! Calls and executions of a history, and which execution was made for which call.

use std::collections::{BTreeMap, BTreeSet};

use havenstage_types::ids::{CallerName, IdempotencyKey, RequestId};

use super::fault_index::FaultIndex;
use crate::event::caller::{
    BrokenCause, CallAnswered, CallBroken, CallId, CallRefused, CallSent, ToldExecution,
};
use crate::event::engine::{ExecutionEnded, ExecutionId, ExecutionStarted, Subject};
use crate::event::{EventBody, HistoryEvent};
use crate::fingerprint::Fingerprint;

/// A part of an event together with its place in the history.
#[derive(Debug, Clone, Copy)]
pub(super) struct Seen<T> {
    /// Index of the event.
    pub index: usize,
    /// Time of the event.
    pub at_ms: u64,
    /// The part.
    pub what: T,
}

impl<T> Seen<T> {
    /// Time and index: orders any two events of a history.
    pub fn position(&self) -> (u64, usize) {
        (self.at_ms, self.index)
    }
}

/// How a call ended.
#[derive(Debug, Clone, Copy)]
pub(super) enum CallEnding<'h> {
    Answered(&'h CallAnswered),
    Refused(&'h CallRefused),
    Broken(&'h CallBroken),
}

impl<'h> CallEnding<'h> {
    pub fn call(&self) -> &'h CallId {
        match self {
            Self::Answered(answered) => &answered.call,
            Self::Refused(refused) => &refused.call,
            Self::Broken(broken) => &broken.call,
        }
    }

    fn request(&self) -> Option<&'h RequestId> {
        match self {
            Self::Answered(answered) => answered.request.as_ref(),
            Self::Refused(refused) => refused.request.as_ref(),
            Self::Broken(broken) => broken.request.as_ref(),
        }
    }
}

/// One call and all that its caller saw of it.
#[derive(Debug, Clone)]
pub(super) struct Call<'h> {
    pub sent: Seen<&'h CallSent>,
    /// Endings in order of time; more than one is a fault of the system.
    pub endings: Vec<Seen<CallEnding<'h>>>,
    pub owner: LogicalRequest<'h>,
}

impl<'h> Call<'h> {
    /// The first ending.
    pub fn ending(&self) -> Option<Seen<CallEnding<'h>>> {
        self.endings.first().copied()
    }

    /// Identifier the system gave the request, if the caller learned it.
    pub fn request(&self) -> Option<&'h RequestId> {
        self.endings.iter().find_map(|ending| ending.what.request())
    }

    /// Whether the caller knows that the request did not run: it was told so, or never sent it.
    pub fn is_told_not_run(&self) -> bool {
        self.endings.iter().any(|ending| match ending.what {
            CallEnding::Refused(refused) => refused.execution == ToldExecution::NotRun,
            CallEnding::Broken(broken) => broken.cause == BrokenCause::NotConnected,
            CallEnding::Answered(_) => false,
        })
    }

    /// Indices of the events of the call.
    pub fn events(&self) -> Vec<usize> {
        let endings = self.endings.iter().map(|ending| ending.index);
        std::iter::once(self.sent.index).chain(endings).collect()
    }
}

/// What a caller regards as one request, however often it calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum LogicalRequest<'h> {
    /// All calls under one idempotency key.
    Key(&'h IdempotencyKey),
    /// All calls under one request number of a caller that gave no key.
    Numbered(&'h CallerName, u64),
}

impl<'h> LogicalRequest<'h> {
    fn of(sent: &'h CallSent) -> Self {
        match &sent.idempotency_key {
            Some(key) => Self::Key(key),
            None => Self::Numbered(&sent.call.caller, sent.call.request),
        }
    }
}

/// One execution on an engine.
#[derive(Debug, Clone)]
pub(super) struct Execution<'h> {
    pub started: Seen<&'h ExecutionStarted>,
    pub ended: Option<Seen<&'h ExecutionEnded>>,
    /// Logical request it was made for; `None` for samples and where it cannot be told.
    pub owner: Option<LogicalRequest<'h>>,
}

impl Execution<'_> {
    /// Indices of the events of the execution.
    pub fn events(&self) -> Vec<usize> {
        let ended = self.ended.map(|ended| ended.index);
        std::iter::once(self.started.index).chain(ended).collect()
    }
}

/// A history, arranged for the checks.
#[derive(Debug)]
pub(super) struct HistoryIndex<'h> {
    pub events: &'h [HistoryEvent],
    pub calls: BTreeMap<&'h CallId, Call<'h>>,
    pub executions: BTreeMap<&'h ExecutionId, Execution<'h>>,
    pub faults: FaultIndex,
    /// Time of the last event.
    pub end_ms: u64,
    by_subject: BTreeMap<&'h Subject, Vec<&'h ExecutionId>>,
    by_owner: BTreeMap<LogicalRequest<'h>, Vec<&'h ExecutionId>>,
}

impl<'h> HistoryIndex<'h> {
    /// Arranges `events`.
    pub fn new(events: &'h [HistoryEvent]) -> Self {
        let mut history = Self {
            events,
            calls: BTreeMap::new(),
            executions: BTreeMap::new(),
            faults: FaultIndex::new(events),
            end_ms: events.iter().map(|event| event.at_ms).max().unwrap_or(0),
            by_subject: BTreeMap::new(),
            by_owner: BTreeMap::new(),
        };
        history.collect_beginnings();
        history.collect_endings();
        history.assign_owners();
        history
    }

    /// All events whose body `select` picks, with their places.
    pub fn select<T>(
        &self,
        select: impl Fn(&'h EventBody) -> Option<T>,
    ) -> impl Iterator<Item = Seen<T>> {
        self.events
            .iter()
            .enumerate()
            .filter_map(move |(index, event)| {
                select(&event.body).map(|what| Seen {
                    index,
                    at_ms: event.at_ms,
                    what,
                })
            })
    }

    /// Executions for a request id or a sample, in order of time.
    pub fn executions_for(&self, subject: &Subject) -> Vec<&Execution<'h>> {
        self.executions_of(self.by_subject.get(subject))
    }

    /// Executions for all calls of a logical request, in order of time.
    pub fn executions_owned_by(&self, owner: LogicalRequest<'h>) -> Vec<&Execution<'h>> {
        self.executions_of(self.by_owner.get(&owner))
    }

    /// All calls, by the logical request they belong to.
    pub fn calls_by_owner(&self) -> BTreeMap<LogicalRequest<'h>, Vec<&Call<'h>>> {
        let mut by_owner: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for call in self.calls.values() {
            by_owner.entry(call.owner).or_default().push(call);
        }
        by_owner
    }

    /// Number of executions for live requests that cannot be assigned to any call.
    pub fn unassigned_executions(&self) -> usize {
        let unassigned = self.executions.values().filter(|execution| {
            let subject = &execution.started.what.subject;
            execution.owner.is_none() && matches!(subject, Subject::Request(_))
        });
        unassigned.count()
    }

    fn executions_of(&self, ids: Option<&Vec<&'h ExecutionId>>) -> Vec<&Execution<'h>> {
        let mut executions: Vec<_> = ids
            .into_iter()
            .flatten()
            .filter_map(|id| self.executions.get(*id))
            .collect();
        executions.sort_by_key(|execution| execution.started.position());
        executions
    }

    fn collect_beginnings(&mut self) {
        for (index, event) in self.events.iter().enumerate() {
            let at_ms = event.at_ms;
            match &event.body {
                EventBody::CallSent(sent) => {
                    self.calls.entry(&sent.call).or_insert_with(|| Call {
                        sent: Seen {
                            index,
                            at_ms,
                            what: sent,
                        },
                        endings: Vec::new(),
                        owner: LogicalRequest::of(sent),
                    });
                }
                EventBody::ExecutionStarted(started) => {
                    self.executions
                        .entry(&started.execution)
                        .or_insert_with(|| Execution {
                            started: Seen {
                                index,
                                at_ms,
                                what: started,
                            },
                            ended: None,
                            owner: None,
                        });
                }
                _ => {}
            }
        }
    }

    fn collect_endings(&mut self) {
        for (index, event) in self.events.iter().enumerate() {
            let at_ms = event.at_ms;
            if let EventBody::ExecutionEnded(ended) = &event.body {
                if let Some(execution) = self.executions.get_mut(&ended.execution) {
                    execution.ended.get_or_insert(Seen {
                        index,
                        at_ms,
                        what: ended,
                    });
                }
            } else if let Some(ending) = call_ending(&event.body)
                && let Some(call) = self.calls.get_mut(ending.call())
            {
                call.endings.push(Seen {
                    index,
                    at_ms,
                    what: ending,
                });
            }
        }
        for call in self.calls.values_mut() {
            call.endings.sort_by_key(Seen::position);
        }
    }

    /// Finds for each execution the logical request it was made for: by the request id, if a
    /// caller learned it, and else by the prompt, if that belongs to one logical request alone.
    fn assign_owners(&mut self) {
        let mut by_request = BTreeMap::new();
        let mut by_prompt: BTreeMap<Fingerprint, BTreeSet<LogicalRequest<'h>>> = BTreeMap::new();
        for call in self.calls.values() {
            if let Some(request) = call.request() {
                by_request.insert(request, call.owner);
            }
            let owners = by_prompt.entry(call.sent.what.prompt).or_default();
            owners.insert(call.owner);
        }
        for (id, execution) in &mut self.executions {
            let started = execution.started.what;
            self.by_subject
                .entry(&started.subject)
                .or_default()
                .push(id);
            let Subject::Request(request) = &started.subject else {
                continue;
            };
            let only_owner = by_prompt.get(&started.prompt).filter(|set| set.len() == 1);
            execution.owner = by_request
                .get(request)
                .copied()
                .or_else(|| only_owner.and_then(|set| set.first().copied()));
            if let Some(owner) = execution.owner {
                self.by_owner.entry(owner).or_default().push(id);
            }
        }
    }
}

/// The ending of a call that an event tells of, if it does.
pub(super) fn call_ending(body: &EventBody) -> Option<CallEnding<'_>> {
    match body {
        EventBody::CallAnswered(answered) => Some(CallEnding::Answered(answered)),
        EventBody::CallRefused(refused) => Some(CallEnding::Refused(refused)),
        EventBody::CallBroken(broken) => Some(CallEnding::Broken(broken)),
        _ => None,
    }
}
