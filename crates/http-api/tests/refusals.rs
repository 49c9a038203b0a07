//! Shapes of refusals over HTTP.

#[path = "support/client.rs"]
mod client;
mod support;

use std::time::Duration;

use axum::response::IntoResponse;
use client::{Answer, send};
use havenstage_http_api::error::ApiError;
use havenstage_types::config::{ChangeError, ChangeOutcome};
use havenstage_types::ids::{ChangeId, EngineName, PoolName, Revision};
use havenstage_types::refusal::{Execution, Refusal, RefusalReason};

const COMPLETION: &str = r#"{"model":"pool","prompt":"hello"}"#;

#[tokio::test]
async fn a_refused_completion_names_its_request_and_says_that_it_did_not_run() {
    let answer = send("POST", "/v1/completions", &[], COMPLETION).await;
    assert_eq!(answer.status, 503);
    assert_eq!(answer.headers["x-request-id"], "r-00000000000000ab-1");
    assert_eq!(answer.headers["retry-after"], "2");
    insta::assert_json_snapshot!(answer.json(), @r#"
    {
      "error": {
        "code": "config_stale",
        "execution": "not_run",
        "message": "configuration may be stale on this node",
        "retry_after_ms": 1500
      }
    }
    "#);
}

#[tokio::test]
async fn malformed_requests_are_refused_before_the_node_sees_them() {
    let cases = [
        ("/v1/completions", "{", 400, "malformed"),
        ("/v1/completions", r#"{"model":"pool"}"#, 400, "malformed"),
        (
            "/v1/completions",
            r#"{"model":"p","prompt":["a","b"]}"#,
            400,
            "malformed",
        ),
        (
            "/v1/completions",
            r#"{"model":"p","prompt":"a","n":2}"#,
            400,
            "malformed",
        ),
        (
            "/v1/completions",
            r#"{"model":"p","prompt":"a","stop":["x"]}"#,
            400,
            "malformed",
        ),
        (
            "/v1/completions",
            r#"{"model":"p","prompt":"a","max_tokens":0}"#,
            400,
            "malformed",
        ),
        (
            "/v1/chat/completions",
            r#"{"model":"p","messages":[]}"#,
            400,
            "malformed",
        ),
        ("/v1/nothing", "", 404, "unknown_route"),
        ("/v1/models", "", 405, "method_not_allowed"),
        ("/v1/jobs/j/steps/0/ack", "{}", 400, "malformed"),
        ("/v1/jobs/j/steps/first/ack", "{}", 400, "bad_parameter"),
    ];
    for (path, body, status, code) in cases {
        let answer = send("POST", path, &[], body).await;
        assert_eq!(
            (answer.status, answer.code().as_str()),
            (status, code),
            "{path} {body}"
        );
        assert_eq!(answer.json()["error"]["execution"], "not_run");
    }
}

#[tokio::test]
async fn an_oversize_body_is_a_typed_413() {
    let body = format!(r#"{{"model":"pool","prompt":"{}"}}"#, "x".repeat(2_000));
    let answer = send("POST", "/v1/completions", &[], &body).await;
    assert_eq!(answer.status, 413);
    assert_eq!(answer.code(), "body_too_large");
    assert!(answer.headers.contains_key("x-request-id"));
}

#[tokio::test]
async fn a_header_with_a_wrong_value_is_refused_and_never_ignored() {
    let wrong = [
        ("x-havenstage-at-most-once", "yes"),
        ("x-havenstage-priority", "training"),
        ("x-havenstage-deadline-ms", "0"),
        ("x-havenstage-deadline-ms", "soon"),
        ("idempotency-key", ""),
    ];
    for header in wrong {
        let answer = send("POST", "/v1/completions", &[header], COMPLETION).await;
        assert_eq!(answer.code(), "bad_header", "{header:?}");
        assert_eq!(answer.status, 400);
    }
    let twice = [("idempotency-key", "a"), ("idempotency-key", "b")];
    let answer = send("POST", "/v1/completions", &twice, COMPLETION).await;
    assert_eq!(answer.code(), "bad_header");
}

#[tokio::test]
async fn a_wait_is_told_in_milliseconds_and_in_whole_seconds_rounded_up() {
    let refusal = Refusal::not_run(
        RefusalReason::Overloaded(PoolName::new("pool")),
        Some(Duration::from_millis(1_001)),
    );
    let answer = Answer::read(ApiError::from(refusal).into_response()).await;
    assert_eq!(answer.headers["retry-after"], "2");
    assert_eq!(answer.json()["error"]["retry_after_ms"], 1_001);
}

#[test]
fn statuses_fit_the_reasons() {
    let engine = EngineName::new("engine");
    let cases = [
        (RefusalReason::UnknownPool(PoolName::new("p")), 404),
        (RefusalReason::CallerLimit, 429),
        (RefusalReason::KeyReused, 409),
        (RefusalReason::DeadlineExceeded, 504),
        (RefusalReason::OutcomeUnknown, 504),
        (RefusalReason::EngineFailed(engine), 502),
        (RefusalReason::LogAway, 503),
        (RefusalReason::Stopping, 503),
    ];
    for (reason, status) in cases {
        let error = ApiError::from(Refusal::unknown(reason));
        assert_eq!(error.status().as_u16(), status, "{error}");
        assert_eq!(error.execution(), Execution::Unknown);
    }
}

#[test]
fn a_conflict_and_an_unknown_outcome_name_the_change() {
    let report = havenstage_node::node::ChangeReport {
        outcome: ChangeOutcome::Conflict {
            found: Some(Revision(9)),
        },
        in_force: None,
    };
    let id = ChangeId::new("c-1");
    let conflict = havenstage_http_api::routes::operators::change_answer(Some(id.clone()), report)
        .expect_err("a conflict is an error");
    assert_eq!(conflict.status().as_u16(), 409);
    assert_eq!(conflict.body().error.found_revision, Some(Revision(9)));

    let unknown = ApiError::from(ChangeError::OutcomeUnknown { id: id.clone() });
    assert_eq!(unknown.status().as_u16(), 504);
    assert_eq!(unknown.body().error.change_id, Some(id));
    assert_eq!(unknown.body().error.execution, Execution::Unknown);
}
