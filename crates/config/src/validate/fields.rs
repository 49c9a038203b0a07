//! Checks of single fields, independent of other resources.

use std::fmt::Display;
use std::ops::RangeInclusive;

use havenstage_types::resource::{
    EngineSpec, InvalidResource, JobSpec, PoolSpec, PriorityRuleSpec, ResourceSpec,
    WeightVersionSpec,
};

use super::limits;

/// Checks every field of a specification against its limits.
pub(super) fn check_fields(spec: &ResourceSpec) -> Result<(), InvalidResource> {
    match spec {
        ResourceSpec::Job(job) => check_job(job),
        ResourceSpec::WeightVersion(version) => check_weight_version(version),
        ResourceSpec::Pool(pool) => check_pool(pool),
        ResourceSpec::PriorityRule(rule) => check_rule(rule),
        ResourceSpec::Engine(engine) => check_engine(engine),
    }
}

/// Checks the length and the characters of a name.
pub(super) fn check_name(field: &str, name: &str) -> Result<(), InvalidResource> {
    check_characters(
        field,
        name,
        is_name_character,
        "lowercase letters, digits, '-' and '.'",
    )
}

fn check_characters(
    field: &str,
    text: &str,
    is_allowed: fn(char) -> bool,
    allowed: &str,
) -> Result<(), InvalidResource> {
    let length = text.chars().count();
    if limits::NAME_LENGTH.contains(&length) && text.chars().all(is_allowed) {
        return Ok(());
    }
    let (shortest, longest) = limits::NAME_LENGTH.into_inner();
    Err(out_of_range(
        field,
        format!("{:?}", excerpt(text)),
        format!("{shortest} to {longest} characters of {allowed}"),
    ))
}

/// Shortens a text, which may be too long for an error message.
fn excerpt(text: &str) -> String {
    text.chars().take(*limits::NAME_LENGTH.end()).collect()
}

fn is_name_character(character: char) -> bool {
    matches!(character, 'a'..='z' | '0'..='9' | '-' | '.')
}

fn is_caller_character(character: char) -> bool {
    character.is_ascii_graphic()
}

fn check_range<T: PartialOrd + Display>(
    field: &str,
    value: T,
    allowed: RangeInclusive<T>,
) -> Result<(), InvalidResource> {
    if allowed.contains(&value) {
        return Ok(());
    }
    let (lowest, highest) = allowed.into_inner();
    Err(out_of_range(field, value, format!("{lowest} to {highest}")))
}

fn check_at_least<T: PartialOrd + Display>(
    field: &str,
    value: T,
    lowest: T,
) -> Result<(), InvalidResource> {
    if value >= lowest {
        return Ok(());
    }
    Err(out_of_range(field, value, format!("at least {lowest}")))
}

fn out_of_range(field: &str, value: impl Display, allowed: String) -> InvalidResource {
    InvalidResource::OutOfRange {
        field: field.to_owned(),
        value: value.to_string(),
        allowed,
    }
}

fn check_job(job: &JobSpec) -> Result<(), InvalidResource> {
    check_name("pool", job.pool.as_str())?;
    check_range("group_size", job.group_size, limits::GROUP_SIZE)?;
    check_range(
        "samples_per_step",
        job.samples_per_step,
        limits::SAMPLES_PER_STEP,
    )?;
    check_whole_groups(job)?;
    check_range(
        "staleness_bound",
        job.staleness_bound,
        limits::STALENESS_BOUND,
    )?;
    check_range("max_tokens", job.max_tokens, limits::MAX_TOKENS)?;
    if let Some(steps) = job.steps {
        check_at_least("steps", steps, limits::STEPS_MIN)?;
    }
    check_range("steps_ahead", job.steps_ahead, limits::STEPS_AHEAD)?;
    check_prompts(&job.prompts)
}

fn check_whole_groups(job: &JobSpec) -> Result<(), InvalidResource> {
    if job.samples_per_step.is_multiple_of(job.group_size) {
        return Ok(());
    }
    Err(out_of_range(
        "samples_per_step",
        job.samples_per_step,
        format!("multiples of group_size, which is {}", job.group_size),
    ))
}

fn check_prompts(prompts: &[String]) -> Result<(), InvalidResource> {
    check_at_least("prompts.length", prompts.len(), limits::PROMPT_COUNT_MIN)?;
    let bytes = prompts.iter().map(String::len).sum();
    check_range("prompts.bytes", bytes, limits::PROMPT_BYTES)
}

fn check_weight_version(version: &WeightVersionSpec) -> Result<(), InvalidResource> {
    check_name("model", version.model.as_str())?;
    check_range(
        "location.bytes",
        version.location.len(),
        limits::LOCATION_LENGTH,
    )
}

fn check_pool(pool: &PoolSpec) -> Result<(), InvalidResource> {
    check_name("model", pool.model.as_str())?;
    check_range(
        "max_running_per_engine",
        pool.max_running_per_engine,
        limits::MAX_RUNNING_PER_ENGINE,
    )?;
    check_range(
        "max_queued_per_engine",
        pool.max_queued_per_engine,
        limits::MAX_QUEUED_PER_ENGINE,
    )?;
    check_range(
        "live_reserve_percent",
        pool.live_reserve_percent,
        limits::LIVE_RESERVE_PERCENT,
    )
}

fn check_rule(rule: &PriorityRuleSpec) -> Result<(), InvalidResource> {
    if let Some(caller) = &rule.caller {
        check_characters(
            "caller",
            caller.as_str(),
            is_caller_character,
            "visible ASCII",
        )?;
    }
    if let Some(limit) = rule.max_in_flight_per_node {
        check_at_least(
            "max_in_flight_per_node",
            limit,
            limits::MAX_IN_FLIGHT_PER_NODE_MIN,
        )?;
    }
    Ok(())
}

fn check_engine(engine: &EngineSpec) -> Result<(), InvalidResource> {
    check_name("pool", engine.pool.as_str())?;
    check_name("zone", engine.zone.as_str())?;
    check_at_least(
        "kv_capacity_tokens",
        engine.kv_capacity_tokens,
        limits::KV_CAPACITY_TOKENS_MIN,
    )
}
