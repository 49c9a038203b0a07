//! Helpers shared by the tests.

pub mod engines;
