//! Followers of job streams, started when a job is owned or read here and ended when unused.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, Weak};

use havenstage_ledger::jobs::{JobEffect, JobLedger};
use havenstage_types::codec;
use havenstage_types::ids::{JobName, LogOffset, streams};
use havenstage_types::job::JobRecord;
use havenstage_types::peer::RawRecord;

use crate::context::NodeContext;
use crate::locks::lock;
use crate::stream_follower::{StreamFold, StreamFollower};

/// A job's ledger behind a follower.
pub(crate) struct JobFold {
    pub(crate) ledger: JobLedger,
}

impl StreamFold for JobFold {
    fn next_offset(&self) -> LogOffset {
        self.ledger.next_offset()
    }

    fn apply(&mut self, record: &RawRecord) {
        let applied = match codec::decode::<JobRecord>(&record.payload) {
            Ok(decoded) => self.ledger.apply(record.offset, &decoded),
            Err(_undecodable) => self.ledger.skip(record.offset).map(|()| JobEffect::Ignored),
        };
        match applied {
            Ok(JobEffect::Rejected { id, reason, .. }) => {
                log::info!(sample:% = id, reason:? = reason; "sample does not count");
            }
            Ok(_) => {}
            Err(error) => log::error!(job = self.ledger.job().as_str(); "job stream: {error}"),
        }
    }
}

/// A follower of one job's stream.
pub(crate) type JobFollower = StreamFollower<JobFold>;

/// Followers in use; each ends when the last user drops it.
pub(crate) struct JobFollowers {
    context: Arc<NodeContext>,
    followers: Mutex<BTreeMap<JobName, Weak<FollowedJob>>>,
}

/// A follower kept alive by its users.
pub(crate) struct FollowedJob {
    pub(crate) follower: Arc<JobFollower>,
    task: tokio::task::JoinHandle<Option<()>>,
}

impl Drop for FollowedJob {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl JobFollowers {
    pub(crate) fn new(context: Arc<NodeContext>) -> Arc<Self> {
        Arc::new(Self {
            context,
            followers: Mutex::new(BTreeMap::new()),
        })
    }

    /// The follower of a job, started if there is none.
    pub(crate) fn follow(&self, job: &JobName) -> Arc<FollowedJob> {
        let mut followers = lock(&self.followers);
        followers.retain(|_, follower| follower.strong_count() > 0);
        if let Some(followed) = followers.get(job).and_then(Weak::upgrade) {
            return followed;
        }
        let mut ledger = JobLedger::new(job.clone());
        if !self.context.mechanisms.first_commit_counts {
            ledger.count_every_commit();
        }
        let fold = JobFold { ledger };
        let follower = StreamFollower::new(streams::job(job), fold);
        let run = follower.clone().run(self.context.clone());
        let followed = Arc::new(FollowedJob {
            follower,
            task: self.context.environment.spawner.spawn(run),
        });
        followers.insert(job.clone(), Arc::downgrade(&followed));
        followed
    }
}
