//! Report of the phases of each training step, computed from the log lines of gateway nodes.
//!
//! The report needs only log lines, so it works for one node or for all nodes together, and for logs
//! of any age.

pub mod line;
pub mod step;
pub mod table;
