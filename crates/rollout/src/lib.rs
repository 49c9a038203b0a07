//! Decision logic of the rollout service, whose nodes coordinate through a shared log. The modules
//! are state machines without I/O: they decide which route a call takes, what a partition of
//! batches holds, which back end runs which item, and which back end loads which model version
//! next. Callers pass in the current time as milliseconds on a monotonic clock.

pub mod access;
pub mod address_claims;
pub mod back_end_speed;
pub mod backend;
pub mod backend_digest;
pub mod backend_source;
pub mod backoff;
pub mod batch;
pub mod batch_index;
pub mod batch_state;
pub mod checkpoint;
pub mod circuit_breaker;
pub mod claim_delay;
pub mod concurrency_limit;
pub mod control;
pub mod control_record;
pub mod crash_ledger;
pub mod event_stream;
pub mod expected_length;
pub mod fleet_size;
pub mod fold;
pub mod framing;
pub mod health;
pub mod ids;
pub mod last_orders;
pub mod lease;
pub mod load_limit;
pub mod occupancy;
pub mod order_plan;
pub mod pacing;
pub mod peer_addresses;
pub mod peer_message;
pub mod peer_question;
pub mod reachable_machines;
pub mod record;
pub mod residency;
pub mod route;
pub mod schedule;
pub mod sizing;
pub mod slow_start;
pub mod stall;
pub mod stored;
pub mod usage;

/// Time in milliseconds on the process's monotonic clock; also used for durations.
pub type Millis = u64;
