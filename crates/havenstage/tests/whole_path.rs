//! The built program as processes on loopback: an operator, callers, a trainer, and faults of the
//! log. Steps are waited for, never timed.

#[path = "support/deployment.rs"]
mod deployment;
#[path = "support/process.rs"]
mod process;
mod support;

use std::net::SocketAddr;
use std::time::Duration;

use deployment::Deployment;
use havenstage_platform_http::http_client::{HttpClient, HttpClientSettings};
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use process::{Process, Service};
use serde_json::{Value, json};
use support::{file, havenstage};

const PATIENCE: Duration = Duration::from_secs(60);

/// An engine that answers at once, with as many tokens as asked for.
const FAST: &str = "[engine]\ninstant = true\noutput_length = { fixed = { tokens = 1000 } }\n";
/// An engine that gives a token every 20 milliseconds, each as a chunk.
const SLOW: &str = "[engine]\ntokens_per_chunk = 1\noutput_length = { fixed = { tokens = 1000 } }\n\
                    [engine.compute]\niteration_us = 20000.0\n";

struct Response {
    status: u16,
    headers: http::HeaderMap,
    body: String,
}

async fn post(server: SocketAddr, path: &str, headers: &[(&str, &str)], body: Value) -> Response {
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{server}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let body = Full::from(body.to_string());
    let request = request.body(body).expect("the request is well formed");
    let client = HttpClient::new(HttpClientSettings::default());
    let response = client.send(request, PATIENCE).await.expect("an answer");
    let (parts, body) = response.into_parts();
    let body = body.collect().await.expect("a whole body").to_bytes();
    Response {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body: String::from_utf8(body.to_vec()).expect("text"),
    }
}

fn completion(prompt: &str, max_tokens: u32) -> Value {
    json!({"model": "p", "prompt": prompt, "max_tokens": max_tokens})
}

async fn record(standin: SocketAddr) -> Value {
    let client = HttpClient::new(HttpClientSettings::default());
    let record = client.get(standin, "/record").await.expect("a record");
    record.json().expect("JSON")
}

async fn executions(engine: SocketAddr, request: &str) -> usize {
    let record = record(engine).await;
    let executions = record["executions"].as_array().expect("a list");
    let of_request = |execution: &&Value| execution["subject"] == request;
    executions.iter().filter(of_request).count()
}

#[tokio::test]
async fn callers_get_whole_answers_with_versions_and_a_repeat_runs_once() {
    let deployment = Deployment::start("callers", FAST);
    deployment.create_pool("callers");
    let server = deployment.server;

    let whole = post(server, "/v1/completions", &[], completion("hello", 8)).await;
    assert_eq!(whole.status, 200, "{}", whole.body);
    assert_eq!(whole.headers["x-havenstage-versions"], "1=8");

    let once = [
        ("idempotency-key", "k"),
        ("x-havenstage-at-most-once", "true"),
    ];
    let first = post(server, "/v1/completions", &once, completion("notice", 8)).await;
    let repeat = post(server, "/v1/completions", &once, completion("notice", 8)).await;
    let text = |response: &Response| {
        let body: Value = serde_json::from_str(&response.body).expect("JSON");
        body["choices"][0]["text"].clone()
    };
    assert_eq!(first.status, 200, "{}", first.body);
    assert_eq!(text(&first), text(&repeat));
    let request = first.headers["x-request-id"].to_str().expect("text");
    let repeated = repeat.headers["x-request-id"].to_str().expect("text");
    assert_eq!(executions(deployment.engine.address, request).await, 1);
    assert_eq!(executions(deployment.engine.address, repeated).await, 0);

    let other_body = post(server, "/v1/completions", &once, completion("other", 8)).await;
    assert_eq!(other_body.status, 409, "{}", other_body.body);
    let mut other_caller = once.to_vec();
    other_caller.push(("x-havenstage-caller", "desk"));
    let own = post(
        server,
        "/v1/completions",
        &other_caller,
        completion("other", 8),
    )
    .await;
    assert_eq!(
        own.status, 200,
        "keys of two callers are apart: {}",
        own.body
    );

    let explained = deployment.ctl_json(&["explain", request]);
    assert!(
        explained["decisions"].to_string().contains("placed"),
        "{explained}"
    );
}

#[tokio::test]
async fn a_trainer_gets_every_sample_of_its_steps_once() {
    let deployment = Deployment::start("trainer", FAST);
    deployment.create_pool("trainer");
    let job = "kind = \"Job\"\nname = \"j\"\n[spec]\npool = \"p\"\nprompts = [\"a\", \"b\"]\n\
               group_size = 2\nsamples_per_step = 4\nstaleness_bound = 1\nmax_tokens = 20\n\
               steps = 2\n";
    let job = file("trainer-job.toml", job);
    let applied = deployment.ctl(&["apply", "-f", job.to_str().expect("the path is text")]);
    assert_eq!(applied.code, Some(0), "{}", applied.stderr);

    let settings = format!(
        "job = \"j\"\nmodel = \"m\"\nnodes = [\"{}\"]\nsteps = 2\ntraining_ms = 1\n",
        deployment.server
    );
    let settings = file("trainer.toml", &settings);
    let settings = settings.to_str().expect("the path is text");
    let trainer = Service::start("trainer", &["--config", settings]);
    let seen = loop {
        let seen = record(trainer.address).await;
        if seen["finished"] == true {
            break seen;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    };
    let deliveries = seen["deliveries"].as_array().expect("a list");
    let mut slots: Vec<(u64, u64)> = deliveries.iter().map(slot).collect();
    slots.sort_unstable();
    let all = [
        (0, 0),
        (0, 1),
        (0, 2),
        (0, 3),
        (1, 0),
        (1, 1),
        (1, 2),
        (1, 3),
    ];
    assert_eq!(slots, all, "{seen}");
    let stale = |delivery: &Value| delivery["staleness"].as_u64() > Some(1);
    assert!(!deliveries.iter().any(stale), "{seen}");
}

fn slot(delivery: &Value) -> (u64, u64) {
    let part = |name: &str| delivery["sample"][name].as_u64().expect("a number");
    (part("step"), part("index"))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_lets_a_stream_finish_and_exits_with_0() {
    let deployment = Deployment::start("stop", SLOW);
    deployment.create_pool("stop");
    let mut body = completion("long", 100);
    body["stream"] = json!(true);
    let server = deployment.server;
    let stream = tokio::spawn(async move { post(server, "/v1/completions", &[], body).await });
    deployment.wait_until("the request is in flight", |status| {
        status["in_flight"] == 1
    });

    deployment.node.terminate();
    deployment.node.logged("planned stop begins");
    let refused = post(server, "/v1/completions", &[], completion("late", 8)).await;
    assert_eq!(refused.status, 503, "{}", refused.body);
    assert!(
        refused.body.contains(r#""code":"stopping""#),
        "{}",
        refused.body
    );
    deployment.node.terminate();
    let waits = deployment
        .node
        .logged("already stopping; waiting for work in flight");
    assert_eq!(waits["in_flight"], 1);

    let stream = stream.await.expect("the request is answered");
    assert!(
        stream.body.trim_end().ends_with("data: [DONE]"),
        "{}",
        stream.body
    );
    assert!(
        stream.body.contains(r#""completion_tokens":100"#),
        "{}",
        stream.body
    );
    assert_eq!(deployment.node.exit_code(), Some(0));
}

#[test]
fn changes_conflict_by_revision_and_repeat_by_id() {
    let deployment = Deployment::start("changes", FAST);
    let manifest = |name: &str, revision: &str, running: u32| {
        let text = format!(
            "kind = \"Pool\"\nname = \"p\"\n{revision}\n[spec]\nmodel = \"m\"\n\
             max_running_per_engine = {running}\n"
        );
        let path = file(&format!("changes-{name}.toml"), &text);
        path.to_str().expect("the path is text").to_owned()
    };
    let create = manifest("create", "", 1);
    let made = deployment.ctl_json(&["apply", "-f", &create, "--change-id", "c-1", "--wait"]);
    assert_eq!(made["in_force"]["everywhere"], true, "{made}");
    let again = deployment.ctl_json(&["apply", "-f", &create, "--change-id", "c-1"]);
    assert_eq!(
        made["revision"], again["revision"],
        "a repeat changes nothing"
    );

    let update = manifest("update", "", 2);
    let updated = deployment.ctl_json(&["apply", "-f", &update]);
    assert_ne!(made["revision"], updated["revision"]);
    let stale = manifest("stale", &format!("revision = {}", made["revision"]), 3);
    let conflict = deployment.ctl(&["apply", "-f", &stale]);
    assert_eq!(conflict.code, Some(3), "{}", conflict.stderr);
    let kept = deployment.ctl_json(&["get", "pool", "p"]);
    assert_eq!(kept["spec"]["max_running_per_engine"], 2);

    let deleted = deployment.ctl(&["delete", "pool", "p"]);
    assert_eq!(deleted.code, Some(0), "{}", deleted.stderr);
    let missing = deployment.ctl(&["get", "pool", "p"]);
    assert_eq!(missing.code, Some(1), "{}", missing.stderr);
}

#[test]
fn an_unknown_outcome_is_said_and_the_same_id_settles_it() {
    let deployment = Deployment::start("unknown", FAST);
    let path = file(
        "unknown-pool.toml",
        "kind = \"Pool\"\nname = \"p\"\n[spec]\nmodel = \"m\"\n",
    );
    let path = path.to_str().expect("the path is text");
    let apply = [
        "apply",
        "-f",
        path,
        "--change-id",
        "c-1",
        "--retry-for",
        "0",
    ];

    deployment.log.misbehave("\"unavailable\"");
    let unknown = deployment.ctl(&apply);
    assert_eq!(unknown.code, Some(4), "{}", unknown.stderr);
    assert!(
        unknown.stderr.contains("--change-id c-1"),
        "{}",
        unknown.stderr
    );

    deployment.log.misbehave("\"behave\"");
    let repeat = ["apply", "-f", path, "--change-id", "c-1"];
    let settled = deployment.ctl_json(&repeat);
    let again = deployment.ctl_json(&repeat);
    assert_eq!(settled["revision"], again["revision"]);
}

#[test]
fn an_address_in_use_is_said_at_the_start() {
    let deployment = Deployment::start("in-use", FAST);
    let server = deployment.server.to_string();
    let second = havenstage(&[
        "node",
        "--config",
        &deployment.settings,
        "--http-address",
        &server,
    ]);
    assert_eq!(second.code, Some(1), "{}", second.stderr);
    assert!(second.stderr.contains(&server), "{}", second.stderr);
    assert!(second.stderr.contains("in use"), "{}", second.stderr);
}

#[test]
fn a_node_without_work_stops_at_once_with_0() {
    let deployment = Deployment::start("idle", FAST);
    deployment.node.terminate();
    deployment.node.logged("stopped");
    let Deployment { node, .. } = deployment;
    assert_eq!(Process::exit_code(node), Some(0));
}
