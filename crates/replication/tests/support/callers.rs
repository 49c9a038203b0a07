//! Callers: each wants one request run at most once under a key it shares with others.

use havenstage_replication::ReplicaSettings;
use havenstage_types::claim::{Claim, ClaimCommand, ClaimOutcome, ClaimVerdict};
use havenstage_types::clock::Moment;
use havenstage_types::ids::{AttemptId, IdempotencyKey, NodeId, RequestId};
use havenstage_types::refusal::{Refusal, RefusalReason};

/// Something a caller wants recorded.
#[derive(Debug, Clone, PartialEq)]
pub struct Ask {
    pub command: ClaimCommand,
}

/// What it is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    Verdict(ClaimVerdict),
    Recorded,
    /// Nothing is known; perhaps the hinted node knows more.
    Failed(Option<NodeId>),
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerState {
    /// Claims the key until it is given up.
    Claiming { give_up_at: u64 },
    /// Dispatched at this time; its outcome is to be recorded.
    Completing { since: u64 },
    /// Gave up with a claim that may still arrive.
    Abandoning,
    /// Told that the request ran, or that nobody knows, or refused as not run.
    Ended(End),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Served,
    Done,
    Unknown,
    NotRun,
    /// The process of the caller died after dispatching.
    Crashed,
}

/// What a caller does after a reply or a timeout.
pub enum Next {
    AskAgain { after: u64 },
    Nothing,
}

/// A claimant as the node's at-most-once service behaves.
pub struct Caller {
    pub key: IdempotencyKey,
    pub state: CallerState,
    pub attempt: AttemptId,
    pub ask: u64,
    pub asked_at: u64,
    pub hint: Option<NodeId>,
    pub dispatched: Option<(AttemptId, u64)>,
    pub first_asked_at: u64,
    pub granted_after: Option<u64>,
    crashes: bool,
    settings: ReplicaSettings,
}

const PATIENCE_MS: u64 = 6_000;
const RETRY_MS: u64 = 150;
const HELD_POLL_MS: u64 = 400;

impl Caller {
    pub fn new(
        number: usize,
        key: u64,
        now: u64,
        crashes: bool,
        settings: ReplicaSettings,
    ) -> Self {
        Self {
            key: IdempotencyKey(format!("key-{key}")),
            state: CallerState::Claiming {
                give_up_at: now + PATIENCE_MS,
            },
            attempt: AttemptId {
                node: NodeId(1_000_000 + number as u64),
                sequence: 1,
            },
            ask: 0,
            asked_at: now,
            hint: None,
            dispatched: None,
            first_asked_at: now,
            granted_after: None,
            crashes,
            settings,
        }
    }

    pub fn has_ended(&self) -> bool {
        matches!(self.state, CallerState::Ended(_))
    }

    /// What it asks now.
    pub fn next_ask(&mut self, now: u64) -> Option<(u64, Ask)> {
        let key = self.key.clone();
        let attempt = self.attempt;
        let command = match &self.state {
            CallerState::Claiming { .. } => ClaimCommand::Claim(Claim {
                key,
                attempt,
                request: RequestId(format!("request-{attempt}")),
                fingerprint: 7,
            }),
            CallerState::Completing { .. } => ClaimCommand::Outcome {
                key,
                attempt,
                outcome: outcome(),
            },
            CallerState::Abandoning => ClaimCommand::Abandon { key, attempt },
            CallerState::Ended(_) => return None,
        };
        self.ask += 1;
        self.asked_at = now;
        Some((self.ask, Ask { command }))
    }

    /// Takes the reply to its latest ask; `Failed(None)` stands for no answer in time as well.
    pub fn take_reply(&mut self, now: u64, reply: Reply) -> Next {
        match reply {
            Reply::Verdict(verdict) => self.take_verdict(now, verdict),
            Reply::Recorded => {
                self.state = CallerState::Ended(match self.state {
                    CallerState::Abandoning => End::NotRun,
                    _ => End::Served,
                });
                Next::Nothing
            }
            Reply::Failed(hint) => {
                self.hint = hint;
                self.retry(now)
            }
        }
    }

    fn take_verdict(&mut self, now: u64, verdict: ClaimVerdict) -> Next {
        let CallerState::Claiming { give_up_at } = self.state else {
            return Next::Nothing;
        };
        match verdict {
            ClaimVerdict::Granted => self.use_grant(now),
            ClaimVerdict::HeldBy(_) if now >= give_up_at => self.end(End::Unknown),
            ClaimVerdict::HeldBy(_) => {
                self.attempt.sequence += 1;
                Next::AskAgain {
                    after: HELD_POLL_MS,
                }
            }
            ClaimVerdict::Abandoned => {
                self.attempt.sequence += 1;
                Next::AskAgain { after: RETRY_MS }
            }
            ClaimVerdict::Done(_) => self.end(End::Done),
            ClaimVerdict::Unknown => self.end(End::Unknown),
            ClaimVerdict::KeyReused => panic!("keys have one fingerprint"),
        }
    }

    fn use_grant(&mut self, now: u64) -> Next {
        let asked_at = Moment(self.asked_at);
        if Moment(now) >= asked_at + self.settings.grant_validity {
            return self.retry(now);
        }
        self.dispatched = Some((self.attempt, now));
        self.granted_after = Some(now - self.first_asked_at);
        if self.crashes {
            return self.end(End::Crashed);
        }
        self.state = CallerState::Completing { since: now };
        Next::AskAgain { after: 1_000 }
    }

    fn retry(&mut self, now: u64) -> Next {
        if let CallerState::Claiming { give_up_at } = self.state
            && now >= give_up_at
        {
            self.state = CallerState::Abandoning;
        }
        Next::AskAgain { after: RETRY_MS }
    }

    fn end(&mut self, end: End) -> Next {
        self.state = CallerState::Ended(end);
        Next::Nothing
    }
}

pub fn outcome() -> ClaimOutcome {
    ClaimOutcome::Failed(Refusal::unknown(RefusalReason::OutcomeUnknown))
}
