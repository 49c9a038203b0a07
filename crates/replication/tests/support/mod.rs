//! A deployment of nodes with replica groups, callers, a log and faults on a virtual clock.

#![allow(dead_code, reason = "each test file uses a part of the deployment")]

pub mod callers;
pub mod checks;
pub mod faults;
pub mod log;
pub mod node;
pub mod world;

use std::time::Duration;

use havenstage_replication::ReplicaSettings;

/// Times short enough that a loss can be settled within a test.
pub fn settings() -> ReplicaSettings {
    ReplicaSettings {
        outage_limit: Duration::from_secs(60),
        grant_validity: Duration::from_secs(10),
        repeat_horizon: Duration::from_secs(40),
        doubt_after: Duration::from_secs(5),
        lost_after: Duration::from_secs(4),
        replace_after: Duration::from_secs(3),
        ..ReplicaSettings::default()
    }
}

/// Times for an hour without the log.
pub fn long_outage_settings() -> ReplicaSettings {
    ReplicaSettings {
        replace_after: Duration::from_secs(3),
        ..ReplicaSettings::default()
    }
}
