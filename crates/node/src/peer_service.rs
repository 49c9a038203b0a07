//! Answers other nodes: hands each request to the service that owns its matter.

use std::net::SocketAddr;

use async_trait::async_trait;
use havenstage_edge::peer::PeerHandler;
use havenstage_types::gossip::GossipPacket;
use havenstage_types::ids::LogOffset;
use havenstage_types::peer::{PeerRequest, PeerRequestBody, PeerResponse, PeerResponseBody};

use crate::node::Node;

#[async_trait]
impl PeerHandler for Node {
    async fn handle_request(&self, request: PeerRequest) -> PeerResponse {
        self.context
            .members
            .note_offset(request.from, request.config_offset);
        let body = self.answer(request.body).await;
        PeerResponse {
            config_offset: self.context.config_offset(),
            body,
        }
    }

    async fn handle_gossip(&self, from: SocketAddr, packet: GossipPacket) {
        let context = &self.context;
        context
            .members
            .packet(&context.environment, from, packet)
            .await;
    }
}

impl Node {
    async fn answer(&self, body: PeerRequestBody) -> PeerResponseBody {
        match body {
            PeerRequestBody::Admit(ask) => self.homes.admit(ask).await,
            PeerRequestBody::Release(release) => {
                self.homes.release(&release);
                PeerResponseBody::Done
            }
            PeerRequestBody::Preempt(attempt) => {
                self.running.preempt(attempt);
                PeerResponseBody::Done
            }
            PeerRequestBody::Claim(claim) => self.claims.claim(claim).await,
            PeerRequestBody::AbandonClaim { key, attempt } => {
                self.claims.abandon(key, attempt).await
            }
            PeerRequestBody::CompleteClaim {
                key,
                attempt,
                outcome,
            } => self.claims.complete(key, attempt, outcome).await,
            PeerRequestBody::KeepAnswer {
                key,
                fingerprint,
                answer,
            } => {
                self.kept_answers.insert(key, fingerprint, answer);
                PeerResponseBody::Done
            }
            PeerRequestBody::FetchAnswer { key, fingerprint } => {
                PeerResponseBody::KeptAnswer(self.kept_answers.get(&key, fingerprint))
            }
            PeerRequestBody::ConfigRecords { from } => self.config_records(from),
            PeerRequestBody::Explain { subject } => {
                PeerResponseBody::Decisions(self.context.decisions.about(&subject))
            }
            PeerRequestBody::RunSample(assignment) => {
                PeerResponseBody::SampleEnded(self.samples.run(*assignment).await)
            }
            PeerRequestBody::ConfigOffset => PeerResponseBody::Done,
            PeerRequestBody::LeavingMachines => {
                PeerResponseBody::LeavingMachines(self.homes.leaving_machines())
            }
        }
    }

    fn config_records(&self, from: LogOffset) -> PeerResponseBody {
        let catch_up = self.context.config.catch_up(from);
        PeerResponseBody::ConfigRecords {
            snapshot: catch_up.snapshot,
            records: catch_up.records,
        }
    }
}
