//! An engine stand-in with its client.

use futures::StreamExt;
use havenstage_edge::engine::{EngineClient, EngineError};
use havenstage_emulator::EngineSettings;
use havenstage_platform_http::engine::OpenAiEngineClient;
use havenstage_platform_http::http_client::{HttpClient, HttpClientSettings};
use havenstage_standin::Running;
use havenstage_standin::engine::{EngineStandin, EngineStandinSettings};
use havenstage_types::engine::{EngineAction, EngineEndpoint, EngineOrder, GenerateRequest};
use havenstage_types::ids::{AttemptId, EngineName, FencingToken, NodeId, VersionNumber};
use havenstage_types::request::FinishReason;
use havenstage_types::resource::PriorityClass;
use havenstage_types::version::VersionSegments;
use tokio::net::TcpListener;

/// A running engine and a client of it.
pub struct TestEngine {
    pub running: Running<EngineStandin>,
    pub client: OpenAiEngineClient,
    pub endpoint: EngineEndpoint,
}

/// What a stream brought in all.
#[derive(Debug, Default, PartialEq)]
pub struct Answer {
    pub tokens: Vec<u32>,
    pub segments: VersionSegments,
    pub finish: Option<FinishReason>,
}

impl Answer {
    pub fn versions(&self) -> Vec<VersionNumber> {
        self.segments
            .0
            .iter()
            .map(|segment| segment.version)
            .collect()
    }
}

impl TestEngine {
    pub async fn start(engine: EngineSettings) -> Self {
        let settings = EngineStandinSettings {
            engine,
            ..EngineStandinSettings::default()
        };
        Self::start_with(settings).await
    }

    pub async fn start_with(settings: EngineStandinSettings) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let running = EngineStandin::start(listener, settings).await.unwrap();
        let client = OpenAiEngineClient::new(HttpClient::new(HttpClientSettings::default()));
        let endpoint = EngineEndpoint {
            name: EngineName::new("engine-1"),
            address: running.address(),
        };
        Self {
            running,
            client,
            endpoint,
        }
    }

    /// Generates and reads the answer to its end.
    pub async fn generate(&self, request: GenerateRequest) -> Result<Answer, EngineError> {
        let mut chunks = self.client.generate(&self.endpoint, request).await?;
        let mut answer = Answer::default();
        while let Some(chunk) = chunks.next().await {
            let chunk = chunk?;
            answer
                .segments
                .push(chunk.version, chunk.tokens.len() as u32);
            answer.tokens.extend(chunk.tokens);
            answer.finish = chunk.finish;
        }
        Ok(answer)
    }
}

pub fn request(sequence: u64) -> GenerateRequest {
    GenerateRequest {
        attempt: AttemptId {
            node: NodeId(u64::MAX),
            sequence,
        },
        subject: format!("subject-{sequence}"),
        prompt: "when is the payment due".to_owned(),
        resume_tokens: Vec::new(),
        max_tokens: 10_000,
        class: PriorityClass::Live,
    }
}

pub fn load_version(token: u64, version: u64) -> EngineOrder {
    EngineOrder {
        token: FencingToken(token),
        action: EngineAction::LoadVersion {
            version: VersionNumber(version),
            location: format!("/models/tone/versions/{version}"),
        },
    }
}
