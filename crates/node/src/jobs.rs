//! Rollout jobs: following their streams, assigning and running their samples, feeding trainers.

mod committer;
mod feed;
mod follower;
mod owner;
mod runner;
mod sample_drive;
mod sample_run;

pub(crate) use feed::TrainerFeed;
pub(crate) use follower::JobFollowers;
pub(crate) use owner::{JobOwners, run};
pub(crate) use runner::SampleRunners;
