//! Everybody who uses the system: callers, trainers and operators. They record what they see.

pub mod call;
pub mod callers;
pub mod drains;
pub mod observer;
pub mod operators;
pub mod trainer;

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use havenstage_node::node::Node;
use havenstage_types::ids::NodeId;
use tokio::time::timeout;

use crate::world::World;
use crate::world::place::Place;

/// An answer of a node and the identity the node had when it gave it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer<T> {
    /// Identity of the node that answered.
    pub node: NodeId,
    /// What it answered.
    pub result: T,
}

/// Asks the node on a machine and waits for its answer; `None` when there was none in time. The
/// question goes on inside the node whatever becomes of its asker.
pub async fn ask<T, F, Fut>(
    world: &Arc<World>,
    machine: usize,
    patience: Duration,
    question: F,
) -> Option<Answer<T>>
where
    T: Send + 'static,
    F: FnOnce(Arc<Node>) -> Fut + Send + 'static,
    Fut: Future<Output = T> + Send + 'static,
{
    let exchange = async {
        let place = Place::Node(machine);
        world.network().carry(Place::Clients, place).await;
        let process = world.process(machine)?;
        let node = process.node().clone();
        let answered = process.spawner().spawn(async move {
            let result = question(node.clone()).await;
            let node = node.identity().id;
            Answer { node, result }
        });
        let answer = tokio::select! {
            biased;
            answer = answered => answer.ok().flatten(),
            () = process.ended() => None,
        };
        // The process may have taken a new identity meanwhile.
        process.identity();
        world.network().carry(place, Place::Clients).await;
        answer
    };
    timeout(patience, exchange).await.ok().flatten()
}
