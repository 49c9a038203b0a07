//! Rollout jobs: following their streams, running their samples, and feeding trainers.

mod committer;
mod feed;
mod follower;
mod owner;
mod sample_runner;

pub(crate) use feed::TrainerFeed;
pub(crate) use follower::JobFollowers;
pub(crate) use owner::{JobOwners, run};
