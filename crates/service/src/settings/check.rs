//! Validation of the settings' values.

use std::collections::BTreeSet;
use std::fmt::Display;

use thiserror::Error;

use super::{PoolSettings, RouteSettings, ServeSettings};

/// Maximum number of emulated engines in a pool. Each one is a separate HTTP server in this process.
const MAX_EMULATED_ENGINES: u32 = 64;
/// Upper bound of `stop_grace_s` and `store.retention_s`, in seconds.
const MAX_DURATION_S: f64 = 86_400.0;

/// A value that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("key {key} is {value}, allowed: {allowed}")]
pub struct InvalidServeSetting {
    /// Path of the key in the settings, for example `pools[0].name`.
    pub key: String,
    /// The value that was given.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
}

fn require(
    is_allowed: bool,
    key: impl Into<String>,
    value: impl Display,
    allowed: impl Into<String>,
) -> Result<(), InvalidServeSetting> {
    match is_allowed {
        true => Ok(()),
        false => Err(InvalidServeSetting {
            key: key.into(),
            value: value.to_string(),
            allowed: allowed.into(),
        }),
    }
}

fn is_name(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-._".contains(&byte);
    !text.is_empty() && text.bytes().all(is_allowed)
}

/// Description of the texts that [`is_name`] allows.
const ALLOWED_NAMES: &str = "letters, digits and -._, at least one";

impl ServeSettings {
    /// Checks every value; the error names the first key whose value is not allowed.
    pub fn validate(&self) -> Result<(), InvalidServeSetting> {
        require(is_name(&self.node), "node", &self.node, ALLOWED_NAMES)?;
        require(is_name(&self.zone), "zone", &self.zone, ALLOWED_NAMES)?;
        require(
            !self.hosts.is_empty(),
            "hosts",
            "empty",
            "at least one host",
        )?;
        self.check_durations()?;
        let lines = self.log_lines_per_s;
        require(lines > 0, "log_lines_per_s", lines, "at least 1")?;
        let memory_mb = self.memory_mb;
        require(memory_mb > 0, "memory_mb", memory_mb, "at least 1")?;
        let max_mb = self.store.most_mb;
        require(max_mb > 0, "store.most_mb", max_mb, "at least 1")?;
        let pools = self.check_pools()?;
        self.check_routes(&pools)
    }

    fn check_durations(&self) -> Result<(), InvalidServeSetting> {
        let durations = [
            ("stop_grace_s", self.stop_grace_s),
            ("store.retention_s", self.store.retention_s),
        ];
        for (key, value) in durations {
            let is_allowed = (1.0..=MAX_DURATION_S).contains(&value);
            require(is_allowed, key, value, format!("1 to {MAX_DURATION_S}"))?;
        }
        Ok(())
    }

    fn check_pools(&self) -> Result<BTreeSet<&str>, InvalidServeSetting> {
        let mut names = BTreeSet::new();
        for (index, pool) in self.pools.iter().enumerate() {
            let is_unique = names.insert(pool.name.as_str());
            let key = format!("pools[{index}].name");
            require(is_unique, key, &pool.name, "a name that no other pool has")?;
            pool.check(index)?;
        }
        Ok(names)
    }

    fn check_routes(&self, pools: &BTreeSet<&str>) -> Result<(), InvalidServeSetting> {
        let mut names = BTreeSet::new();
        let mut prefixes = BTreeSet::new();
        for (index, route) in self.routes.iter().enumerate() {
            let has_unique_name = names.insert(route.name.as_str());
            let prefix = &route.path_prefix;
            let has_unique_prefix = prefixes.insert(prefix.as_str());
            let key = format!("routes[{index}].path_prefix");
            let allowed = "a prefix that no other route has";
            require(has_unique_prefix, key, prefix, allowed)?;
            let key = format!("routes[{index}].name");
            let allowed = "a name that no other route has";
            require(has_unique_name, key, &route.name, allowed)?;
            route.check(index, pools)?;
        }
        Ok(())
    }
}

impl PoolSettings {
    fn check(&self, index: usize) -> Result<(), InvalidServeSetting> {
        let key = |field: &str| format!("pools[{index}].{field}");
        require(is_name(&self.name), key("name"), &self.name, ALLOWED_NAMES)?;
        require(
            is_name(&self.model),
            key("model"),
            &self.model,
            ALLOWED_NAMES,
        )?;
        let connections = self.connections;
        require(
            connections > 0,
            key("connections"),
            connections,
            "at least 1",
        )?;
        let engines = self.emulated_engines;
        let allowed = format!("0 to {MAX_EMULATED_ENGINES}");
        let is_allowed = engines <= MAX_EMULATED_ENGINES;
        require(is_allowed, key("emulated_engines"), engines, allowed)?;
        let tokens = self.engine.tokens_per_chunk;
        let tokens_key = key("engine.tokens_per_chunk");
        require(tokens == 1, tokens_key, tokens, "1: an event is a token")?;
        let training_tokens = self.engine.training_tokens_per_chunk.unwrap_or(1);
        let tokens_key = key("engine.training_tokens_per_chunk");
        require(training_tokens == 1, tokens_key, training_tokens, "1")?;
        self.engine.validate().map_err(|error| InvalidServeSetting {
            key: key("engine"),
            value: "not usable".to_owned(),
            allowed: error.to_string(),
        })
    }
}

impl RouteSettings {
    fn check(&self, index: usize, pools: &BTreeSet<&str>) -> Result<(), InvalidServeSetting> {
        let key = |field: &str| format!("routes[{index}].{field}");
        require(is_name(&self.name), key("name"), &self.name, ALLOWED_NAMES)?;
        let prefix = &self.path_prefix;
        let is_prefix = prefix.starts_with('/') && prefix.ends_with('/');
        let allowed = "a path that starts and ends with a slash";
        require(is_prefix, key("path_prefix"), prefix, allowed)?;
        let numbers = [
            ("timeout_ms", self.timeout_ms),
            ("objective_ms", self.objective_ms),
            ("attempts", u64::from(self.attempts)),
        ];
        for (field, value) in numbers {
            require(value > 0, key(field), value, "at least 1")?;
        }
        require(
            !self.pools.is_empty(),
            key("pools"),
            "empty",
            "at least one pool",
        )?;
        for (pool_index, share) in self.pools.iter().enumerate() {
            let key = |field: &str| format!("routes[{index}].pools[{pool_index}].{field}");
            let is_known = pools.contains(share.pool.as_str());
            let known: Vec<&str> = pools.iter().copied().collect();
            let allowed = format!("one of the pools {}", known.join(", "));
            require(is_known, key("pool"), &share.pool, allowed)?;
            require(share.weight > 0, key("weight"), share.weight, "at least 1")?;
        }
        Ok(())
    }
}
