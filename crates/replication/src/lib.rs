//! Replica groups: three nodes that agree on a sequence of entries, so that work goes on while the
//! platform's log is away.
//!
//! A group is named by a record of the log and lives until a later record replaces it; its members
//! never change. Inside a group this is Raft: elected terms, votes, appends that must match,
//! commitment by a majority. Everything is kept in memory only. That is sound because a process
//! that loses its memory also loses its identity, and with it its membership.
//!
//! What differs from plain Raft:
//!
//! * The leader moves committed entries to the log in batches; what the log has is committed by
//!   definition, and is the snapshot from which a member that has fallen behind goes on.
//! * While the log answers, a proposal is answered only once the log has it. When the log has not
//!   taken an entry for a while, and every member has consented, a majority is enough. A member
//!   that did not consent can therefore vouch for a group that was lost.
//! * A group without work is silent: there are no heartbeats, and nobody doubts the leader before
//!   somebody asks for it.
//!
//! The crate does no I/O, reads no clock and draws random numbers from a given seed.

pub mod action;
mod appending;
pub mod command;
mod election;
mod flushing;
pub mod group;
mod outage;
mod proposals;
pub mod replica;
mod role;
mod sequence;
pub mod settings;
pub mod tender;

pub use action::{BatchEnd, LogRead, ProposalAnswer, ProposalId, ReplicaAction, ReplicaInput};
pub use command::Command;
pub use replica::Replica;
pub use settings::{InvalidReplicaSettings, ReplicaSettings};
