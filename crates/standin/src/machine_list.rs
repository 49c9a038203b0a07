//! Stand-in of the machine list. It shows changes only after a lag.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::extract::State;
use axum::http::{HeaderMap, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use havenstage_edge::machine_list::{Machine, MachineState};
use havenstage_platform_http::machine_list::MACHINES_PATH;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::gate::Gate;
use crate::server::{Running, Standin, StandinError};

/// Path that takes a [`MachineChange`].
pub const CHANGE_PATH: &str = "/machines/change";

/// Settings of the machine-list stand-in.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MachineListSettings {
    /// Milliseconds after which a change shows.
    pub lag_ms: u64,
    /// Machines listed at the start.
    pub machines: Vec<Machine>,
}

impl MachineListSettings {
    /// Checks that no address is listed twice.
    pub fn validate(&self) -> Result<(), StandinError> {
        let mut addresses: Vec<SocketAddr> = self
            .machines
            .iter()
            .map(|machine| machine.address)
            .collect();
        addresses.sort();
        if addresses.windows(2).any(|pair| pair[0] == pair[1]) {
            return Err(StandinError::InvalidSetting {
                field: "machines",
                allowed: "each address once",
            });
        }
        Ok(())
    }
}

/// A change of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineChange {
    /// Adds a machine, or replaces the one with its address.
    Put(Machine),
    /// Sets the state of a listed machine.
    SetState {
        /// Address of the machine.
        address: SocketAddr,
        /// New state.
        state: MachineState,
    },
    /// Takes a machine off the list.
    Remove {
        /// Address of the machine.
        address: SocketAddr,
    },
}

/// Commands of the machine-list stand-in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineListMisbehaviour {
    /// Behave again.
    Behave,
    /// Answer 503.
    Unavailable,
    /// Show no further change until it behaves again.
    Freeze,
}

/// What the machine-list stand-in saw.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct MachineListRecord {
    /// Times the list was read.
    pub reads: u64,
    /// Times it answered 503.
    pub refused: u64,
    /// Changes taken.
    pub changes: u64,
}

/// State of the machine-list stand-in.
#[derive(Debug)]
pub struct MachineListStandin {
    lag: Duration,
    list: Mutex<List>,
}

#[derive(Debug)]
struct List {
    shown: Vec<Machine>,
    /// How many changes have been shown.
    shown_changes: u64,
    /// Drawn at the start, so that a list of an earlier run has another tag.
    run: u64,
    pending: Vec<(Instant, MachineChange)>,
    misbehaviour: MachineListMisbehaviour,
    seen: MachineListRecord,
}

impl MachineListStandin {
    /// Starts a machine list on `listener`.
    pub async fn start(
        listener: TcpListener,
        settings: MachineListSettings,
    ) -> Result<Running<Self>, StandinError> {
        settings.validate()?;
        let list = List {
            shown: settings.machines,
            shown_changes: 0,
            run: rand::random(),
            pending: Vec::new(),
            misbehaviour: MachineListMisbehaviour::Behave,
            seen: MachineListRecord::default(),
        };
        let state = Arc::new(Self {
            lag: Duration::from_millis(settings.lag_ms),
            list: Mutex::new(list),
        });
        let routes = Router::new()
            .route(MACHINES_PATH, get(machines))
            .route(CHANGE_PATH, post(change));
        Running::start(listener, Gate::new(), state, routes)
    }

    /// Takes a change; it shows after the lag.
    pub fn change(&self, change: MachineChange) {
        let shows_at = Instant::now() + self.lag;
        let mut list = self.lock();
        list.seen.changes += 1;
        list.pending.push((shows_at, change));
    }

    fn lock(&self) -> MutexGuard<'_, List> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Runs a machine list on `listener` until it fails.
pub async fn serve(
    listener: TcpListener,
    settings: MachineListSettings,
) -> Result<(), StandinError> {
    MachineListStandin::start(listener, settings)
        .await?
        .wait()
        .await;
    Ok(())
}

impl Standin for MachineListStandin {
    type Misbehaviour = MachineListMisbehaviour;
    type Record = MachineListRecord;

    fn misbehave(&self, command: MachineListMisbehaviour) {
        self.lock().misbehaviour = command;
    }

    fn record(&self) -> MachineListRecord {
        self.lock().seen
    }
}

impl List {
    fn show_due_changes(&mut self, now: Instant) {
        if self.misbehaviour == MachineListMisbehaviour::Freeze {
            return;
        }
        let due = self
            .pending
            .partition_point(|(shows_at, _)| *shows_at <= now);
        for (_, change) in self.pending.drain(..due) {
            apply(&mut self.shown, change);
            self.shown_changes += 1;
        }
    }

    /// Tells one shown list from another.
    fn entity_tag(&self) -> String {
        format!("\"{:x}-{}\"", self.run, self.shown_changes)
    }
}

fn apply(machines: &mut Vec<Machine>, change: MachineChange) {
    match change {
        MachineChange::Put(machine) => {
            machines.retain(|listed| listed.address != machine.address);
            machines.push(machine);
        }
        MachineChange::SetState { address, state } => {
            for machine in machines.iter_mut() {
                if machine.address == address {
                    machine.state = state;
                }
            }
        }
        MachineChange::Remove { address } => {
            machines.retain(|listed| listed.address != address);
        }
    }
}

async fn machines(State(standin): State<Arc<MachineListStandin>>, headers: HeaderMap) -> Response {
    let mut list = standin.lock();
    if list.misbehaviour == MachineListMisbehaviour::Unavailable {
        list.seen.refused += 1;
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    list.seen.reads += 1;
    list.show_due_changes(Instant::now());
    let tag = list.entity_tag();
    if headers
        .get(header::IF_NONE_MATCH)
        .is_some_and(|known| known.as_bytes() == tag.as_bytes())
    {
        return (StatusCode::NOT_MODIFIED, [(header::ETAG, tag)]).into_response();
    }
    ([(header::ETAG, tag)], Json(list.shown.clone())).into_response()
}

async fn change(State(standin): State<Arc<MachineListStandin>>, Json(change): Json<MachineChange>) {
    standin.change(change);
}
