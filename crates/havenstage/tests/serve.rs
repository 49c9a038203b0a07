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
