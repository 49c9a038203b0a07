//! Test doubles for the services that a node depends on, and a small deployment on loopback.
#![allow(dead_code)]

pub mod backend;
pub mod caller;
pub mod deployment;
pub mod dialect;
pub mod ends;
pub mod leaving;
pub mod log;
pub mod log_faults;
pub mod operations;
pub mod peers;
pub mod suspension;
