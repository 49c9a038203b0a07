//! Faults and their ends.

use havenstage_types::ids::NodeId;
use rand::Rng;

use super::log::LogMode;
use super::world::World;

/// Something that goes wrong, or right again.
#[derive(Debug, Clone)]
pub enum Fault {
    /// A process dies; a new one starts in its zone after this many milliseconds.
    Crash {
        node: Target,
        replaced_after: Option<u64>,
    },
    StartNode {
        zone: u64,
    },
    Freeze {
        node: Target,
        milliseconds: u64,
    },
    Thaw(NodeId),
    Log(LogMode),
    /// The first cannot send to the second.
    CutOneWay {
        from: Target,
        to: Target,
        milliseconds: u64,
    },
    /// The node reaches no other node, and perhaps not the log.
    Isolate {
        node: Target,
        from_log: bool,
        milliseconds: u64,
    },
    Heal,
    Loss(f64),
}

/// Which node a fault hits.
#[derive(Debug, Clone, Copy)]
pub enum Target {
    Leader,
    /// Member of the group by its position, the leader being 0.
    Member(usize),
    Node(NodeId),
    Any,
}

impl Target {
    pub fn pick(self, world: &mut World) -> Option<NodeId> {
        let members = world.group_members();
        match self {
            Target::Leader => members.first().copied(),
            Target::Member(position) => members.get(position).copied(),
            Target::Node(node) => world.nodes.contains_key(&node).then_some(node),
            Target::Any => {
                let position = world.random.random_range(0..world.nodes.len());
                world.nodes.keys().nth(position).copied()
            }
        }
    }
}

impl Fault {
    pub fn apply(self, world: &mut World) {
        let now = world.now;
        match self {
            Fault::Crash {
                node,
                replaced_after,
            } => {
                let Some(node) = node.pick(world) else { return };
                let zone = world
                    .nodes
                    .remove(&node)
                    .map(|node| node.member.identity.zone);
                let zone = zone.map_or(0, |zone| zone.0.as_bytes()[5] - b'0');
                if let Some(after) = replaced_after {
                    let zone = u64::from(zone);
                    world.schedule(now + after, Fault::StartNode { zone });
                }
            }
            Fault::StartNode { zone } => {
                world.start_node(zone);
            }
            Fault::Freeze { node, milliseconds } => {
                let Some(node) = node.pick(world) else { return };
                world.frozen.insert(node, now + milliseconds);
                world.schedule(now + milliseconds, Fault::Thaw(node));
            }
            Fault::Thaw(node) => {
                if world.frozen.get(&node).is_some_and(|until| *until <= now) {
                    world.frozen.remove(&node);
                }
            }
            Fault::Log(mode) => world.log.mode = mode,
            Fault::CutOneWay {
                from,
                to,
                milliseconds,
            } => {
                let (Some(from), Some(to)) = (from.pick(world), to.pick(world)) else {
                    return;
                };
                world.cuts.insert((from, to));
                world.schedule(now + milliseconds, Fault::Heal);
            }
            Fault::Isolate {
                node,
                from_log,
                milliseconds,
            } => {
                let Some(node) = node.pick(world) else { return };
                let others: Vec<NodeId> = world.nodes.keys().copied().collect();
                for other in others.into_iter().filter(|other| *other != node) {
                    world.cuts.extend([(node, other), (other, node)]);
                }
                if from_log {
                    world.cut_from_log.insert(node);
                }
                world.schedule(now + milliseconds, Fault::Heal);
            }
            Fault::Heal => {
                world.cuts.clear();
                world.cut_from_log.clear();
            }
            Fault::Loss(loss) => world.loss = loss,
        }
    }
}
