//! Settings files: reading them, and the settings of a node.

pub mod file;
pub mod node;
