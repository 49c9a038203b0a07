//! Invalid settings are rejected with an error that names the file, the key, the value and the allowed values.

use std::path::Path;

use havenstage_gateway::settings::Settings;

const VALID: &str = r#"
node = "a"
zone = "z"
unknown_key = "is passed over"
[listen]
callers = "127.0.0.1:1"
ready = "127.0.0.1:2"
[log]
address = "127.0.0.1:3"
partitions = 8
record_bytes = 1024
call_bytes = 4096
reads_per_s = 100
[bounds]
stop_grace_s = 8
order_lease_ms = 3000
order_thaw_ms = 300
retention_s = 120
"#;

fn error_after_replacing(old: &str, new: &str) -> String {
    let text = VALID.replace(old, new);
    assert_ne!(text, VALID);
    Settings::parse(Path::new("node.toml"), &text)
        .unwrap_err()
        .to_string()
}

#[test]
fn valid_settings_are_accepted_and_unknown_keys_ignored() {
    let settings = Settings::parse(Path::new("node.toml"), VALID).unwrap();
    assert_eq!(settings.tuning.loads_at_once, 2);
    assert_eq!(settings.listen.metrics, None);
}

#[test]
fn a_value_out_of_range_names_file_key_value_and_range() {
    let text = error_after_replacing("partitions = 8", "partitions = 0");
    assert_eq!(
        text,
        "node.toml: log.partitions is 0, allowed is at least 1"
    );
    let text = error_after_replacing("stop_grace_s = 8", "stop_grace_s = -1.0");
    assert!(text.contains("bounds.stop_grace_s is -1"), "{text}");
}

#[test]
fn a_malformed_or_missing_value_is_named() {
    let text = error_after_replacing("127.0.0.1:1", "nowhere");
    assert!(
        text.starts_with("node.toml: ") && text.contains("callers"),
        "{text}"
    );
    let text = error_after_replacing("node = \"a\"", "");
    assert!(text.contains("node"), "{text}");
}

#[test]
fn a_missing_file_is_named() {
    let error = Settings::load(Path::new("/nowhere/node.toml"))
        .unwrap_err()
        .to_string();
    assert!(
        error.starts_with("/nowhere/node.toml: cannot be read"),
        "{error}"
    );
}
