//! Tables for people.

use std::collections::BTreeSet;

use comfy_table::Table;
use comfy_table::presets::NOTHING;
use havenstage_config::manifest::Manifest;
use havenstage_node::node::NodeStatus;
use havenstage_service::explain::Explanation;
use havenstage_service::operators::KnownResources;
use havenstage_types::decision::DecisionRecord;
use havenstage_types::ids::NodeId;
use serde_json::Value;

/// Lists longer than this are counted instead of shown.
const LONGEST_LIST: usize = 3;

/// A table with a header and no lines around its cells.
fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(NOTHING).set_header(header);
    table
}

/// One resource, a field a line.
pub fn resource(manifest: &Manifest) -> String {
    let mut table = table(&["FIELD", "VALUE"]);
    table.add_row(["kind", &manifest.kind.to_string()]);
    table.add_row(["name", &manifest.name]);
    table.add_row(["revision", &revision(manifest)]);
    if let Value::Object(fields) = &manifest.spec {
        for (field, value) in fields {
            table.add_row([field.as_str(), &cell(value)]);
        }
    }
    table.to_string()
}

/// Resources of one kind, one a line, with a column for every field that one of them has.
pub fn resources(manifests: &[Manifest]) -> String {
    let rows = manifests.iter().map(|manifest| Row {
        name: &manifest.name,
        revision: revision(manifest),
        spec: &manifest.spec,
    });
    rows_of_fields(&rows.collect::<Vec<_>>())
}

/// What a gateway knows, one resource a line, and how old that is.
pub fn known_resources(known: &KnownResources) -> String {
    let rows = known.items.iter().map(|resource| Row {
        name: &resource.name,
        revision: resource
            .revision
            .map_or_else(String::new, |revision| revision.to_string()),
        spec: &resource.spec,
    });
    let table = rows_of_fields(&rows.collect::<Vec<_>>());
    format!("{table}\nknown {} ms ago", known.age_ms)
}

/// A resource in a table.
struct Row<'a> {
    name: &'a str,
    revision: String,
    spec: &'a Value,
}

fn rows_of_fields(rows: &[Row<'_>]) -> String {
    let fields: BTreeSet<&str> = rows.iter().flat_map(|row| field_names(row.spec)).collect();
    let mut header = vec!["NAME", "REVISION"];
    header.extend(&fields);
    let mut table = table(&header);
    for row in rows {
        let mut cells = vec![row.name.to_owned(), row.revision.clone()];
        let values = fields.iter().map(|field| row.spec.get(*field));
        cells.extend(values.map(|value| value.map_or_else(String::new, cell)));
        table.add_row(cells);
    }
    table.to_string()
}

/// Decisions in the order given.
pub fn decisions(decisions: &[DecisionRecord]) -> String {
    let mut table = table(&["TIME (MS SINCE 1970)", "NODE", "ORDER", "DECISION"]);
    for record in decisions {
        let decision = serde_json::to_value(&record.decision).unwrap_or(Value::Null);
        table.add_row([
            record.wall_clock_ms.to_string(),
            node_id(record.node),
            record.sequence.to_string(),
            decision.to_string(),
        ]);
    }
    table.to_string()
}

/// Decisions of a served gateway and what its log keeps, in order.
pub fn explanation(explanation: &Explanation) -> String {
    let mut decisions = table(&["TIME (MS SINCE 1970)", "DECISION", "INPUTS AND OUTCOME"]);
    for decision in &explanation.decisions {
        let fields = decision.fields.iter();
        let fields: Vec<String> = fields
            .map(|(name, value)| format!("{name}={}", cell(value)))
            .collect();
        let time = decision.at_ms.to_string();
        decisions.add_row([time, decision.event.clone(), fields.join(" ")]);
    }
    let mut text = match explanation.decisions.is_empty() {
        true => format!("nothing is recorded about {}", explanation.subject),
        false => decisions.to_string(),
    };
    if explanation.decisions_forgotten > 0 {
        let forgotten = explanation.decisions_forgotten;
        text.push_str(&format!(
            "\n{forgotten} older decisions are not kept any more"
        ));
    }
    if let Some(logged) = &explanation.logged {
        let mut records = table(&["RECORDS OF THE LOG"]);
        for record in &logged.records {
            let record = serde_json::to_value(record).unwrap_or(Value::Null);
            records.add_row([record.to_string()]);
        }
        text.push_str(&format!("\n\n{records}"));
    }
    text
}

/// A node's status: itself, its members, engines and jobs.
pub fn status(status: &NodeStatus) -> String {
    let mut node = table(&["NODE", "NAME", "ZONE", "READY", "CONFIG", "IN FLIGHT"]);
    let ready = match &status.ready {
        Ok(()) => "yes".to_owned(),
        Err(reason) => reason.to_string(),
    };
    node.add_row([
        node_id(status.identity.id),
        status.identity.name.clone(),
        status.identity.zone.to_string(),
        ready,
        status.config_offset.to_string(),
        status.in_flight.to_string(),
    ]);
    [
        node.to_string(),
        members(status),
        engines(status),
        jobs(status),
    ]
    .join("\n\n")
}

fn members(status: &NodeStatus) -> String {
    let mut members = table(&["MEMBER", "NAME", "ZONE", "STATE", "CONFIG", "HTTP ADDRESS"]);
    for member in &status.members {
        members.add_row([
            node_id(member.identity.id),
            member.identity.name.clone(),
            member.identity.zone.to_string(),
            format!("{:?}", member.state),
            member.config_offset.to_string(),
            member.identity.http_address.to_string(),
        ]);
    }
    members.to_string()
}

fn engines(status: &NodeStatus) -> String {
    let mut engines = table(&["ENGINE", "VERSION", "LOAD", "TAKES WORK"]);
    for engine in &status.engines {
        let version = engine.version.map(|version| version.to_string());
        let takes_work = if engine.accepts_work { "yes" } else { "no" };
        engines.add_row([
            engine.name.clone(),
            version.unwrap_or_default(),
            engine.load.to_string(),
            takes_work.to_owned(),
        ]);
    }
    engines.to_string()
}

fn jobs(status: &NodeStatus) -> String {
    let mut jobs = table(&["JOB", "STEP", "OPEN", "RUNNING"]);
    for job in &status.jobs {
        jobs.add_row([
            job.name.to_string(),
            job.step.to_string(),
            job.open_slots.to_string(),
            job.running.to_string(),
        ]);
    }
    jobs.to_string()
}

/// A node's id as it stands in request ids and in the log.
fn node_id(id: NodeId) -> String {
    format!("{:016x}", id.0)
}

fn field_names(spec: &Value) -> impl Iterator<Item = &str> {
    let fields = spec.as_object();
    fields.into_iter().flatten().map(|(name, _)| name.as_str())
}

fn revision(manifest: &Manifest) -> String {
    manifest
        .revision
        .map_or_else(String::new, |revision| revision.to_string())
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        Value::Array(elements) if elements.len() > LONGEST_LIST => {
            format!("({} elements)", elements.len())
        }
        other => other.to_string(),
    }
}
