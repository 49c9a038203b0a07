//! Operators' changes: proposed to the log, answered once the fold has decided them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use havenstage_edge::log_service::LogError;
use havenstage_types::codec;
use havenstage_types::config::{
    ChangeError, ChangeOutcome, ConfigChange, ConfigRecord, InForce, Precondition,
};
use havenstage_types::ids::{
    ChangeId, LogOffset, ModelName, NodeId, Revision, VersionNumber, streams,
};
use havenstage_types::peer::PeerRequestBody;
use havenstage_types::resource::{ResourceKey, ResourceKind, ResourceSpec, WeightVersionSpec};
use tokio::time::{Instant, timeout_at};

use crate::context::NodeContext;
use crate::node::ChangeReport;

/// How long a proposed change may take to be read back.
const DECISION_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause between two rounds of asking which members have applied a change.
const IN_FORCE_POLL: Duration = Duration::from_millis(200);

/// Proposes a change and waits for the fold's decision.
pub(crate) async fn apply(
    context: &NodeContext,
    change: ConfigChange,
    wait_in_force: Option<Duration>,
) -> Result<ChangeReport, ChangeError> {
    if context.lifecycle.is_stopping() {
        return Err(ChangeError::Stopping);
    }
    let _in_flight = context.lifecycle.track();
    let outcome = decide(context, change).await?;
    let in_force = match (&outcome, wait_in_force) {
        (ChangeOutcome::Accepted(revision), Some(patience)) => {
            Some(wait_until_in_force(context, *revision, patience).await)
        }
        _ => None,
    };
    Ok(ChangeReport { outcome, in_force })
}

/// Publishes a weight version as a change that only the first publisher of the number makes.
pub(crate) async fn publish_version(
    context: &NodeContext,
    model: ModelName,
    number: VersionNumber,
    location: String,
    wait_in_force: Option<Duration>,
) -> Result<ChangeReport, ChangeError> {
    let name = format!("{model}-{number}");
    let change = ConfigChange {
        id: ChangeId(format!("publish-{name}-{location}")),
        key: ResourceKey {
            kind: ResourceKind::WeightVersion,
            name,
        },
        precondition: Precondition::Absent,
        spec: Some(ResourceSpec::WeightVersion(WeightVersionSpec {
            model,
            number,
            location,
        })),
    };
    apply(context, change, wait_in_force).await
}

async fn decide(context: &NodeContext, change: ConfigChange) -> Result<ChangeOutcome, ChangeError> {
    let deadline = Instant::now() + DECISION_TIMEOUT;
    let state = context.state();
    if let Some(outcome) = state.outcome_of(&change.id) {
        return Ok(outcome.clone());
    }
    // Refusing here is only a courtesy: the fold checks again at the change's offset.
    state.validate_spec(&change.key, change.spec.as_ref())?;
    let id = change.id.clone();
    let Ok(payload) = codec::encode(&ConfigRecord::Change(change)) else {
        return Err(ChangeError::OutcomeUnknown { id });
    };
    let append = append_until_sent(context, payload);
    if timeout_at(deadline, append).await.is_err() {
        return Err(ChangeError::OutcomeUnknown { id });
    }
    let decided = wait_for_outcome(context, &id);
    match timeout_at(deadline, decided).await {
        Ok(outcome) => Ok(outcome),
        Err(_elapsed) => Err(ChangeError::OutcomeUnknown { id }),
    }
}

/// Appends until the log has answered, or may have the record although its answer was lost.
async fn append_until_sent(context: &NodeContext, payload: bytes::Bytes) {
    loop {
        let appended = context
            .environment
            .log
            .append(&streams::config(), vec![payload.clone()])
            .await;
        match appended {
            Ok(_) | Err(LogError::NoAnswer | LogError::Malformed) => return,
            Err(LogError::NotSent | LogError::Unavailable) => {
                tokio::time::sleep(context.settings.log_retry()).await;
            }
        }
    }
}

async fn wait_for_outcome(context: &NodeContext, id: &ChangeId) -> ChangeOutcome {
    let mut applied = context.config.subscribe();
    loop {
        applied.borrow_and_update();
        if let Some(outcome) = context.state().outcome_of(id) {
            return outcome.clone();
        }
        if applied.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Waits until every member has applied `revision`, or the freshness bound has passed for the ones
/// that have not and a majority of the named members has. By then a node without it refuses new
/// work: it has neither heard the log nor a majority that knows no more than itself.
async fn wait_until_in_force(
    context: &NodeContext,
    revision: Revision,
    patience: Duration,
) -> InForce {
    let started = Instant::now();
    let bound = context.settings.freshness_bound();
    let mut applied: BTreeSet<NodeId> = BTreeSet::new();
    loop {
        ask_members(context, revision, &mut applied).await;
        let lagging: Vec<NodeId> = members_to_ask(context)
            .into_keys()
            .filter(|node| !applied.contains(node))
            .collect();
        let bound_passed = started.elapsed() >= bound && majority_applied(context, &applied);
        if lagging.is_empty() || bound_passed {
            return InForce {
                everywhere: true,
                lagging,
            };
        }
        if started.elapsed() >= patience {
            return InForce {
                everywhere: false,
                lagging,
            };
        }
        tokio::time::sleep(IN_FORCE_POLL).await;
    }
}

/// Members that may serve, with their addresses. One that is held dead may only be cut off, and
/// then it serves until the freshness bound has passed; it is surely gone when another process
/// answers at its address.
fn members_to_ask(context: &NodeContext) -> BTreeMap<NodeId, SocketAddr> {
    let view = context.view();
    let state = context.state();
    let running: BTreeMap<SocketAddr, NodeId> = view
        .running()
        .map(|member| (member.identity.peer_address, member.identity.id))
        .collect();
    let viewed = view.members.values().map(|member| &member.identity);
    let known = viewed
        .chain(&state.members().members)
        .map(|identity| (identity.id, identity.peer_address));
    known
        .chain(context.members.seen())
        .filter(|(id, address)| running.get(address).is_none_or(|runs| runs == id))
        .collect()
}

async fn ask_members(context: &NodeContext, revision: Revision, applied: &mut BTreeSet<NodeId>) {
    let own = context.node_id();
    let asked = members_to_ask(context)
        .into_iter()
        .filter(|(node, _)| !applied.contains(node))
        .map(|(node, address)| async move {
            let has_applied = node == own || has_applied(context, address, revision).await;
            has_applied.then_some(node)
        });
    let answers = join_all(asked).await;
    applied.extend(answers.into_iter().flatten());
}

async fn has_applied(context: &NodeContext, address: SocketAddr, revision: Revision) -> bool {
    context
        .member_offset(address)
        .await
        .is_some_and(|offset| offset.0 > revision.0)
}

fn majority_applied(context: &NodeContext, applied: &BTreeSet<NodeId>) -> bool {
    let state = context.state();
    let named = &state.members().members;
    let applied = named
        .iter()
        .filter(|member| applied.contains(&member.id))
        .count();
    applied * 2 > named.len()
}

impl NodeContext {
    /// Configuration offset a member has applied, asked of the member itself.
    async fn member_offset(&self, address: SocketAddr) -> Option<LogOffset> {
        let request = havenstage_types::peer::PeerRequest {
            from: self.node_id(),
            config_offset: self.config_offset(),
            body: PeerRequestBody::ConfigOffset,
        };
        let timeout = self.settings.peer_timeout();
        let response = self.environment.peers.call(address, request, timeout).await;
        response.ok().map(|response| response.config_offset)
    }
}
