//! Routes of callers: completions, chats and the list of models.

use std::time::{SystemTime, UNIX_EPOCH};

use axum::Json;
use axum::extract::State;
use axum::response::{IntoResponse, Response, Sse};
use havenstage_types::ids::{IdempotencyKey, PoolName, RequestId};
use havenstage_types::request::CallerRequest;
use havenstage_types::resource::ResourceKind;
use http::{HeaderMap, HeaderValue};
use serde::Serialize;

use crate::answer_stream;
use crate::error::ApiError;
use crate::extract::ApiJson;
use crate::headers::{CallerHeaders, REQUEST_ID, VERSIONS, versions_value};
use crate::openai::{AnswerHead, ChatBody, CommonFields, CompletionBody, Dialect, flatten_chat};
use crate::state::ApiState;

/// `POST /v1/completions`
pub async fn completions(
    State(state): State<ApiState>,
    headers: HeaderMap,
    body: Result<ApiJson<CompletionBody>, ApiError>,
) -> Response {
    let id = state.new_request_id();
    let answer = async {
        let ApiJson(body) = body?;
        let prompt = body.prompt.into_text()?;
        answer(
            &state,
            &id,
            Dialect::Completion,
            &headers,
            body.common,
            prompt,
        )
        .await
    };
    named(&id, answer.await)
}

/// `POST /v1/chat/completions`
pub async fn chat_completions(
    State(state): State<ApiState>,
    headers: HeaderMap,
    body: Result<ApiJson<ChatBody>, ApiError>,
) -> Response {
    let id = state.new_request_id();
    let answer = async {
        let ApiJson(body) = body?;
        let prompt = flatten_chat(&body.messages)?;
        answer(&state, &id, Dialect::Chat, &headers, body.common, prompt).await
    };
    named(&id, answer.await)
}

/// A list in the OpenAI dialect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ModelList {
    /// Always `list`.
    pub object: &'static str,
    /// Pools.
    pub data: Vec<ModelEntry>,
}

/// A pool as a model of the OpenAI dialect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ModelEntry {
    /// Name of the pool.
    pub id: String,
    /// Always `model`.
    pub object: &'static str,
    /// Always `havenstage`.
    pub owned_by: &'static str,
}

/// `GET /v1/models`
pub async fn models(State(state): State<ApiState>) -> Json<ModelList> {
    let pools = state.node().list(ResourceKind::Pool);
    let entry = |pool: havenstage_types::resource::Resource| ModelEntry {
        id: pool.key.name,
        object: "model",
        owned_by: "havenstage",
    };
    Json(ModelList {
        object: "list",
        data: pools.into_iter().map(entry).collect(),
    })
}

/// Puts the request id on a response, whether it is an answer or an error.
fn named(id: &RequestId, answer: Result<Response, ApiError>) -> Response {
    let mut response = answer.unwrap_or_else(IntoResponse::into_response);
    if let Ok(value) = HeaderValue::from_str(id.as_str()) {
        response.headers_mut().insert(REQUEST_ID, value);
    }
    response
}

async fn answer(
    state: &ApiState,
    id: &RequestId,
    dialect: Dialect,
    headers: &HeaderMap,
    fields: CommonFields,
    prompt: String,
) -> Result<Response, ApiError> {
    fields.refuse_unserved()?;
    let streamed = fields.stream.unwrap_or(false);
    let head = AnswerHead {
        id: id.clone(),
        object: dialect.object(streamed),
        created: seconds_since_1970(),
        model: fields.model.clone(),
    };
    let request = caller_request(state, id, headers, fields, prompt)?;
    let answer = state.node().complete(request).await?;
    if streamed {
        let events = answer_stream::events(answer, dialect, head);
        return Ok(Sse::new(events).into_response());
    }
    let whole = answer_stream::collect(answer).await?;
    let versions = versions_value(&whole.summary.segments);
    let body = dialect.whole(&head, whole.text, &whole.summary);
    Ok(([(VERSIONS, versions)], Json(body)).into_response())
}

fn caller_request(
    state: &ApiState,
    id: &RequestId,
    headers: &HeaderMap,
    fields: CommonFields,
    prompt: String,
) -> Result<CallerRequest, ApiError> {
    let headers = CallerHeaders::read(headers, state.settings())?;
    Ok(CallerRequest {
        idempotency_key: scoped_key(&headers),
        id: id.clone(),
        caller: headers.caller,
        pool: PoolName(fields.model),
        prompt,
        max_tokens: max_tokens(state, fields.max_tokens)?,
        repeatability: headers.repeatability,
        class: headers.class,
        deadline: headers.deadline,
    })
}

/// The key within the caller's own key space, so that no caller is handed another one's answer.
fn scoped_key(headers: &CallerHeaders) -> Option<IdempotencyKey> {
    let key = headers.idempotency_key.as_ref()?;
    Some(IdempotencyKey(format!("{}/{key}", headers.caller)))
}

fn max_tokens(state: &ApiState, asked: Option<u32>) -> Result<u32, ApiError> {
    let limit = state.settings().max_tokens_limit;
    let max_tokens = asked.unwrap_or(state.settings().default_max_tokens);
    if max_tokens == 0 || max_tokens > limit {
        return Err(ApiError::malformed(format!(
            "max_tokens is {max_tokens}, allowed: 1 to {limit}"
        )));
    }
    Ok(max_tokens)
}

fn seconds_since_1970() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}
