//! What tests of several crates share.

pub mod silencing_proxy;
