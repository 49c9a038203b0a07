//! Bounds for HTTP/1.1 servers whose clients are not trusted: the memory of the request bodies that they hold, and the
//! number of their connections.
//!
//! A client can send a body in pieces of any size, stop anywhere, and stay. One limit for each body does not bound what all
//! of them take together, so a server has one [`BodyMemory`] and one table of [`Connections`]. Both make room for new work
//! by giving up what waits for a client the longest.

mod body_buffer;
mod body_memory;
mod connections;
mod descriptors;
mod drain;
mod receive;
mod router;

pub use body_memory::{BodyMemory, BodyShare, NoRoom, SMALL_BODY_BYTES};
pub use connections::{ConnectionSlot, Connections, RequestInProgress};
pub use descriptors::max_descriptors;
pub use drain::discard_rest;
pub use receive::{BodyError, BodyLimits};
pub use router::{Refuse, RouterLimits, RouterServer, refuse_plainly};
