//! The HTTP interface of an emulated engine.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use axum::body::Body;
use axum::extract::State;
use axum::http::request::Parts;
use axum::http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Extension, Json, Router};
use bytes::Bytes;
use havenstage_emulator::SubmitRefusal;
use havenstage_emulator::content::Answer;
use havenstage_http_server::{BodyError, NoRoom};
use havenstage_standin::engine::EngineStandin;
use havenstage_types::engine::{EngineAction, EngineOrder, GenerateRequest};
use havenstage_types::ids::{AttemptId, FencingToken, NodeId, VersionNumber};
use havenstage_types::resource::PriorityClass;
use log::{info, warn};

use super::EngineIdentity;
use super::output::{self, EventStart};
use crate::dialect::{
    COMPLETIONS_PATH, CompletionRequest, ENGINE_ORDER_PATH, ENGINE_REPORT_PATH, EngineReportBody,
    LoadOrder, headers,
};

type Identity = Extension<Arc<EngineIdentity>>;

/// Returns the engine's HTTP routes.
pub(super) fn routes(identity: Arc<EngineIdentity>) -> Router<Arc<EngineStandin>> {
    Router::new()
        .route(COMPLETIONS_PATH, post(complete))
        .route(ENGINE_ORDER_PATH, post(take_order))
        .route(ENGINE_REPORT_PATH, get(report))
        .layer(Extension(identity))
}

/// Copies of a body that a run makes: the text of its prompt, and the tokens of that.
const COPIES: usize = 2;

/// Why an engine rejects a request.
enum Refusal {
    /// The request names another engine as its target.
    Misdirected,
    /// The request has no id, or one that is not visible ASCII text.
    NoRequestId,
    /// The body is not a completion request; the text names the key and what is wrong.
    Unreadable(String),
    /// Other requests hold the memory that the request needs, which has not been started.
    NoRoom(NoRoom),
    /// The engine cannot run the request now, and has not started it.
    NotRun(SubmitRefusal),
    /// The engine can never run the request.
    Impossible(SubmitRefusal),
}

impl From<SubmitRefusal> for Refusal {
    fn from(refusal: SubmitRefusal) -> Self {
        match refusal {
            SubmitRefusal::TooLong { .. } => Self::Impossible(refusal),
            SubmitRefusal::NoVersion
            | SubmitRefusal::Leaving
            | SubmitRefusal::KnownAttempt
            | SubmitRefusal::QueueFull => Self::NotRun(refusal),
        }
    }
}

impl IntoResponse for Refusal {
    fn into_response(self) -> Response {
        let not_run = (headers().not_run, HeaderValue::from_static("1"));
        match self {
            Self::Misdirected => StatusCode::MISDIRECTED_REQUEST.into_response(),
            Self::NoRequestId => StatusCode::BAD_REQUEST.into_response(),
            Self::Unreadable(reason) => (StatusCode::UNPROCESSABLE_ENTITY, reason).into_response(),
            Self::NoRoom(error) => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                (status, [not_run], error.to_string()).into_response()
            }
            Self::NotRun(refusal) => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                (status, [not_run], refusal.to_string()).into_response()
            }
            Self::Impossible(refusal) => {
                (StatusCode::UNPROCESSABLE_ENTITY, refusal.to_string()).into_response()
            }
        }
    }
}

/// Answers a request whose body the engine did not receive: it did not run.
pub(super) fn refuse_body(head: &Parts, error: BodyError) -> Response {
    let names = headers();
    let mut response = (error.status(), error.to_string()).into_response();
    let answer = response.headers_mut();
    if error.status() == StatusCode::SERVICE_UNAVAILABLE {
        answer.insert(names.not_run, HeaderValue::from_static("1"));
    }
    if let Some(id) = head.headers.get(&names.request_id) {
        answer.insert(names.request_id, id.clone());
    }
    response
}

async fn complete(
    State(engine): State<Arc<EngineStandin>>,
    Extension(identity): Identity,
    head: HeaderMap,
    body: Bytes,
) -> Response {
    let id = match request_id(&head, &identity) {
        Ok(id) => id,
        Err(refusal) => return refusal.into_response(),
    };
    let response = match run(&engine, &identity, &head, id, body).await {
        Ok(response) => response,
        Err(refusal) => refusal.into_response(),
    };
    add_identity_headers(response, &identity, head.get(headers().request_id))
}

fn request_id<'a>(head: &'a HeaderMap, identity: &EngineIdentity) -> Result<&'a str, Refusal> {
    let names = headers();
    let expected = text(head, &names.expected_backend);
    if expected.is_some_and(|expected| expected != identity.name.as_str()) {
        return Err(Refusal::Misdirected);
    }
    text(head, &names.request_id).ok_or(Refusal::NoRequestId)
}

fn text<'a>(head: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    head.get(name)?.to_str().ok()
}

fn read_request(body: &[u8]) -> Result<CompletionRequest, Refusal> {
    let document = &mut serde_json::Deserializer::from_slice(body);
    serde_path_to_error::deserialize(document)
        .map_err(|error| Refusal::Unreadable(format!("{}: {}", error.path(), error.inner())))
}

async fn run(
    engine: &EngineStandin,
    identity: &EngineIdentity,
    head: &HeaderMap,
    id: &str,
    body: Bytes,
) -> Result<Response, Refusal> {
    let names = headers();
    let share = identity.bodies.reserve(COPIES * body.len());
    let _share = share.map_err(Refusal::NoRoom)?;
    let request = read_request(&body)?;
    drop(body);
    let resumed_from = text(head, &names.last_event_id).and_then(|id| id.parse().ok());
    let resumed_from: u32 = resumed_from.unwrap_or(0);
    let settings = &identity.settings;
    let answer = Answer::to_prompt(
        settings.content_seed,
        id,
        &request.prompt,
        settings.prompt_length_share,
        &settings.output_length,
        request.max_tokens,
    );
    if resumed_from >= answer.length() {
        return Ok(finished_response(&answer, &request, resumed_from));
    }
    let version = engine.true_load().version;
    let version = version.ok_or(SubmitRefusal::NoVersion)?.0;
    let is_sample = head.contains_key(&names.urgency);
    let output = engine.generate(GenerateRequest {
        attempt: AttemptId {
            node: NodeId(identity.number),
            sequence: identity.executions.fetch_add(1, Ordering::Relaxed),
        },
        subject: id.to_owned(),
        prompt: request.prompt,
        resume_tokens: (0..resumed_from).map(|at| answer.token(at)).collect(),
        max_tokens: request.max_tokens,
        class: match is_sample {
            true => PriorityClass::Training,
            false => PriorityClass::Live,
        },
    })?;
    if !request.stream {
        return Ok(match output::collect_answer(output).await {
            Ok(answer) => Json(answer).into_response(),
            Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
        });
    }
    let start = EventStart {
        resumed_from,
        version,
        has_end_mark: request.has_end_mark,
    };
    let mut response = event_stream(Body::from_stream(output::events(output, start)));
    let version = HeaderValue::from(version);
    response.headers_mut().insert(names.weight_version, version);
    Ok(response)
}

/// Builds the response to a request whose reader already has all tokens.
fn finished_response(answer: &Answer, request: &CompletionRequest, resumed_from: u32) -> Response {
    let lacks_end_mark = request.has_end_mark && resumed_from == answer.length();
    event_stream(match lacks_end_mark {
        true => Body::from(output::end_mark(resumed_from + 1)),
        false => Body::empty(),
    })
}

fn event_stream(body: Body) -> Response {
    ([(header::CONTENT_TYPE, "text/event-stream")], body).into_response()
}

/// Adds the request's id and the engine's name to the response, so that the caller can check which request
/// it belongs to and which engine sent it.
fn add_identity_headers(
    mut response: Response,
    identity: &EngineIdentity,
    id: Option<&HeaderValue>,
) -> Response {
    let names = headers();
    let head = response.headers_mut();
    if let Some(id) = id {
        head.insert(names.request_id, id.clone());
    }
    if let Ok(name) = HeaderValue::from_str(identity.name.as_str()) {
        head.insert(names.signature, name);
    }
    response
}

async fn take_order(
    State(engine): State<Arc<EngineStandin>>,
    Extension(identity): Identity,
    Json(order): Json<LoadOrder>,
) -> StatusCode {
    let taken_before = identity.orders_taken.load(Ordering::Relaxed);
    let is_expected = order
        .expected_orders
        .is_none_or(|count| count == taken_before);
    if order.model != identity.model.as_str() || !is_expected {
        warn!(event = "engine_refused_order", engine = identity.name.as_str(),
            model = order.model.as_str(), expected_orders = format!("{:?}", order.expected_orders).as_str(),
            orders_taken = taken_before; "");
        return StatusCode::CONFLICT;
    }
    let version = VersionNumber(order.version);
    let taken = engine.take_order(EngineOrder {
        token: FencingToken(order.fence),
        action: EngineAction::LoadVersion {
            version,
            location: String::new(),
        },
    });
    let status = match taken {
        Err(_) => StatusCode::CONFLICT,
        Ok(()) if engine.true_load().version == Some(version) => StatusCode::OK,
        Ok(()) => StatusCode::ACCEPTED,
    };
    if taken.is_ok() {
        identity.orders_taken.fetch_add(1, Ordering::Relaxed);
    }
    info!(event = "engine_took_order", engine = identity.name.as_str(), version = order.version,
        holder = order.holder.as_str(), fence = order.fence, status = status.as_u16(); "");
    status
}

async fn report(
    State(engine): State<Arc<EngineStandin>>,
    Extension(identity): Identity,
) -> Json<EngineReportBody> {
    let load = engine.true_load();
    let version = load.version.map(|version| version.0);
    let models = version.map(|version| (identity.model.to_string(), version));
    Json(EngineReportBody {
        models: models.into_iter().collect::<BTreeMap<_, _>>(),
        is_loading: load.swapping,
        orders_taken: identity.orders_taken.load(Ordering::Relaxed),
        started_at_ms: identity.started_at_ms,
    })
}
