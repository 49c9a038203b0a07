//! The node: every machine of the system runs one. This crate joins the state machines to the
//! traits at the edges; it opens no socket itself, so that the same code runs in the simulator.

mod at_most_once;
mod claim_owner;
mod config_follower;
mod config_recorder;
mod config_store;
mod context;
mod decision_log;
mod decision_writer;
pub mod environment;
mod executor;
mod homes;
mod jobs;
mod kept_answers;
mod lifecycle;
mod live;
mod locks;
pub mod mechanisms;
mod member_service;
pub mod node;
mod operator;
mod peer_service;
pub mod settings;
pub mod spawner;
mod stream_follower;
pub mod tuning;
