//! What a home must know before it admits: a recent report of the engine and a recent look at the
//! machine list. A home that was cut off or frozen would else give work to an engine that has been
//! leaving for a while.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use havenstage_platform::machine_list::{Machine, MachineRole, MachineState};
use havenstage_types::clock::Moment;
use havenstage_types::ids::EngineName;
use havenstage_types::peer::{AdmitRequest, PeerResponseBody};
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

/// What this node knows about the machine list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ListKnowledge {
    /// Nothing since the start, or since the node was cut off.
    Unknown,
    /// It was read; the question was sent at this moment.
    AsOf(Moment),
    /// It does not answer. Work goes on, since nobody can tell how long that lasts.
    Away,
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

    async fn read_machine_list(self: &Arc<Self>) {
        let asked_at = self.context.now();
        let machines = self.context.environment.machines.machines();
        let Ok(Ok(machines)) = timeout(LIST_TIMEOUT, machines).await else {
            self.list.send_replace(ListKnowledge::Away);
            return;
        };
        if self.set_leaving_machines(leaving(&machines)) {
            self.reconcile();
        }
        self.list.send_replace(ListKnowledge::AsOf(asked_at));
    }

    fn set_leaving_machines(&self, leaving: BTreeSet<SocketAddr>) -> bool {
        let mut known = lock(&self.leaving_machines);
        let changed = *known != leaving;
        *known = leaving;
        changed
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
        tokio::time::sleep(interval).await;
    }
}
