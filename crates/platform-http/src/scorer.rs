//! Wire format of the scorer: `POST /score` takes a [`ScoreRequest`] and answers a [`ScoreAnswer`].

use std::net::SocketAddr;

use async_trait::async_trait;
use havenstage_edge::scorer::{ScoreRequest, Scorer, ScorerError};
use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::http_client::HttpClient;

/// Path that takes a sample to be scored.
pub const SCORE_PATH: &str = "/score";

/// The reward of a sample.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ScoreAnswer {
    /// Reward.
    pub reward: f64,
}

/// Client of the scorer.
#[derive(Debug, Clone)]
pub struct HttpScorer {
    client: HttpClient,
    server: SocketAddr,
}

impl HttpScorer {
    /// A client of the scorer at `server`.
    pub fn new(client: HttpClient, server: SocketAddr) -> Self {
        Self { client, server }
    }
}

#[async_trait]
impl Scorer for HttpScorer {
    async fn score(&self, request: ScoreRequest) -> Result<f64, ScorerError> {
        let answer = self
            .client
            .post(self.server, SCORE_PATH, &request)
            .await
            .map_err(|_| ScorerError::Unavailable)?;
        if answer.status != StatusCode::OK {
            return Err(ScorerError::Unavailable);
        }
        let score: ScoreAnswer = answer.json().ok_or(ScorerError::Malformed)?;
        Ok(score.reward)
    }
}
