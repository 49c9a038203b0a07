//! How the dialect reads and writes batch calls, submissions, results, orders and reports.

use bytes::Bytes;
use havenstage_gateway::edge::{BatchCall, Dialect, LoadMode, ResultPage, VersionOrder};
use havenstage_rollout::batch_state::ItemResult;
use havenstage_rollout::ids::{BatchId, ItemId, ModelName};
use havenstage_rollout::record::{GiveUpReason, Outcome, OutputEvent};
use havenstage_service::dialect::{CompletionRequest, HavenstageDialect, LoadOrder, Results};
use http::{Method, StatusCode, Uri};
use http_body_util::BodyExt;
use serde_json::{Value, json};

fn call(method: Method, path: &str) -> Option<BatchCall> {
    let uri: Uri = path.parse().unwrap();
    HavenstageDialect::new().batch_call(&method, &uri)
}

#[test]
fn batch_calls_are_recognized_and_malformed_ones_reported() {
    let batch = BatchId::from("b");
    let read = |from| {
        Some(BatchCall::Read {
            batch: batch.clone(),
            from,
        })
    };
    assert_eq!(call(Method::GET, "/v1/batches/b/results"), read(0));
    assert_eq!(call(Method::GET, "/v1/batches/b/results?from=7"), read(7));
    let body = BatchCall::ItemBody {
        batch: batch.clone(),
        item: ItemId::from("s"),
    };
    assert_eq!(call(Method::GET, "/v1/batches/b/samples/s"), Some(body));
    let end = BatchCall::End { batch };
    assert_eq!(call(Method::DELETE, "/v1/batches/b"), Some(end));
    let malformed = [
        (Method::GET, "/v1/batches/b/results?from=-1"),
        (Method::GET, "/v1/batches/b/results?since=1"),
        (Method::GET, "/v1/batches/b"),
        (Method::GET, "/v1/batches/b/samples"),
        (Method::DELETE, "/v1/batches/"),
        (Method::PUT, "/v1/batches/b"),
    ];
    for (method, path) in malformed {
        assert_eq!(call(method, path), Some(BatchCall::Malformed), "{path}");
    }
    assert_eq!(call(Method::POST, "/v1/batches/"), None);
    assert_eq!(call(Method::GET, "/v1/completions"), None);
}

fn read(body: &Value) -> Result<havenstage_rollout::batch::Submission, String> {
    let body = body.to_string();
    let dialect = HavenstageDialect::new();
    let read = dialect.read_submission(BatchId::from("b"), "h", "/v1/batches/", body.as_bytes());
    read.map_err(|error| error.to_string())
}

fn sample() -> Value {
    json!({ "id": "s1", "group": "g1", "prompt": "p", "max_tokens": 30 })
}

#[test]
fn a_batch_is_read() {
    let mut scored = sample();
    scored["score"] = json!({ "id": "c", "host": "h", "path": "/score", "body": { "of": 1 } });
    let submission = read(&json!({
        "model": "m", "step": 4, "minimum_version": 3, "wanted_groups": 1, "samples": [scored],
    }));
    let submission = submission.unwrap();
    assert_eq!((submission.step, submission.minimum_version), (Some(4), 3));
    assert_eq!(submission.model, Some(ModelName::from("m")));
    assert_eq!(submission.desired_groups, 1);
    let item = &submission.items[0];
    assert_eq!(
        (item.path.as_str(), item.expected_tokens),
        ("/v1/completions", 30)
    );
    let request: CompletionRequest = serde_json::from_slice(&item.body).unwrap();
    assert!(request.stream && !request.has_end_mark);
    assert_eq!((request.prompt.as_str(), request.max_tokens), ("p", 30));
    let reward = item.reward.as_ref().unwrap();
    assert_eq!(reward.body, Bytes::from_static(br#"{"of":1}"#));
    let all = read(&json!({ "model": "m", "samples": [sample(), sample()] })).unwrap();
    assert_eq!(
        all.desired_groups, 2,
        "the default of wanted_groups is the number of samples"
    );
}

#[test]
fn a_batch_that_cannot_be_read_names_the_key() {
    let mut without_prompt = sample();
    without_prompt.as_object_mut().unwrap().remove("prompt");
    let mut negative = sample();
    negative["max_tokens"] = json!(-1);
    let cases = [
        (json!({ "samples": [] }), "model"),
        (json!({ "model": 7, "samples": [] }), "model: invalid type"),
        (
            json!({ "model": "m", "samples": [without_prompt] }),
            "samples[0]: missing field `prompt`",
        ),
        (
            json!({ "model": "m", "samples": [sample(), negative] }),
            "samples[1].max_tokens",
        ),
        (json!({ "model": "m", "samples": [], "stpe": 1 }), "stpe"),
    ];
    for (body, expected) in cases {
        let error = read(&body).unwrap_err();
        assert!(error.contains(expected), "{body}: {error}");
    }
}

fn event(version: u64, text: &str) -> OutputEvent {
    let data = json!({ "choices": [{ "index": 0, "text": text, "finish_reason": null }] });
    OutputEvent {
        version,
        data: Bytes::from(data.to_string()),
    }
}

#[test]
fn results_hold_text_and_versions_or_the_reason_for_giving_up() {
    let completed = ItemResult {
        outcome: Outcome::Completed {
            score: Some("signed".to_owned()),
        },
        events: vec![event(2, " a"), event(3, " b")],
    };
    let given_up = ItemResult {
        outcome: Outcome::GivenUp(GiveUpReason::TooLate),
        events: Vec::new(),
    };
    let (first, second) = (ItemId::from("s1"), ItemId::from("s2"));
    let page = ResultPage {
        total: 3,
        next: 2,
        results: vec![(&first, &completed), (&second, &given_up)],
    };
    let dialect = HavenstageDialect::new();
    let written = dialect.write_results(&page);
    let most_bytes = dialect.result_bytes(&completed) + dialect.result_bytes(&given_up);
    assert!(
        written.len() <= most_bytes + 100,
        "at most 100 bytes for the fields of the page itself"
    );
    let results: Results = serde_json::from_slice(&written).unwrap();
    assert_eq!((results.total, results.next), (3, 2));
    let [whole, none] = &results.results[..] else {
        panic!("{results:?}")
    };
    assert_eq!(
        (whole.text.as_str(), &whole.weight_versions[..]),
        (" a b", &[2, 3][..])
    );
    assert_eq!(whole.score.as_deref(), Some("signed"));
    assert_eq!(
        (none.sample.as_str(), none.reason.as_deref()),
        ("s2", Some("TooLate"))
    );
}

#[tokio::test]
async fn an_order_contains_its_fencing_token_and_a_report_is_read() {
    let dialect = HavenstageDialect::new();
    let request = dialect.order_request(&VersionOrder {
        model: ModelName::from("m"),
        version: 5,
        mode: LoadMode::Retain,
        holder: "node".to_owned(),
        fence: 9,
        expected_orders: Some(2),
    });
    let body = request.into_body().collect().await.unwrap().to_bytes();
    let order: LoadOrder = serde_json::from_slice(&body).unwrap();
    let expected = (5, 9, Some(2), true);
    let sent = (
        order.version,
        order.fence,
        order.expected_orders,
        order.keeps_running,
    );
    assert_eq!(sent, expected);
    let report = json!({
        "models": { "m": 5 }, "is_loading": true, "orders_taken": 3, "started_at_ms": 10,
    });
    let report = dialect.read_report(report.to_string().as_bytes()).unwrap();
    assert_eq!(report.models[&ModelName::from("m")], 5);
    assert!(report.busy && report.orders_taken == 3);
    assert_eq!(dialect.read_report(b"{}"), None);
}

#[test]
fn not_run_is_recognized_by_its_header_or_by_status_misdirected() {
    let dialect = HavenstageDialect::new();
    let mut head = http::HeaderMap::new();
    assert!(dialect.is_not_run(StatusCode::MISDIRECTED_REQUEST, &head));
    assert!(!dialect.is_not_run(StatusCode::SERVICE_UNAVAILABLE, &head));
    head.insert("x-not-run", "1".parse().unwrap());
    assert!(dialect.is_not_run(StatusCode::SERVICE_UNAVAILABLE, &head));
}
