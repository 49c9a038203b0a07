//! Many hollow nodes before one platform.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use havenstage_node::node::Node;
use havenstage_types::ids::NodeId;
use havenstage_types::member::MemberState;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use tokio::runtime::Handle;

use super::error::ScaleError;
use super::hollow_node::HollowNode;
use super::network::Links;
use super::platform::{LOOK_INTERVAL, Platform};
use super::settings::{ClusterSize, ScaleSettings};

/// Nodes whose addresses a new node is given.
const SEEDS: usize = 3;

/// The nodes and the platform of one part of the run.
pub(super) struct Cluster {
    pub(super) settings: ScaleSettings,
    pub(super) size: ClusterSize,
    pub(super) platform: Arc<Platform>,
    pub(super) nodes: Vec<HollowNode>,
    pub(super) links: Arc<Links>,
    pub(super) rng: ChaCha8Rng,
    node_runtime: Handle,
    started: usize,
}

impl Cluster {
    /// Starts the nodes, one after the other.
    pub(super) async fn start(
        size: ClusterSize,
        platform: Arc<Platform>,
        node_runtime: Handle,
        settings: &ScaleSettings,
    ) -> Result<Self, ScaleError> {
        let mut cluster = Self {
            settings: settings.clone(),
            size,
            platform,
            nodes: Vec::with_capacity(size.nodes),
            links: Arc::default(),
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            node_runtime,
            started: 0,
        };
        for _ in 0..size.nodes {
            cluster.start_node().await?;
            tokio::time::sleep(Duration::from_millis(settings.start_interval_ms)).await;
        }
        Ok(cluster)
    }

    /// Starts one more node.
    pub(super) async fn start_node(&mut self) -> Result<(), ScaleError> {
        let index = self.started;
        self.started += 1;
        let seeds: Vec<SocketAddr> = self
            .nodes
            .choose_multiple(&mut self.rng, SEEDS)
            .map(|node| node.address)
            .collect();
        let platform = self.platform.clone();
        let links = self.links.clone();
        let settings = self.settings.clone();
        let starting = self.node_runtime.spawn(async move {
            HollowNode::start(index, seeds, &platform, links, &settings).await
        });
        self.nodes.push(starting.await??);
        Ok(())
    }

    /// Kills a random node and returns who it was.
    pub(super) fn kill_random(&mut self) -> Result<KilledNode, ScaleError> {
        let indexes: Vec<usize> = (0..self.nodes.len()).collect();
        let index = *indexes.choose(&mut self.rng).ok_or(ScaleError::NoNodes)?;
        let node = self.nodes.swap_remove(index);
        let killed = KilledNode {
            id: node.id(),
            address: node.address,
            engines: node
                .node
                .status()
                .engines
                .into_iter()
                .map(|engine| engine.name)
                .collect(),
        };
        node.kill();
        Ok(killed)
    }

    /// A random node.
    pub(super) fn random_node(&mut self) -> Result<Arc<Node>, ScaleError> {
        let node = self.nodes.choose(&mut self.rng);
        Ok(node.ok_or(ScaleError::NoNodes)?.node.clone())
    }

    /// Runs something on the nodes' threads, so that its work counts as theirs.
    pub(super) fn spawn_on_nodes<F>(&self, future: F) -> tokio::task::JoinHandle<F::Output>
    where
        F: Future + Send + 'static,
        F::Output: Send + 'static,
    {
        self.node_runtime.spawn(future)
    }

    /// For each node the members that it would give roles to.
    pub(super) fn views(&self) -> BTreeMap<NodeId, BTreeSet<NodeId>> {
        self.nodes
            .iter()
            .map(|hollow| (hollow.id(), owners(&hollow.node)))
            .collect()
    }

    /// How many nodes see exactly the nodes that run, have the whole configuration and take work.
    pub(super) fn agreeing(&self) -> usize {
        let running: BTreeSet<NodeId> = self.nodes.iter().map(HollowNode::id).collect();
        let config_end = self.platform.config_end();
        let agrees = |hollow: &&HollowNode| {
            let status = hollow.node.status();
            status.ready.is_ok()
                && status.config_offset.0 >= config_end
                && owners(&hollow.node) == running
        };
        self.nodes.iter().filter(agrees).count()
    }

    /// Waits until all nodes agree; returns how long that took.
    pub(super) async fn converged(&self) -> Result<Duration, ScaleError> {
        let timeout = Duration::from_millis(self.settings.converge_timeout_ms);
        let started = Instant::now();
        loop {
            let agreeing = self.agreeing();
            if agreeing == self.nodes.len() {
                return Ok(started.elapsed());
            }
            if started.elapsed() > timeout {
                return Err(ScaleError::NotConverged {
                    agreeing,
                    nodes: self.nodes.len(),
                });
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }

    /// Engines that some node is the home of.
    pub(super) fn engines_with_home(&self) -> BTreeSet<String> {
        self.nodes
            .iter()
            .flat_map(|hollow| hollow.node.status().engines)
            .map(|engine| engine.name)
            .collect()
    }
}

/// A node that was killed.
#[derive(Debug, Clone)]
pub(super) struct KilledNode {
    pub(super) id: NodeId,
    pub(super) address: SocketAddr,
    pub(super) engines: BTreeSet<String>,
}

fn owners(node: &Node) -> BTreeSet<NodeId> {
    node.status()
        .members
        .iter()
        .filter(|member| matches!(member.state, MemberState::Alive | MemberState::Suspect))
        .map(|member| member.identity.id)
        .collect()
}
