//! What a home must know before it admits: a recent report of the engine and a recent look at the
//! machine list. A home that was cut off or frozen would else give work to an engine that has been
//! leaving for a while.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use havenstage_edge::machine_list::{Machine, MachineRole, MachineState};
use havenstage_types::clock::Moment;
use havenstage_types::ids::{EngineName, NodeId, Zone};
use havenstage_types::peer::{AdmitRequest, PeerRequestBody, PeerResponseBody};
use havenstage_types::refusal::{Refusal, RefusalReason};
use tokio::sync::watch;
use tokio::time::timeout;

use super::Homes;
use super::engine_home::EngineHome;
use crate::locks::lock;

/// Time beyond the interval of its polls at which a report or a look at the machine list is too
/// old. With the time a permit may be used, it stays below the time after which a leaving engine
/// must be left alone.
const POLL_SLACK: Duration = Duration::from_millis(750);

/// Shortest wait of an ask for what the home does not know yet.
const SHORTEST_PATIENCE: Duration = Duration::from_millis(250);

/// Patience with one read of the machine list.
const LIST_TIMEOUT: Duration = Duration::from_secs(1);

/// Members of each other zone that are asked while the machine list does not answer here.
const PEERS_PER_ZONE: usize = 2;

/// Pause between two tries while the machine list does not answer here.
const AWAY_INTERVAL: Duration = Duration::from_millis(250);

/// What this node knows about the machine list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ListKnowledge {
    /// Nothing since the start, or since neither it nor any other zone answers here.
    Unknown,
    /// It was read; the question was sent at this moment.
    AsOf(Moment),
    /// It does not answer. Work goes on, since nobody can tell how long that lasts.
    Away,
}

/// What peers in other zones say while the machine list does not answer here.
enum PeersWord {
    /// One has lately read it.
    Leaving(BTreeSet<SocketAddr>),
    /// It does not answer them either, or there is no other zone.
    Away,
    /// None answers: this node may be the one that is cut off.
    Silence,
}

impl Homes {
    /// Waits until enough is known about the engine to admit work to it; `false` when that takes
    /// longer than the asker is ready to wait. An engine without a home here passes.
    pub(super) async fn is_informed(&self, request: &AdmitRequest) -> bool {
        let reported = lock(&self.engines)
            .get(&request.engine)
            .map(EngineHome::reported);
        let Some(mut reported) = reported else {
            return true;
        };
        let mut listed = self.list.subscribe();
        let informed = async {
            let reported = reported.wait_for(|asked_at| self.is_report_recent(*asked_at));
            let listed = listed.wait_for(|list| self.is_list_recent(*list));
            reported.await.is_ok() && listed.await.is_ok()
        };
        let patience = request.patience.max(SHORTEST_PATIENCE);
        timeout(patience, informed).await.unwrap_or(false)
    }

    fn is_report_recent(&self, asked_at: Option<Moment>) -> bool {
        let interval = Duration::from_millis(self.context.settings.engine_poll_ms);
        asked_at.is_some_and(|asked_at| self.is_recent(asked_at, interval))
    }

    fn is_list_recent(&self, list: ListKnowledge) -> bool {
        let interval = Duration::from_millis(self.context.settings.machine_poll_ms);
        match list {
            ListKnowledge::Unknown => false,
            ListKnowledge::AsOf(asked_at) => self.is_recent(asked_at, interval),
            ListKnowledge::Away => true,
        }
    }

    fn is_recent(&self, asked_at: Moment, interval: Duration) -> bool {
        self.context.now().since(asked_at) <= interval + POLL_SLACK
    }

    /// A node that was cut off must look at the machine list again before it admits.
    pub(super) fn forget_list_if_stale(&self) {
        if self.context.check_dispatch().is_err() {
            self.list.send_replace(ListKnowledge::Unknown);
        }
    }

    /// Engines whose machines are leaving, as this node has lately read; `None` when it has not.
    pub(crate) fn leaving_machines(&self) -> Option<BTreeSet<SocketAddr>> {
        let list = *self.list.borrow();
        let is_read = matches!(list, ListKnowledge::AsOf(_)) && self.is_list_recent(list);
        is_read.then(|| lock(&self.leaving_machines).clone())
    }

    /// Reads the machine list, and asks peers while it does not answer here: only this zone may be
    /// cut off from it.
    async fn read_machine_list(self: &Arc<Self>) {
        let asked_at = self.context.now();
        let machines = self.context.environment.machines.machines();
        let read = timeout(LIST_TIMEOUT, machines);
        let was_read = matches!(*self.list.borrow(), ListKnowledge::AsOf(_));
        let (read, told) = if was_read {
            (read.await, None)
        } else {
            let (read, told) = futures::join!(read, self.ask_peers());
            (read, Some(told))
        };
        if let Ok(Ok(machines)) = read {
            self.set_leaving_machines(leaving(&machines));
            self.list.send_replace(ListKnowledge::AsOf(asked_at));
            return;
        }
        let told = match told {
            Some(told) => told,
            None => self.ask_peers().await,
        };
        let knowledge = self.take_word(told);
        self.list.send_replace(knowledge);
    }

    fn take_word(self: &Arc<Self>, told: PeersWord) -> ListKnowledge {
        match told {
            PeersWord::Leaving(leaving) => {
                self.set_leaving_machines(leaving);
                ListKnowledge::Away
            }
            PeersWord::Away => ListKnowledge::Away,
            PeersWord::Silence => ListKnowledge::Unknown,
        }
    }

    fn set_leaving_machines(self: &Arc<Self>, leaving: BTreeSet<SocketAddr>) {
        let changed = {
            let mut known = lock(&self.leaving_machines);
            let changed = *known != leaving;
            *known = leaving;
            changed
        };
        if changed {
            self.reconcile();
        }
    }

    async fn ask_peers(&self) -> PeersWord {
        let peers = self.peers_to_ask();
        if peers.is_empty() {
            return PeersWord::Away;
        }
        let asked = peers.into_iter().map(|peer| {
            let body = PeerRequestBody::LeavingMachines;
            self.context.call_within(peer, body, LIST_TIMEOUT)
        });
        let mut word = PeersWord::Silence;
        for answer in join_all(asked).await {
            match answer {
                Ok(PeerResponseBody::LeavingMachines(Some(leaving))) => {
                    return PeersWord::Leaving(leaving);
                }
                Ok(_) => word = PeersWord::Away,
                Err(_) => {}
            }
        }
        word
    }

    /// A few running members of each other zone.
    fn peers_to_ask(&self) -> Vec<NodeId> {
        let own_zone = &self.context.members.identity().zone;
        let view = self.context.view();
        let mut by_zone: BTreeMap<&Zone, Vec<NodeId>> = BTreeMap::new();
        let others = view
            .running()
            .map(|member| &member.identity)
            .filter(|identity| identity.zone != *own_zone);
        for identity in others {
            let chosen = by_zone.entry(&identity.zone).or_default();
            if chosen.len() < PEERS_PER_ZONE {
                chosen.push(identity.id);
            }
        }
        by_zone.into_values().flatten().collect()
    }
}

/// A sender of what is known about the machine list at a node's start.
pub(super) fn nothing_known() -> watch::Sender<ListKnowledge> {
    watch::Sender::new(ListKnowledge::Unknown)
}

/// The answer to an ask for an engine about which too little is known.
pub(super) fn uninformed(engine: EngineName) -> PeerResponseBody {
    let reason = RefusalReason::EngineUnreachable(engine);
    PeerResponseBody::Refused {
        refusal: Refusal::not_run(reason, Some(SHORTEST_PATIENCE)),
        load: 0,
    }
}

fn leaving(machines: &[Machine]) -> BTreeSet<SocketAddr> {
    machines
        .iter()
        .filter(|machine| machine.role == MachineRole::Engine)
        .filter(|machine| machine.state == MachineState::Leaving)
        .map(|machine| machine.address)
        .collect()
}

/// Reads the machine list, for ever.
pub(crate) async fn run_machine_list(homes: Arc<Homes>) {
    let interval = Duration::from_millis(homes.context.settings.machine_poll_ms);
    loop {
        homes.read_machine_list().await;
        let pause = match *homes.list.borrow() {
            ListKnowledge::AsOf(_) => interval,
            ListKnowledge::Unknown | ListKnowledge::Away => interval.min(AWAY_INTERVAL),
        };
        tokio::time::sleep(pause).await;
    }
}
