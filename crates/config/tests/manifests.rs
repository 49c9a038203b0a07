//! Parsing of valid and invalid manifests.

mod common;

use common::key;
use havenstage_config::manifest::{Manifest, ManifestError, ManifestFormat, parse};
use havenstage_types::ids::Revision;
use havenstage_types::resource::{InvalidResource, Resource, ResourceKind, ResourceSpec};

const TWO_RESOURCES: &str = r#"
[[resource]]
kind = "Pool"
name = "tono-llm"
spec = { model = "tono", policy = "round-robin" }

[[resource]]
kind = "Job"
name = "tone"
[resource.spec]
pool = "tono-llm"
prompts = ["p"]
group_size = 2
samples_per_step = 4
staleness_bound = 1
max_tokens = 16
"#;

fn read(text: &str, format: ManifestFormat) -> Result<Vec<ResourceSpec>, ManifestError> {
    let manifests = parse(text, format)?;
    let read_one = |manifest: Manifest| Ok(manifest.into_resource()?.1);
    manifests.into_iter().map(read_one).collect()
}

fn error_after_replacing(old: &str, new: &str) -> String {
    let text = TWO_RESOURCES.replace(old, new);
    assert_ne!(text, TWO_RESOURCES);
    let fault = read(&text, ManifestFormat::Toml).expect_err("must be refused");
    fault.to_string()
}

#[test]
fn a_toml_file_holds_one_or_more_manifests() {
    let many = read(TWO_RESOURCES, ManifestFormat::Toml).expect("valid");
    let kinds: Vec<_> = many.iter().map(ResourceSpec::kind).collect();
    assert_eq!(kinds, [ResourceKind::Pool, ResourceKind::Job]);

    let one = "kind = 'Pool'\nname = 'p'\nspec = { model = 'tono' }";
    assert_eq!(read(one, ManifestFormat::Toml).expect("valid").len(), 1);
}

#[test]
fn a_json_file_holds_one_or_more_manifests() {
    let one = r#"{"kind": "Pool", "name": "p", "spec": {"model": "tono"}}"#;
    assert_eq!(read(one, ManifestFormat::Json).expect("valid").len(), 1);
    let many = format!("[{one}, {one}]");
    assert_eq!(read(&many, ManifestFormat::Json).expect("valid").len(), 2);
}

#[test]
fn errors_name_kind_field_and_reason() {
    let faults = [
        error_after_replacing("staleness_bound = 1", "staleness_bound = -1"),
        error_after_replacing("staleness_bound = 1", "staleness_bound = 'one'"),
        error_after_replacing("staleness_bound = 1", "stalenes_bound = 1"),
        error_after_replacing("staleness_bound = 1", ""),
        error_after_replacing("max_tokens = 16", "max_tokens = 4294967296"),
        error_after_replacing("[\"p\"]", "[7]"),
        error_after_replacing("round-robin", "best"),
        error_after_replacing("\"Job\"", "\"Task\""),
        error_after_replacing("name = \"tone\"", "label = \"tone\""),
    ];
    insta::assert_snapshot!(faults.join("\n"), @r#"
    Job tone, spec field staleness_bound: invalid value: integer `-1`, expected u64
    Job tone, spec field staleness_bound: invalid type: string "one", expected u64
    Job tone, spec field stalenes_bound: unknown field `stalenes_bound`, expected one of `pool`, `prompts`, `group_size`, `samples_per_step`, `staleness_bound`, `max_tokens`, `steps`, `steps_ahead`
    Job tone, spec field .: missing field `staleness_bound`
    Job tone, spec field max_tokens: invalid value: integer `4294967296`, expected u32
    Job tone, spec field prompts[0]: invalid type: integer `7`, expected a string
    Pool tono-llm, spec field policy: unknown variant `best`, expected one of `random`, `round-robin`, `least-reported-load`, `prefix-affinity`
    manifest 2, kind: unknown variant `Task`, expected one of `Job`, `WeightVersion`, `Pool`, `PriorityRule`, `Engine`
    manifest 2, label: unknown field `label`, expected one of `kind`, `name`, `revision`, `spec`
    "#);
}

#[test]
fn text_without_a_manifest_is_rejected() {
    let broken = [
        ("{", ManifestFormat::Json),
        ("kind =", ManifestFormat::Toml),
        ("{\"resource\": 1}", ManifestFormat::Json),
        ("7", ManifestFormat::Json),
        ("", ManifestFormat::Toml),
    ];
    for (text, format) in broken {
        let fault = parse(text, format).expect_err("must be refused");
        let invalid = InvalidResource::from(fault);
        assert!(matches!(invalid, InvalidResource::Malformed { .. }));
    }
}

#[test]
fn a_resource_written_as_a_manifest_parses_to_the_same_resource() {
    let resource = Resource {
        key: key(ResourceKind::Engine, "engine"),
        spec: ResourceSpec::Engine(common::engine("pool")),
        revision: Revision(7),
    };
    let manifest = Manifest::from_resource(&resource).expect("written");
    let json = serde_json::to_string(&manifest).expect("written");
    insta::assert_snapshot!(json, @r#"{"kind":"Engine","name":"engine","revision":7,"spec":{"address":"127.0.0.1:9000","desired_state":"active","kv_capacity_tokens":1000,"pool":"pool","zone":"bilbao-a"}}"#);
    let [read] = parse(&json, ManifestFormat::Json)
        .expect("valid")
        .try_into()
        .expect("one manifest");
    assert_eq!(read.revision, Some(Revision(7)));
    assert_eq!(read.into_resource(), Ok((resource.key, resource.spec)));
}
