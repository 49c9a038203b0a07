//! Usage metering: each node counts the requests that back ends began for it, by tenant and time window, and
//! appends the counts to the log. The holder of the order lease reports the sums of all nodes to the platform.

mod counter;
mod reporter;
mod writer;

pub use counter::UsageCounter;
pub(crate) use reporter::UsageReporter;
pub(crate) use writer::write_usage;
