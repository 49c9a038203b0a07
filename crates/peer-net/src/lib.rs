//! The network between nodes: requests over TCP, gossip over UDP, both on the same IP and port.
//!
//! Requests to one peer share one connection; each frame carries a number by which the answer
//! finds its request.

mod connection;
mod frame;
mod incoming_frame;
mod network;
mod server;
mod traffic;

pub use frame::MAX_FRAME_BYTES;
pub use network::{IDLE_CONNECTION_LIFE, TcpUdpNetwork};
pub use server::{BindError, PeerServer, PeerServerHandle};
pub use traffic::{DirectionSnapshot, KindSnapshot, TrafficCounters, TrafficSnapshot};
