//! Claims decided by replica groups of nodes, which go on while the log is away.
//!
//! A node hosts a partition while it owns it by its view, so as to form and replace its group, and
//! while it is a member of the group in force.

mod claims;
mod hosted;
mod partition;
pub(crate) mod routes;
mod service;
mod tending;

pub(crate) use service::{ReplicaService, run};
