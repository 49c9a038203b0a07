//! Where work runs and when it may start: placement policies, the admission queue at an engine's
//! home, the spreading of weight swaps, retry budgets and the order of a step's samples.
//!
//! Everything here is a plain state machine: no I/O, time and seeds are passed in.

pub mod admission;
pub mod lengths;
pub mod limits;
pub mod live_engines;
pub mod policies;
pub mod retry;
pub mod rollout_waves;
pub mod settings;
pub mod stragglers;
