//! The `havenstage` program.
fn main() {}
