//! `havenstage serve` as a process: a batch to its results, calls, resources, a planned stop.

#[path = "support/served.rs"]
mod served;
#[allow(dead_code)]
mod support;

use std::collections::BTreeSet;

use serde_json::{Value, json};
use served::Served;
use support::{file, havenstage};

/// Reads of results after which a batch must be done: each waits a second.
const MOST_READS: usize = 60;

fn batch(samples: &[&str], minimum_version: u64) -> String {
    let samples = samples
        .iter()
        .map(|id| json!({ "id": id, "group": &id[..2], "prompt": prompt(id), "max_tokens": 40 }));
    json!({
        "model": "policy",
        "step": 1,
        "minimum_version": minimum_version,
        "samples": samples.collect::<Vec<_>>(),
    })
    .to_string()
}

fn prompt(sample: &str) -> String {
    format!("write {sample}")
}

/// Reads the results of a batch page by page until it is done.
fn results(served: &Served, batch: &str) -> Vec<Value> {
    let mut results = Vec::new();
    for _ in 0..MOST_READS {
        let path = format!("/v1/batches/{batch}/results?from={}", results.len());
        let answer = served.call("GET", &path, &[("x-wait-ms", "1000")], "");
        assert_eq!(answer.status, 200, "{answer:?}");
        let page = answer.json();
        results.extend(page["results"].as_array().unwrap().iter().cloned());
        assert_eq!(page["next"], results.len());
        if page["total"] == results.len() {
            return results;
        }
    }
    panic!("the batch is never done: {results:?}");
}

fn completion(served: &Served, id: &str, prompt: &str, is_streamed: bool) -> served::Answer {
    let body = json!({
        "model": "policy", "prompt": prompt, "max_tokens": 40, "stream": is_streamed,
    });
    let headers = [("x-request-id", id), ("content-type", "application/json")];
    served.call("POST", "/v1/completions", &headers, &body.to_string())
}

/// Text of all events of a stream, which must end with its mark.
fn streamed_text(body: &str) -> String {
    let data: Vec<&str> = body
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .collect();
    let (end, pieces) = data.split_last().expect("a stream has events");
    assert_eq!(*end, "[DONE]");
    let texts = pieces.iter().map(|piece| {
        let piece: Value = serde_json::from_str(piece).expect("a piece is JSON");
        piece["choices"][0]["text"].as_str().unwrap().to_owned()
    });
    texts.collect()
}

#[test]
fn a_batch_runs_to_its_results_calls_are_answered_and_the_service_stops_in_order() {
    let served = Served::start(&[]);
    served.wait_for_engines(2);
    let samples = ["g1-a", "g1-b", "g2-a", "g2-b", "g3-a", "g3-b"];
    let headers = [("x-request-id", "batch-1")];
    let answer = served.call("POST", "/v1/batches/", &headers, &batch(&samples, 1));
    assert_eq!(answer.status, 202, "{answer:?}");

    let results = results(&served, "batch-1");
    let listed: BTreeSet<&str> = results
        .iter()
        .map(|result| result["sample"].as_str().unwrap())
        .collect();
    assert_eq!((results.len(), listed), (6, BTreeSet::from(samples)));
    for result in &results {
        assert_eq!(result["state"], "completed", "{result}");
        assert_eq!(result["weight_versions"], json!([1]), "{result}");
        // An engine answers an id and a prompt alike each time.
        let sample = result["sample"].as_str().unwrap();
        let whole = completion(&served, sample, &prompt(sample), false);
        assert_eq!(whole.status, 200, "{whole:?}");
        assert_eq!(result["text"], whole.json()["choices"][0]["text"]);
    }

    let whole = completion(&served, "call-1", "hello", false);
    let streamed = completion(&served, "call-1", "hello", true);
    assert!(
        streamed.head.contains("x-request-id: call-1"),
        "{streamed:?}"
    );
    let text = streamed_text(&streamed.body);
    assert!(!text.is_empty());
    assert_eq!(whole.json()["choices"][0]["text"], text);
    assert_eq!(whole.json()["weight_versions"], json!([1]));
    assert_eq!(served.stop(), Some(0));
}

#[test]
fn operators_see_what_is_known_and_how_old_that_is() {
    let settings = r#"
        hosts = ["127.0.0.1"]
        [[pools]]
        name = "small"
        model = "m"
        emulated_engines = 1
        [[pools]]
        name = "empty"
        model = "n"
        [[routes]]
        name = "batches"
        path_prefix = "/v1/batches/"
        kind = "batch"
        pools = [{ pool = "small" }, { pool = "empty", weight = 3 }]
    "#;
    let path = file("two-pools.toml", settings);
    let served = Served::start(&["--config", path.to_str().unwrap()]);
    served.wait_for_engines(1);

    let pools = served.ctl_json(&["get", "pools"]);
    let engines: Vec<(&str, &Value)> = pools["items"]
        .as_array()
        .unwrap()
        .iter()
        .map(|pool| (pool["name"].as_str().unwrap(), &pool["spec"]["engines"]))
        .collect();
    assert_eq!(engines, [("small", &json!(1)), ("empty", &json!(0))]);
    // Reads of directories wait for a change for 1.5 s and follow each other.
    assert!(pools["age_ms"].as_u64().unwrap() < 10_000, "{pools}");

    let routes = served.ctl_json(&["get", "routes"]);
    assert_eq!(routes["items"].as_array().unwrap().len(), 1);
    let route = &routes["items"][0];
    assert_eq!(
        (&route["name"], &route["revision"]),
        (&json!("batches"), &json!(1))
    );
    let shares = json!([{ "pool": "small", "weight": 1 }, { "pool": "empty", "weight": 3 }]);
    assert_eq!(route["spec"]["pools"], shares);

    let table = served.ctl(&["get", "engines"]).stdout;
    assert!(
        table.contains("small-1") && table.contains("ms ago"),
        "{table}"
    );
}

#[test]
fn a_published_version_is_loaded_and_makes_the_samples_that_ask_for_it() {
    let served = Served::start(&[]);
    served.wait_for_engines(2);
    let publish = |model: &str, number: &str| {
        let words = [
            "versions",
            "publish",
            model,
            number,
            "--location",
            "weights",
        ];
        served.ctl(&[&["--wait"], &words[..]].concat())
    };
    let published = publish("policy", "2");
    assert_eq!(published.code, Some(0), "{}", published.stderr);
    assert_eq!(
        publish("policy", "2").code,
        Some(0),
        "a repeat changes nothing"
    );
    let outdated = publish("policy", "1");
    assert_eq!(outdated.code, Some(3), "{}", outdated.stderr);
    assert!(outdated.stderr.contains("from 2 on"), "{}", outdated.stderr);
    let unknown = publish("other", "3");
    assert_eq!(unknown.code, Some(1), "{}", unknown.stderr);
    assert!(
        unknown.stderr.contains("allowed are policy"),
        "{}",
        unknown.stderr
    );

    let headers = [("x-request-id", "batch-of-2")];
    let body = batch(&["g1-a", "g1-b"], 2);
    let answer = served.call("POST", "/v1/batches/", &headers, &body);
    assert_eq!(answer.status, 202, "{answer:?}");
    for result in results(&served, "batch-of-2") {
        assert_eq!(result["state"], "completed", "{result}");
        assert_eq!(result["weight_versions"], json!([2]), "{result}");
    }
}

#[test]
fn a_batch_that_cannot_be_read_is_refused_and_nothing_is_kept() {
    let served = Served::start(&[]);
    served.wait_for_engines(2);
    let bodies = [
        "not json".to_owned(),
        json!({ "model": "policy" }).to_string(),
        json!({ "model": "policy", "samples": [] }).to_string(),
        json!({ "model": "policy", "samples": [{ "id": "a", "prompt": "p" }] }).to_string(),
        json!({ "model": "policy", "sampels": [], "samples": [] }).to_string(),
    ];
    for body in bodies {
        let headers = [("x-request-id", "spoilt")];
        let answer = served.call("POST", "/v1/batches/", &headers, &body);
        assert_eq!(answer.status, 400, "{body}: {answer:?}");
    }
    let answer = served.call("GET", "/v1/batches/spoilt/results", &[], "");
    assert_eq!(answer.status, 404, "{answer:?}");
}

#[test]
fn settings_that_cannot_be_used_are_refused_by_file_key_value_and_what_is_allowed() {
    let pool = "[[pools]]\nname = \"p\"\nmodel = \"m\"\n";
    let route = "[[routes]]\nname = \"r\"\nkind = \"batch\"\n";
    let cases = [
        ("not toml", vec!["not TOML"]),
        ("nodes = \"a\"", vec!["nodes", "node"]),
        ("node = \"a b\"", vec!["node", "a b", "letters"]),
        ("stop_grace_s = -1.0", vec!["stop_grace_s", "-1", "1 to"]),
        (
            "[listen]\ncallers = \"here\"",
            vec!["listen.callers", "address"],
        ),
        (
            "[store]\nmost_mb = 0",
            vec!["store.most_mb", "0", "at least 1"],
        ),
        (
            &format!("{pool}emulated_engines = 65"),
            vec!["pools[0].emulated_engines", "65", "0 to 64"],
        ),
        (
            &format!("{pool}{pool}"),
            vec!["pools[1].name", "p", "no other pool"],
        ),
        (
            &format!("{pool}{route}path_prefix = \"/a\"\npools = [{{ pool = \"p\" }}]"),
            vec!["routes[0].path_prefix", "/a", "slash"],
        ),
        (
            &format!("{pool}{route}path_prefix = \"/\"\npools = [{{ pool = \"q\" }}]"),
            vec!["routes[0].pools[0].pool", "q", "one of the pools p"],
        ),
        (
            &format!("{pool}{route}path_prefix = \"/\"\npools = []"),
            vec!["routes[0].pools", "empty"],
        ),
    ];
    for (settings, expected) in cases {
        let path = file("serve-settings.toml", settings);
        let path = path.to_str().unwrap();
        let ran = havenstage(&["serve", "--check-config", "--config", path]);
        assert_eq!(ran.code, Some(2), "{settings}: {}", ran.stderr);
        for part in [path].iter().chain(&expected) {
            assert!(
                ran.stderr.contains(part),
                "{settings}: {part}: {}",
                ran.stderr
            );
        }
    }
    let ran = havenstage(&["serve", "--check-config"]);
    assert_eq!((ran.code, ran.stdout.as_str()), (Some(0), "settings ok\n"));
}

fn apply(served: &Served, name: &str, manifests: &str) -> support::Ran {
    let path = file(name, manifests);
    served.ctl(&["apply", "-f", path.to_str().unwrap()])
}

const SECOND_POOL: &str = r#"
[[resource]]
kind = "pools"
name = "second"
spec = { model = "second", emulated_engines = 1 }

[[resource]]
kind = "routes"
name = "second"
spec = { path_prefix = "/second/", kind = "batch", pools = [{ pool = "second" }] }
"#;

fn revision(served: &Served, kind: &str, name: &str) -> u64 {
    let known = served.ctl_json(&["get", kind, name]);
    known["items"][0]["revision"].as_u64().unwrap()
}

#[test]
fn operators_change_pools_and_routes_against_revisions() {
    let served = Served::start(&[]);
    served.wait_for_engines(2);
    let applied = apply(&served, "second.toml", SECOND_POOL);
    assert_eq!(applied.code, Some(0), "{}", applied.stderr);
    assert!(
        applied.stdout.contains("in force everywhere"),
        "{}",
        applied.stdout
    );
    assert_eq!(revision(&served, "routes", "second"), 3);
    let again = apply(&served, "second.toml", SECOND_POOL);
    assert_eq!(
        (again.code, revision(&served, "routes", "second")),
        (Some(0), 3)
    );

    served.wait_for_engines(3);
    let body = batch(&["g1-a", "g1-b"], 1).replace("\"policy\"", "\"second\"");
    let hand_in = |id: &str| {
        let headers = [("x-request-id", id)];
        served.call("POST", "/second/", &headers, &body).status
    };
    assert_eq!(hand_in("of-second"), 202);
    assert!(
        results(&served, "of-second")
            .iter()
            .all(|result| result["state"] == "completed")
    );

    let stale = SECOND_POOL.replace("kind = \"routes\"", "kind = \"routes\"\nrevision = 1");
    let stale = apply(&served, "stale.toml", &stale.replace("/second/", "/third/"));
    assert_eq!(stale.code, Some(3), "{}", stale.stderr);
    assert!(
        stale.stderr.contains("revision 1, found 3"),
        "{}",
        stale.stderr
    );

    let refused = [
        (
            "pool = \"second\"",
            "pool = \"third\"",
            vec!["pools[0].pool", "third", "policy, second"],
        ),
        ("/second/", "second", vec!["path_prefix", "slash"]),
        (
            "/second/",
            "/v1/",
            vec!["path_prefix", "/v1/", "no other route"],
        ),
        ("\"batch\"", "\"bunch\"", vec!["kind", "bunch", "call_once"]),
        (
            "emulated_engines = 1",
            "emulated_engines = 2",
            vec!["emulated_engines"],
        ),
        (
            "model = \"second\"",
            "modle = \"second\"",
            vec!["modle", "model"],
        ),
    ];
    for (before, after, expected) in refused {
        let ran = apply(&served, "refused.toml", &SECOND_POOL.replace(before, after));
        assert_eq!(ran.code, Some(1), "{after}: {}", ran.stderr);
        for part in expected {
            assert!(ran.stderr.contains(part), "{after}: {part}: {}", ran.stderr);
        }
        assert_eq!(
            revision(&served, "routes", "second"),
            3,
            "{after}: nothing is kept"
        );
    }

    let in_use = served.ctl(&["delete", "pools", "second"]);
    assert_eq!(in_use.code, Some(1), "{}", in_use.stderr);
    let deleted = served.ctl(&["delete", "routes", "second"]);
    assert_eq!(deleted.code, Some(0), "{}", deleted.stderr);
    assert_eq!(hand_in("after-deletion"), 404);
    assert_eq!(served.ctl(&["get", "routes", "second"]).code, Some(1));
}

/// The engine that answers each of some calls.
fn answering_engines(served: &Served, calls: &str) -> BTreeSet<String> {
    let engine = |at: usize| {
        let answer = completion(served, &format!("{calls}-{at}"), "hello", false);
        assert_eq!(answer.status, 200, "{answer:?}");
        let name = answer
            .head
            .lines()
            .find_map(|line| line.strip_prefix("x-engine: "));
        name.expect("the engine is named").to_owned()
    };
    (0..8).map(engine).collect()
}

#[test]
fn a_drained_engine_gets_nothing_new_until_it_is_undrained() {
    let served = Served::start(&[]);
    served.wait_for_engines(2);
    let drained = served.ctl(&["drain", "policy-1"]);
    assert_eq!(drained.code, Some(0), "{}", drained.stderr);
    let known = served.ctl_json(&["get", "engines", "policy-1"]);
    assert_eq!(known["items"][0]["spec"]["is_leaving"], true);
    let engines = answering_engines(&served, "drained");
    assert_eq!(engines, BTreeSet::from(["policy-2".to_owned()]));
    assert_eq!(served.ctl(&["undrain", "policy-1"]).code, Some(0));
    assert_eq!(served.ctl(&["drain", "policy-2"]).code, Some(0));
    let engines = answering_engines(&served, "undrained");
    assert_eq!(engines, BTreeSet::from(["policy-1".to_owned()]));
    let unknown = served.ctl(&["drain", "policy-9"]);
    assert_eq!(unknown.code, Some(1), "{}", unknown.stderr);
    assert!(
        unknown.stderr.contains("policy-1, policy-2"),
        "{}",
        unknown.stderr
    );
}

#[test]
fn a_watch_shows_what_is_there_and_then_each_change() {
    let served = Served::start(&[]);
    served.wait_for_engines(2);
    let watch = served.watch("routes");
    let next = || {
        let line = watch.next();
        let words = ["change", "name"].map(|field| line[field].as_str().unwrap().to_owned());
        words.join(" ")
    };
    // Each stands once for each of two hosts.
    let mut present: Vec<String> = (0..4).map(|_| next()).collect();
    present.sort();
    let expected = [
        "present batches",
        "present batches",
        "present completions",
        "present completions",
    ];
    assert_eq!(present, expected);
    assert_eq!(apply(&served, "watched.toml", SECOND_POOL).code, Some(0));
    assert_eq!([next(), next()], ["present second", "present second"]);
    let changed = SECOND_POOL.replace("kind = \"batch\"", "kind = \"batch\", priority = 2");
    assert_eq!(apply(&served, "watched-2.toml", &changed).code, Some(0));
    assert_eq!([next(), next()], ["changed second", "changed second"]);
    assert_eq!(served.ctl(&["delete", "routes", "second"]).code, Some(0));
    assert_eq!([next(), next()], ["deleted second", "deleted second"]);
}

fn explain(served: &Served, subject: &str) -> Value {
    served.ctl_json(&["explain", subject])
}

/// The decisions of an event, in order.
fn decisions<'a>(explanation: &'a Value, event: &str) -> Vec<&'a Value> {
    let decisions = explanation["decisions"].as_array().unwrap().iter();
    let of_event = decisions.filter(|decision| decision["event"] == event);
    of_event.map(|decision| &decision["fields"]).collect()
}

/// The kinds of the records of the log, in order.
fn logged(explanation: &Value) -> Vec<&str> {
    let records = explanation["logged"]["records"].as_array();
    let records = records.map(Vec::as_slice).unwrap_or_default();
    let kinds = records
        .iter()
        .map(|record| record["record"].as_str().unwrap());
    kinds.collect()
}

#[test]
fn an_operator_learns_why_a_sample_ran_where_it_ran() {
    let served = Served::start(&[]);
    served.wait_for_engines(2);
    let headers = [("x-request-id", "why")];
    let body = batch(&["g1-a", "g1-b"], 1);
    assert_eq!(
        served.call("POST", "/v1/batches/", &headers, &body).status,
        202
    );
    results(&served, "why");

    let sample = explain(&served, "why/g1-a");
    let started = decisions(&sample, "run_started");
    assert_eq!(started.len(), 1, "{sample}");
    let backend = started[0]["backend"].as_str().unwrap();
    assert!(backend.starts_with("policy-"), "{sample}");
    for input in [
        "urgency",
        "minimum_version",
        "known_age_ms",
        "expected_tokens",
    ] {
        assert!(started[0][input].is_number(), "{input}: {sample}");
    }
    assert_eq!(decisions(&sample, "run_ended")[0]["outcome"], "whole");
    assert_eq!(
        decisions(&sample, "item_finished")[0]["outcome"],
        "completed"
    );
    let records = logged(&sample);
    assert_eq!(
        (records[0], records[records.len() - 1]),
        ("submitted", "finished")
    );
    let others = sample["logged"]["records"].as_array().unwrap().iter();
    let mut others = others.filter(|record| record["sample"] == "g1-b");
    assert!(others.next().is_none(), "only of the sample: {sample}");

    let engine = backend.split('@').next().unwrap();
    assert!(!decisions(&explain(&served, engine), "run_started").is_empty());
    completion(&served, "a-call", "hello", false);
    let call = explain(&served, "a-call");
    assert_eq!(decisions(&call, "call")[0]["outcome"], "answered", "{call}");
    assert!(logged(&call).is_empty());
    let table = served.ctl(&["explain", "why/g1-a"]).stdout;
    assert!(
        table.contains("run_started") && table.contains("finished"),
        "{table}"
    );
    let nobody = served.ctl(&["explain", "nobody"]).stdout;
    assert!(
        nobody.contains("nothing is recorded about nobody"),
        "{nobody}"
    );
}

#[test]
fn an_operator_learns_why_a_sample_was_left_out_or_refused() {
    let served = Served::start(&[]);
    served.wait_for_engines(2);
    let spoilt = json!({ "model": "policy", "samples": [{ "id": "a", "prompt": "p" }] });
    let headers = [("x-request-id", "spoilt")];
    let answer = served.call("POST", "/v1/batches/", &headers, &spoilt.to_string());
    assert_eq!(answer.status, 400);
    let refused = explain(&served, "spoilt");
    let reason = decisions(&refused, "batch_refused")[0]["reason"]
        .as_str()
        .unwrap();
    assert!(
        reason.contains("samples[0]: missing field `max_tokens`"),
        "{refused}"
    );

    // No engine has the version, so that the samples wait until the trainer ends the batch.
    let headers = [("x-request-id", "too-new")];
    let body = batch(&["g1-a"], 9);
    assert_eq!(
        served.call("POST", "/v1/batches/", &headers, &body).status,
        202
    );
    assert_eq!(
        served.call("DELETE", "/v1/batches/too-new", &[], "").status,
        200
    );
    let left_out = explain(&served, "too-new/g1-a");
    assert!(decisions(&left_out, "run_started").is_empty(), "{left_out}");
    assert_eq!(logged(&left_out), ["submitted", "ended"], "{left_out}");
    assert_eq!(left_out["logged"]["records"][0]["minimum_version"], 9);
}

/// Two engines whose answers take some seconds.
const SLOW_ENGINES: &str = r#"
[[pools]]
name = "policy"
model = "policy"
emulated_engines = 2
engine = { initial_version = 1, tokens_per_chunk = 1, output_length = { fixed = { tokens = 600 } } }
[[routes]]
name = "batches"
path_prefix = "/v1/batches/"
kind = "batch"
pools = [{ pool = "policy" }]
[[routes]]
name = "completions"
path_prefix = "/v1/"
kind = "stream"
pools = [{ pool = "policy" }]
"#;

/// The address of an engine, at which it takes commands too.
fn engine_address(served: &Served, engine: &str) -> std::net::SocketAddr {
    let known = served.ctl_json(&["get", "engines", engine]);
    let address = known["items"][0]["spec"]["address"].as_str().unwrap();
    address.parse().unwrap()
}

/// The engines at which a sample's runs were started; each run must go on from the output that the one
/// before it left.
fn engines_of_runs(explanation: &Value) -> BTreeSet<String> {
    let mut engines = BTreeSet::new();
    let mut events = 0;
    for decision in explanation["decisions"].as_array().unwrap() {
        let fields = &decision["fields"];
        match decision["event"].as_str().unwrap() {
            "run_started" => {
                assert_eq!(fields["resumed_from"], events, "{explanation}");
                let life = fields["backend"].as_str().unwrap();
                let name = life.split('@').next().unwrap();
                engines.insert(name.to_owned());
            }
            "run_ended" | "item_relocated" => events = fields["events"].as_u64().unwrap(),
            _ => {}
        }
    }
    engines
}

/// Waits until output of each of six samples is in the log.
fn wait_for_progress(served: &Served, batch: &str) {
    for _ in 0..MOST_READS * 20 {
        let explanation = explain(served, batch);
        let records = explanation["logged"]["records"].as_array().unwrap().iter();
        let in_progress = records.filter(|record| record["record"] == "progress");
        let samples: BTreeSet<&str> = in_progress
            .map(|record| record["sample"].as_str().unwrap())
            .collect();
        if samples.len() == 6 {
            return;
        }
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
    panic!("no output is ever written down");
}

#[test]
fn samples_of_an_engine_that_crashes_go_on_at_another_from_the_output_that_is_there() {
    let path = file("slow-engines.toml", SLOW_ENGINES);
    let served = Served::start(&["--config", path.to_str().unwrap()]);
    served.wait_for_engines(2);
    let engine = engine_address(&served, "policy-1");
    let samples = ["g1-a", "g1-b", "g2-a", "g2-b", "g3-a", "g3-b"];
    let body = batch(&samples, 1).replace("\"max_tokens\":40", "\"max_tokens\":600");
    let headers = [("x-request-id", "crash")];
    assert_eq!(
        served.call("POST", "/v1/batches/", &headers, &body).status,
        202
    );
    wait_for_progress(&served, "crash");
    let crash = [("content-type", "application/json")];
    let told = served::call(engine, "POST", "/misbehave", &crash, "\"crash\"");
    assert_eq!(told.status, 200, "{told:?}");

    let results = results(&served, "crash");
    let listed = results
        .iter()
        .map(|result| result["sample"].as_str().unwrap());
    assert_eq!(
        (results.len(), listed.collect()),
        (6, BTreeSet::from(samples))
    );
    let mut moved = Vec::new();
    for result in &results {
        assert_eq!(result["state"], "completed", "{result}");
        let sample = result["sample"].as_str().unwrap();
        let engines = engines_of_runs(&explain(&served, &format!("crash/{sample}")));
        if engines.contains("policy-1") && engines.contains("policy-2") {
            moved.push((sample, &result["text"]));
        }
    }
    let (sample, text) = moved
        .first()
        .expect("some ran at the engine that crashed, then elsewhere");
    // An engine answers an id and a prompt alike each time, so that joints would show.
    let body = json!({ "model": "policy", "prompt": prompt(sample), "max_tokens": 600 });
    let headers = [("x-request-id", *sample)];
    let whole = served.call("POST", "/v1/completions", &headers, &body.to_string());
    assert_eq!(**text, whole.json()["choices"][0]["text"]);
}

/// A refusal by a full store is true: nothing of the batch is there, and others are taken.
#[test]
fn a_batch_for_which_the_store_has_no_room_is_refused_as_not_run() {
    let path = file("small-store.toml", "[store]\nmost_mb = 1\n");
    let served = Served::start(&["--config", path.to_str().unwrap()]);
    served.wait_for_engines(2);
    // One word, so that engines have little to do.
    let prompt = "w".repeat(600_000);
    let sample = json!({ "id": "a", "prompt": prompt, "max_tokens": 4 });
    let body = json!({ "model": "policy", "samples": [sample] }).to_string();
    let hand_in = |id: &str| {
        let headers = [("x-request-id", id)];
        served.call("POST", "/v1/batches/", &headers, &body).status
    };
    assert_eq!((hand_in("first"), hand_in("second")), (202, 503));
    assert_eq!(results(&served, "first").len(), 1);
    let read = served.call("GET", "/v1/batches/second/results", &[], "");
    assert_eq!(read.status, 404, "{read:?}");
    let headers = [("x-request-id", "small")];
    let answer = served.call("POST", "/v1/batches/", &headers, &batch(&["g1-a"], 1));
    assert_eq!(answer.status, 202, "{answer:?}");
    assert_eq!(results(&served, "small").len(), 1);
}
