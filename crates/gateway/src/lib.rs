//! A node of the rollout service on a shared log: it passes calls on, keeps batches and runs their
//! items, rolls out versions, and holds nothing that must outlive its process.
//!
//! The decisions are in `havenstage_rollout`; this crate joins them to the traits in [`edge`].

mod access;
pub mod backends;
mod batch_answer;
mod batch_ends;
pub mod batch_knowledge;
pub mod batch_partitions;
mod batch_reads;
mod batch_server;
mod batch_submissions;
mod call_progress;
mod caller_stream;
pub mod calls;
pub mod checkpoints;
pub mod claim_timing;
pub mod context;
pub mod coordinator;
pub mod counted_log;
mod crash_evidence;
mod crash_guard;
mod dependency;
mod digest_reader;
mod digest_writer;
pub mod directories;
pub mod edge;
pub mod engine;
mod failed_reads;
mod fingerprint;
pub mod followers;
pub mod held_answers;
pub mod intake;
pub mod knowledge_metrics;
pub mod lease_grant;
pub mod log_writes;
pub mod logging;
pub mod metering;
pub mod metrics;
pub mod node;
pub mod operations;
pub mod operator;
mod order_exchange;
pub mod order_run;
pub mod peers;
mod questions;
pub mod relay;
mod repeated_append;
mod request_head;
mod responses;
mod reward_pace;
pub mod send;
pub mod server;
pub mod settings;
pub mod sizing;
pub mod stream_view;
pub mod work_pace;
