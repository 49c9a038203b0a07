//! Membership of a havenstage deployment: SWIM failure detection with suspicion, role ownership
//! by rendezvous hashing, and the freshness of the configuration.
//!
//! Everything here is a pure state machine: time and a random seed are passed in, packets to send
//! come out.
//!
//! # What happens around a cut between zones
//!
//! Each side declares the other dead and takes over its roles, so that a zone which still reaches
//! the log goes on working. While the cut lasts, each member pings one member it holds dead every
//! [`MembershipSettings::reconnect_interval`]. When the cut heals, the two sides meet through these
//! pings and tell each other of their verdicts, together with the number of members each believes
//! to run. A verdict from a member that the receiver itself holds dead counts only if the sender's
//! side is the larger one (equal sizes: the sender has the lower id). So the members of the smaller
//! side get [`MembershipAction::DeclaredDead`] and come back with new ids; the larger side stays.

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
