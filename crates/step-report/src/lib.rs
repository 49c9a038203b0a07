//! Where the time of each training step went, read from the log lines of gateway nodes.
//!
//! Log lines alone are used, so the report can be made of any node's output, of all nodes together,
//! and long after the fact.

pub mod line;
pub mod step;
pub mod table;
