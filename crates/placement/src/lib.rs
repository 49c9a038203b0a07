//! Decides where work runs and when it may start: placement policies, admission control of an
//! engine at its home node, staggered weight swaps, retry budgets and the dispatch order of the
//! samples of a step.
//!
//! All types are deterministic state machines without I/O; callers pass in the time and seeds.

pub mod admission;
pub mod lengths;
pub mod limits;
pub mod live_engines;
pub mod policies;
pub mod retry;
pub mod rollout_waves;
pub mod settings;
pub mod stragglers;
