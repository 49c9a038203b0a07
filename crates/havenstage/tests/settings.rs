//! Settings files of a node: what is accepted, and how the rest is refused.

mod support;

use support::{Ran, file, havenstage};

/// Settings of a node, complete.
const SETTINGS: &str = r#"
[node]
name = "node-1"
zone = "zone-a"
peer_address = "127.0.0.1:0"
http_address = "127.0.0.1:0"

[platform]
log = "127.0.0.1:9"
machines = "127.0.0.1:9"
scorer = "127.0.0.1:9"
weights = "127.0.0.1:9"
"#;

fn check(name: &str, settings: &str, more: &[&str]) -> Ran {
    let path = file(name, settings);
    let path = path.to_str().expect("the path is text");
    let mut arguments = vec!["node", "--check-config", "--config", path];
    arguments.extend(more);
    havenstage(&arguments)
}

fn refused(name: &str, settings: &str) -> String {
    let ran = check(name, settings, &[]);
    assert_eq!(ran.code, Some(2), "{}", ran.stderr);
    assert_eq!(ran.stderr.lines().count(), 1, "{}", ran.stderr);
    assert!(
        ran.stderr.contains(name),
        "the file is named: {}",
        ran.stderr
    );
    ran.stderr
}

#[test]
fn complete_settings_are_accepted() {
    let ran = check("complete.toml", SETTINGS, &[]);
    assert_eq!(
        (ran.code, ran.stdout.as_str()),
        (Some(0), "settings ok\n"),
        "{}",
        ran.stderr
    );
}

#[test]
fn options_stand_over_the_file() {
    let without_zone = SETTINGS.replace("zone = \"zone-a\"", "");
    let refusal = refused("without-zone.toml", &without_zone);
    assert!(
        refusal.contains("node.zone") && refusal.contains("--zone"),
        "{refusal}"
    );
    let ran = check("with-option.toml", &without_zone, &["--zone", "zone-b"]);
    assert_eq!(ran.code, Some(0), "{}", ran.stderr);
}

#[test]
fn an_unknown_key_is_refused_with_its_path_and_the_keys_allowed() {
    let refusal = refused(
        "unknown-key.toml",
        &format!("{SETTINGS}\n[behaviour]\nlog_wait = 5\n"),
    );
    assert!(refusal.contains("behaviour.log_wait"), "{refusal}");
    assert!(refusal.contains("log_wait_ms"), "{refusal}");
    let refusal = refused("unknown-section.toml", &format!("{SETTINGS}\n[behavior]\n"));
    assert!(refusal.contains("behavior"), "{refusal}");
}

#[test]
fn a_value_of_the_wrong_kind_is_refused_with_the_value() {
    let settings = format!("{SETTINGS}\n[behaviour]\nlog_wait_ms = \"soon\"\n");
    let refusal = refused("wrong-kind.toml", &settings);
    assert!(refusal.contains("behaviour.log_wait_ms"), "{refusal}");
    assert!(refusal.contains("soon"), "{refusal}");
    let settings = SETTINGS.replace("127.0.0.1:9\"\nmachines", "log-host\"\nmachines");
    let refusal = refused("wrong-address.toml", &settings);
    assert!(refusal.contains("platform.log"), "{refusal}");
    let refusal = refused(
        "wrong-level.toml",
        &format!("{SETTINGS}\n[logging]\nlevel = \"loud\"\n"),
    );
    assert!(
        refusal.contains("logging.level") && refusal.contains("debug"),
        "{refusal}"
    );
}

#[test]
fn a_value_out_of_range_is_refused_with_the_range() {
    let cases = [
        ("behaviour", "partitions", "0", "1 to 65536"),
        (
            "behaviour",
            "log_wait_ms",
            "9000",
            "a third of freshness_bound_ms",
        ),
        ("http", "max_body_bytes", "1", "1024 to 1073741824"),
        ("http_client", "connect_timeout_ms", "0", "1 or more"),
    ];
    for (section, key, value, allowed) in cases {
        let settings = format!("{SETTINGS}\n[{section}]\n{key} = {value}\n");
        let refusal = refused(&format!("{section}-{key}.toml"), &settings);
        let expected = format!("{section}.{key} is {value}, allowed: ");
        assert!(
            refusal.contains(&expected) && refusal.contains(allowed),
            "{refusal}"
        );
    }
}

#[test]
fn a_file_that_is_not_toml_or_not_there_is_refused() {
    let ran = check("not-toml.toml", "[node\nname = 1", &[]);
    assert_eq!(ran.code, Some(2));
    assert!(
        ran.stderr.contains("not TOML") && ran.stderr.contains("line 1"),
        "{}",
        ran.stderr
    );
    let ran = havenstage(&[
        "node",
        "--check-config",
        "--config",
        "/nonexistent/node.toml",
    ]);
    assert_eq!(ran.code, Some(2));
    assert!(
        ran.stderr.contains("/nonexistent/node.toml"),
        "{}",
        ran.stderr
    );
}
