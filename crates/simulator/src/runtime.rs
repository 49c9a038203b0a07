//! A tokio runtime whose every run is the same: one thread, a paused clock, and seeded random
//! numbers inside tokio itself.

use std::future::Future;
use std::io;

use tokio::runtime::{Builder, RngSeed};

/// Runs a future to its end on a runtime of its own. Time stands still while any task can go on
/// and else jumps to the next timer.
///
/// # Errors
/// When the system cannot give the runtime what it needs.
pub fn run<F: Future>(seed: u64, future: F) -> io::Result<F::Output> {
    let runtime = Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .rng_seed(RngSeed::from_bytes(&seed.to_le_bytes()))
        .build()?;
    Ok(runtime.block_on(future))
}
