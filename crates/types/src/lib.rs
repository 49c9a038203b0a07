//! Types shared by every havenstage crate: identifiers, resources, log records, requests,
//! samples, decisions and the messages nodes send to each other. This crate does no I/O.

pub mod claim;
pub mod clock;
pub mod codec;
pub mod config;
pub mod decision;
pub mod engine;
pub mod gossip;
pub mod ids;
pub mod job;
pub mod member;
pub mod peer;
pub mod refusal;
pub mod request;
pub mod resource;
pub mod version;
