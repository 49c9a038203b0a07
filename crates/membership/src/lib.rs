//! Membership of a havenstage deployment: SWIM failure detection with suspicion, role ownership
//! by rendezvous hashing, and the freshness of the configuration.
//!
//! The crate is a state machine without I/O: the caller passes in the time, a random seed and
//! received packets, and sends the packets that the state machine returns.
//!
//! # Network partitions between zones
//!
//! Each side declares the other dead and takes over its roles, so that a zone that can still reach
//! the log continues to work. During the network partition, each member sends a join request to one
//! address of a dead member or of a seed without a running member every
//! [`MembershipSettings::reconnect_interval`]. After the network partition ends, these requests
//! reconnect the two sides, which exchange their death declarations and the number of members that
//! each side believes to be running. A receiver accepts a death declaration from a sender that it
//! considers dead only if the sender's side is the larger one (if equal, the lower node id wins).
//! So the members of the smaller side get [`MembershipAction::DeclaredDead`] and rejoin with new
//! ids; the larger side keeps running.

mod budget;
pub mod freshness;
mod machine;
mod message;
pub mod ownership;
mod packets;
mod probes;
mod roster;
mod settings;
mod ticks;
mod update_queue;

pub use machine::Membership;
pub use message::{MembershipAction, MembershipInput};
pub use settings::{InvalidMembershipSettings, MembershipSettings};
