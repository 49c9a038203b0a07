//! Test support shared by several crates.

pub mod silencing_proxy;
