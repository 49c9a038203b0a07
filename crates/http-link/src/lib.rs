//! A pool of persistent HTTP/1.1 connections to one address. Its errors say whether the server may have acted on
//! the request. Dropping an answer before its end closes its connection, which cancels the request at a server that
//! detects closed connections.

mod answer;
mod connection;
mod error;
mod head_limit;
mod link;
mod probe;
mod send_options;
mod silence;

pub use answer::{Answer, WholeAnswer};
pub use connection::end_when_unacknowledged;
pub use error::LinkError;
pub use link::{Link, LinkSettings, LinkTraffic};
pub use probe::{OpenProbe, Probe};
pub use send_options::SendOptions;
