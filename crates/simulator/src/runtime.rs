//! A tokio runtime whose every run is the same: one thread, a paused clock, and seeded random
//! numbers inside tokio itself.

use std::any::Any;
use std::future::Future;
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind, resume_unwind};
use std::sync::{Mutex, PoisonError};

use thiserror::Error;
use tokio::runtime::{Builder, RngSeed, TaskMeta};
use tokio::time::Instant;

/// Polls of tasks at one moment of virtual time beyond which tasks are taken to keep each other
/// awake for ever.
const MOST_POLLS_AT_ONCE: u64 = 200_000;

/// Why a run did not come to its end.
#[derive(Debug, Error)]
pub enum RuntimeError {
    /// The system cannot give the runtime what it needs.
    #[error("no runtime")]
    System(#[from] io::Error),
    /// Tasks woke each other without end while time stood still.
    #[error("tasks kept each other awake without end while time stood still")]
    Livelock,
}

/// Runs a future to its end on a runtime of its own. Time stands still while any task can go on
/// and else jumps to the next timer.
///
/// # Errors
/// When there is no runtime, or when time stands still for ever.
pub fn run<F: Future>(seed: u64, future: F) -> Result<F::Output, RuntimeError> {
    let polls = Mutex::new(PollCount::default());
    let runtime = Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .rng_seed(RngSeed::from_bytes(&seed.to_le_bytes()))
        .on_before_task_poll(move |_task: &TaskMeta<'_>| {
            let mut polls = polls.lock().unwrap_or_else(PoisonError::into_inner);
            polls.count();
        })
        .build()?;
    let result = catch_unwind(AssertUnwindSafe(|| runtime.block_on(future)));
    result.map_err(livelock_or_panic)
}

/// What unwinds the runtime when time stands still for ever.
struct TimeStandsStill;

#[derive(Default)]
struct PollCount {
    at: Option<Instant>,
    polls: u64,
}

impl PollCount {
    fn count(&mut self) {
        let now = Some(Instant::now());
        if self.at != now {
            self.at = now;
            self.polls = 0;
        }
        self.polls += 1;
        if self.polls > MOST_POLLS_AT_ONCE {
            resume_unwind(Box::new(TimeStandsStill));
        }
    }
}

fn livelock_or_panic(payload: Box<dyn Any + Send>) -> RuntimeError {
    match payload.downcast::<TimeStandsStill>() {
        Ok(_) => RuntimeError::Livelock,
        Err(payload) => resume_unwind(payload),
    }
}
