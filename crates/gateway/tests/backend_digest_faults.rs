//! Nodes that follow a digest of the back-end directory, under faults drawn from a seed: a node that has been in contact
//! with the log must not consider a back end ready once its drain, or its removal, must be in force.
//!
//! `SEEDS=50 cargo test -p havenstage-gateway --test backend_digest_faults` plays fresh seeds, `SEED=7` a certain one.

mod support;

use std::time::{Duration, Instant};

use havenstage_gateway::context::BACKEND_DIGEST;
use havenstage_gateway::edge::DirectoryEntry;
use havenstage_rollout::backend::BackendChange;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::deployment::{APPLICATIONS, Deployment, TestNode, listed, settings, wait_until};
use support::log::{LogFaults, NodeLog};

const NODES: usize = 4;
const BACKENDS: usize = 6;
/// Read bandwidth of the log at which the directory is too large for the nodes to read.
const LOW_READ_MB_PER_S: f64 = 0.000_5;
const DRAIN_IN_FORCE: Duration = Duration::from_secs(4);
/// Time without a fault after which a node counts as being in contact with the log; longer than a drain takes to be in
/// force, as on all deployments.
const CONTACT_TIME: Duration = Duration::from_secs(5);
const PLAY_TIME: Duration = Duration::from_secs(24);
const MAX_FAULT_TIME: Duration = Duration::from_secs(4);
/// Seeds that are always played.
const FIXED_SEEDS: [u64; 2] = [1_001, 1_002];

/// What the directory says of a back end, and since when.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Entry {
    Ready,
    Draining,
    Removed,
}

struct Player {
    deployment: Deployment,
    random: StdRng,
    nodes: Vec<TestNode>,
    /// End of each node's last fault.
    calm_since: Vec<Instant>,
    entries: Vec<(Entry, Instant)>,
}

impl Player {
    async fn start(seed: u64) -> Self {
        let deployment = Deployment::start(0, BACKENDS).await;
        let mut nodes = Vec::new();
        for at in 0..NODES {
            nodes.push(start_node(&deployment, at).await);
        }
        for node in &nodes {
            wait_until("it follows the digest", || {
                let digest = node.context().digest.lock();
                digest.state.confirmed_at().is_some()
            })
            .await;
        }
        let now = Instant::now();
        Self {
            deployment,
            random: StdRng::seed_from_u64(seed),
            nodes,
            calm_since: vec![now; NODES],
            entries: vec![(Entry::Ready, now); BACKENDS],
        }
    }

    async fn play(&mut self) {
        let end = Instant::now() + PLAY_TIME;
        while Instant::now() < end {
            match self.random.random_range(0..10) {
                0..4 => self.change_entry(),
                4..8 => self.begin_fault(),
                8 => self.restart_node().await,
                _ => self.deployment.log.drop_history(BACKEND_DIGEST),
            }
            let pause = self.random.random_range(100..900);
            self.check_for(Duration::from_millis(pause)).await;
        }
        // No fault lasts longer, so that all nodes come into contact again.
        self.check_for(MAX_FAULT_TIME + CONTACT_TIME).await;
        let is_ready = |(entry, _): &&(Entry, Instant)| *entry == Entry::Ready;
        let ready = self.entries.iter().filter(is_ready).count();
        for node in &self.nodes {
            wait_until("it knows all back ends that are ready", || {
                let backends = node.context().backends.lock();
                backends.list.ready_in(&APPLICATIONS.into()).count() == ready
            })
            .await;
        }
    }

    fn change_entry(&mut self) {
        let at = self.random.random_range(0..BACKENDS);
        let backend = &self.deployment.applications[at];
        let (entry, written) = match self.entries[at].0 {
            Entry::Ready => (Entry::Draining, listed(backend, APPLICATIONS, true)),
            Entry::Draining => {
                let DirectoryEntry::Backend(change) = listed(backend, APPLICATIONS, true) else {
                    unreachable!("the entry of a back end");
                };
                let removal = BackendChange {
                    name: change.name,
                    record: None,
                };
                (Entry::Removed, DirectoryEntry::Backend(removal))
            }
            Entry::Removed => (Entry::Ready, listed(backend, APPLICATIONS, false)),
        };
        self.deployment.log.write_backends(written);
        // A removal after a drain doesn't extend the time in which the back end must not be used.
        let since = match entry {
            Entry::Removed => self.entries[at].1,
            Entry::Ready | Entry::Draining => Instant::now(),
        };
        self.entries[at] = (entry, since);
    }

    fn begin_fault(&mut self) {
        let at = self.random.random_range(0..NODES);
        let mut faults = LogFaults::default();
        match self.random.random_range(0..6) {
            0 => faults.is_cut = true,
            1 => faults.refuses_backends = true,
            2 => faults.refuses_appends = true,
            3 => faults.reads_hang = true,
            4 => faults.loses_answers = true,
            _ => faults.throttled_reads_of_ten = 5,
        }
        let lasts = Duration::from_millis(self.random.random_range(300..4_000));
        self.nodes[at].set_faults(faults);
        self.calm_since[at] = Instant::now() + lasts.min(MAX_FAULT_TIME);
    }

    async fn restart_node(&mut self) {
        let at = self.random.random_range(0..NODES);
        self.nodes[at].kill();
        self.nodes[at] = start_node(&self.deployment, at).await;
        self.calm_since[at] = Instant::now();
    }

    async fn check_for(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            for at in 0..NODES {
                self.check_node(at);
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    fn check_node(&mut self, at: usize) {
        let now = Instant::now();
        if now < self.calm_since[at] {
            return;
        }
        self.nodes[at].set_faults(LogFaults::default());
        if now - self.calm_since[at] < CONTACT_TIME {
            return;
        }
        let backends = self.nodes[at].context().backends.lock();
        let pool = APPLICATIONS.into();
        let ready: Vec<&str> = backends
            .list
            .ready_in(&pool)
            .map(|(id, _)| id.name())
            .collect();
        for (backend, (entry, since)) in self.deployment.applications.iter().zip(&self.entries) {
            let DirectoryEntry::Backend(change) = listed(backend, APPLICATIONS, false) else {
                unreachable!("the entry of a back end");
            };
            let must_be_in_force = *entry != Entry::Ready && now - *since > DRAIN_IN_FORCE;
            let is_ready = ready.contains(&change.name.as_str());
            assert!(
                !(must_be_in_force && is_ready),
                "node {at} considers {} ready {:?} after its drain",
                change.name.as_str(),
                now - *since
            );
        }
    }
}

async fn start_node(deployment: &Deployment, at: usize) -> TestNode {
    let mut settings = settings(&format!("n{at}"));
    settings.log.read_mb_per_s = LOW_READ_MB_PER_S;
    settings.bounds.drain_in_force_ms = DRAIN_IN_FORCE.as_millis() as u64;
    TestNode::start_with_settings(NodeLog::new(&deployment.log), settings).await
}

fn seeds() -> Vec<u64> {
    let number = |name: &str| {
        std::env::var(name)
            .ok()
            .map(|text| text.parse::<u64>().unwrap())
    };
    if let Some(seed) = number("SEED") {
        return vec![seed];
    }
    match number("SEEDS") {
        Some(count) => (0..count)
            .map(|_| u64::from(rand::random::<u32>()))
            .collect(),
        None => FIXED_SEEDS.to_vec(),
    }
}

#[tokio::test]
async fn drains_are_in_force_in_time_at_all_nodes_in_contact_with_the_log() {
    for seed in seeds() {
        println!("seed {seed}");
        let mut player = Player::start(seed).await;
        player.play().await;
    }
}
