//! Nodes that answer each other's questions about batches, and test questions to them.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use havenstage_gateway::settings::Settings;
use havenstage_http_link::{Link, LinkSettings, WholeAnswer};
use havenstage_rollout::ids::{BatchId, TenantName, ZoneName};
use havenstage_rollout::peer_message::{PeerAnswer, PeerQuestion, PeerRequest};
use havenstage_rollout::stored::Stored;
use http::{Method, Request};
use http_body_util::Full;

use super::caller::submit;
use super::deployment::{Deployment, TestNode, settings, wait_until};
use super::log::NodeLog;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Settings of a node that answers other nodes, on a free port.
pub fn peer_settings(name: &str) -> Settings {
    let mut settings = settings(name);
    settings.listen.peers = Some(SocketAddr::from(([127, 0, 0, 1], 0)));
    settings
}

/// Starts a node that answers other nodes, and waits until it knows all back ends.
pub async fn peer_node(deployment: &Deployment, name: &str) -> TestNode {
    let log = NodeLog::new(&deployment.log);
    let node = TestNode::start_with_settings(log, peer_settings(name)).await;
    let backends = deployment.engines.len() + deployment.applications.len();
    node.wait_until_known(backends).await;
    node
}

/// Submits a batch to the only node of the deployment, and waits until the node owns the batch.
pub async fn submit_to_owner(node: &TestNode, batch: &str, body: &str) {
    assert_eq!(submit(node.callers, batch, body).await, 202);
    let id = BatchId::from(batch);
    wait_until("the node runs the batch", || node.context().holds(&id)).await;
}

/// Waits until `reader` knows that `owner` runs a batch, and the address at which `owner` answers.
pub async fn wait_until_owner_known(reader: &TestNode, owner: &TestNode, batch: &str) {
    let id = BatchId::from(batch);
    wait_until("the owner and its address are known", || {
        let control = reader.context().control.lock();
        let indexed = control.state.index().batch(&id);
        let is_owner = indexed.is_some_and(|b| b.owner.is_held_by(&owner.context().node));
        is_owner && control.state.peers().of(&owner.context().node).is_some()
    })
    .await;
}

/// Number of records that a node has read of the batch's partition.
pub fn records_read(node: &TestNode, batch: &str) -> u64 {
    let id = BatchId::from(batch);
    let partitions = &node.context().partitions;
    partitions.of(&id).lock().next
}

/// A question about a batch, as another node of the same zone asks it.
pub fn request(to: &TestNode, batch: &str, question: PeerQuestion) -> PeerRequest {
    PeerRequest {
        to: to.context().node.clone(),
        zone: ZoneName::from("zone"),
        tenants: Vec::<TenantName>::new(),
        batch: BatchId::from(batch),
        question,
    }
}

pub fn results_from(from: u64, wait_ms: u64) -> PeerQuestion {
    PeerQuestion::Results { from, wait_ms }
}

/// Sends the bytes of a request body to a path.
pub async fn send_bytes(to: SocketAddr, path: &str, body: Bytes) -> WholeAnswer {
    let link = Link::new(
        to,
        LinkSettings {
            connect_timeout: TIMEOUT,
            keep_idle: TIMEOUT,
            max_idle_connections: 0,
        },
    );
    let request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header("host", "peer")
        .body(Full::new(body))
        .unwrap();
    let answer = link.send(request, TIMEOUT).await.unwrap();
    answer.whole(1 << 20).await.unwrap()
}

/// The address at which a node answers other nodes.
pub fn address_of(node: &TestNode) -> SocketAddr {
    node.context().peers.own_address().expect("it listens")
}

/// Sends a question to a node and returns its answer.
pub async fn ask(node: &TestNode, request: &PeerRequest) -> PeerAnswer {
    let body = Bytes::from(request.encode());
    let answer = send_bytes(address_of(node), "/batch-question", body).await;
    PeerAnswer::decode(&answer.body).unwrap()
}
