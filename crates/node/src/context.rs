//! What all services of one node share: settings, identity, configuration, membership, decisions.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, Weak};
use std::time::Duration;

use havenstage_config::ConfigState;
use havenstage_edge::peer::{PeerError, PeerHandler};
use havenstage_types::clock::Moment;
use havenstage_types::ids::{AttemptId, LogOffset, NodeId};
use havenstage_types::member::{MemberIdentity, MembershipView};
use havenstage_types::peer::{PeerRequest, PeerRequestBody, PeerResponse, PeerResponseBody};
use havenstage_types::refusal::RefusalReason;

use crate::config_store::ConfigStore;
use crate::decision_log::DecisionLog;
use crate::environment::Environment;
use crate::lifecycle::Lifecycle;
use crate::locks::lock;
use crate::mechanisms::Mechanisms;
use crate::member_service::MemberService;
use crate::settings::NodeSettings;

/// Shared state of one node.
pub(crate) struct NodeContext {
    pub(crate) settings: NodeSettings,
    pub(crate) environment: Environment,
    pub(crate) mechanisms: Mechanisms,
    pub(crate) config: ConfigStore,
    pub(crate) members: MemberService,
    pub(crate) decisions: DecisionLog,
    pub(crate) lifecycle: Lifecycle,
    attempts: AtomicU64,
    seeds: Mutex<u64>,
    /// Answers requests that this node addresses to itself.
    local: OnceLock<Weak<dyn PeerHandler>>,
}

impl NodeContext {
    pub(crate) fn new(
        settings: NodeSettings,
        identity: MemberIdentity,
        environment: Environment,
        mechanisms: Mechanisms,
    ) -> Arc<Self> {
        let decisions = DecisionLog::new(settings.recent_decisions, settings.decision_shards);
        let members = MemberService::new(identity, &settings, environment.seed);
        Arc::new(Self {
            config: ConfigStore::new(),
            members,
            decisions,
            lifecycle: Lifecycle::new(),
            attempts: AtomicU64::new(0),
            seeds: Mutex::new(environment.seed),
            local: OnceLock::new(),
            settings,
            environment,
            mechanisms,
        })
    }

    /// Names who answers requests that this node addresses to itself.
    pub(crate) fn set_local_handler(&self, handler: Weak<dyn PeerHandler>) {
        // Set once by the node's constructor.
        let _ = self.local.set(handler);
    }

    pub(crate) fn now(&self) -> Moment {
        self.environment.clock.now()
    }

    pub(crate) fn node_id(&self) -> NodeId {
        self.members.identity().id
    }

    pub(crate) fn state(&self) -> Arc<ConfigState> {
        self.config.state()
    }

    pub(crate) fn view(&self) -> Arc<MembershipView> {
        self.members.view()
    }

    pub(crate) fn config_offset(&self) -> LogOffset {
        self.config.next_offset()
    }

    /// An attempt id no other execution in the deployment has.
    pub(crate) fn next_attempt(&self) -> AttemptId {
        AttemptId {
            node: self.node_id(),
            sequence: self.attempts.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }

    /// A seed for a component's own random numbers.
    pub(crate) fn next_seed(&self) -> u64 {
        let mut seed = lock(&self.seeds);
        *seed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        *seed
    }

    /// Whether new work may be dispatched now. Asked at admission and again right before each
    /// dispatch, since the process may have been frozen in between.
    pub(crate) fn check_dispatch(&self) -> Result<(), RefusalReason> {
        if !self.mechanisms.freshness {
            return Ok(());
        }
        let state = self.state();
        self.members
            .check_fresh(self.now(), state.next_offset(), state.members())
            .map_err(|_stale| RefusalReason::ConfigStale)
    }

    /// Sends a request to another node, or answers it here when the node is this one.
    pub(crate) async fn call(
        &self,
        node: NodeId,
        body: PeerRequestBody,
    ) -> Result<PeerResponseBody, CallError> {
        let timeout = self.settings.peer_timeout();
        self.call_within(node, body, timeout).await
    }

    /// [`Self::call`] with its own patience.
    pub(crate) async fn call_within(
        &self,
        node: NodeId,
        body: PeerRequestBody,
        timeout: Duration,
    ) -> Result<PeerResponseBody, CallError> {
        let request = self.request(body);
        if node == self.node_id() {
            let answered = tokio::time::timeout(timeout, self.answer_locally(request)).await;
            return answered.unwrap_or(Err(CallError::Network(PeerError::NoAnswer)));
        }
        let address = self
            .view()
            .members
            .get(&node)
            .map(|member| member.identity.peer_address)
            .ok_or(CallError::UnknownMember)?;
        self.call_address(node, address, request, timeout).await
    }

    fn request(&self, body: PeerRequestBody) -> PeerRequest {
        PeerRequest {
            from: self.node_id(),
            config_offset: self.config_offset(),
            body,
        }
    }

    async fn call_address(
        &self,
        node: NodeId,
        address: SocketAddr,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerResponseBody, CallError> {
        let response: PeerResponse = self
            .environment
            .peers
            .call(address, request, timeout)
            .await?;
        self.members.note_offset(node, response.config_offset);
        Ok(response.body)
    }

    async fn answer_locally(&self, request: PeerRequest) -> Result<PeerResponseBody, CallError> {
        let handler = self
            .local
            .get()
            .and_then(Weak::upgrade)
            .ok_or(CallError::UnknownMember)?;
        Ok(handler.handle_request(request).await.body)
    }
}

/// Why a call to another node brought no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum CallError {
    /// The member is not in this node's view.
    #[error("the member is unknown")]
    UnknownMember,
    /// The network brought no answer.
    #[error(transparent)]
    Network(#[from] PeerError),
}
