//! Operators' and trainers' routes and the probes, over a node that serves nothing yet.

#[path = "support/client.rs"]
mod client;
mod support;

use client::send;

const POOL: &str = r#"{"kind":"Pool","name":"pool","spec":{"model":"m"}}"#;

#[tokio::test]
async fn an_unready_node_says_why() {
    let answer = send("GET", "/readyz", &[], "").await;
    assert_eq!(
        (answer.status, answer.code().as_str()),
        (503, "config_stale")
    );
    assert_eq!(send("GET", "/healthz", &[], "").await.status, 204);
}

#[tokio::test]
async fn missing_resources_and_kinds_are_told_apart() {
    let answer = send("GET", "/apis/v1/Pool/none", &[], "").await;
    assert_eq!(
        (answer.status, answer.code().as_str()),
        (404, "no_resource")
    );
    let answer = send("GET", "/apis/v1/pods", &[], "").await;
    assert_eq!(
        (answer.status, answer.code().as_str()),
        (404, "unknown_kind")
    );
    let answer = send("GET", "/apis/v1/pool", &[], "").await;
    assert_eq!(
        (answer.status, answer.text.as_str()),
        (200, r#"{"items":[]}"#)
    );
}

#[tokio::test]
async fn a_manifest_must_fit_its_path_and_its_kind() {
    let other_name = send("PUT", "/apis/v1/Pool/other", &[], POOL).await;
    assert_eq!(other_name.code(), "bad_parameter");
    let other_kind = send("PUT", "/apis/v1/Job/pool", &[], POOL).await;
    assert_eq!(other_kind.code(), "bad_parameter");
    let misspelt = POOL.replace("model", "modle");
    let answer = send("PUT", "/apis/v1/Pool/pool", &[], &misspelt).await;
    assert_eq!(
        (answer.status, answer.code().as_str()),
        (422, "invalid_resource")
    );
    assert!(answer.text.contains("modle"));
}

#[tokio::test]
async fn a_deletion_needs_a_revision() {
    let answer = send("DELETE", "/apis/v1/Pool/pool", &[], "").await;
    assert_eq!(
        (answer.status, answer.code().as_str()),
        (400, "bad_parameter")
    );
}

#[tokio::test]
async fn a_subject_with_slashes_is_explained_whole() {
    let answer = send("GET", "/apis/v1/explain/job/3/7", &[], "").await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.json()["subject"], "job/3/7");
}

#[tokio::test]
async fn status_lists_and_metrics_answer() {
    assert_eq!(send("GET", "/apis/v1/status", &[], "").await.status, 200);
    let watch = send("GET", "/apis/v1/watch/Job?from=0&wait_ms=0", &[], "").await;
    assert_eq!(watch.json()["items"], serde_json::json!([]));
    let samples = send("GET", "/v1/jobs/j/steps/0/samples?wait_ms=0", &[], "").await;
    assert_eq!(
        (samples.status, samples.code().as_str()),
        (404, "unknown_job")
    );
    let metrics = send("GET", "/metrics", &[], "").await;
    assert_eq!(metrics.headers["content-type"], "text/plain; version=0.0.4");
    assert!(metrics.text.contains(r#"route="/apis/v1/status""#));
}

#[tokio::test]
async fn a_misspelt_query_parameter_is_refused() {
    let answer = send("GET", "/v1/jobs/j/steps/0/samples?curser=1", &[], "").await;
    assert_eq!(
        (answer.status, answer.code().as_str()),
        (400, "bad_parameter")
    );
}
