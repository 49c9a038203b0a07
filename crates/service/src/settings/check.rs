//! Checks of values against what is allowed.

use std::collections::BTreeSet;
use std::fmt::Display;

use thiserror::Error;

use super::{PoolSettings, RouteSettings, ServeSettings};

/// Most emulated engines of a pool: each is a server of its own in this process.
const MOST_EMULATED_ENGINES: u32 = 64;
/// Longest time to stop, and longest retention, in seconds.
const MOST_SECONDS: f64 = 86_400.0;

/// A value that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("key {key} is {value}, allowed: {allowed}")]
pub struct InvalidServeSetting {
    /// Path of the key.
    pub key: String,
    /// The value.
    pub value: String,
    /// What is allowed.
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
    let fits = |byte: u8| byte.is_ascii_alphanumeric() || b"-._".contains(&byte);
    !text.is_empty() && text.bytes().all(fits)
}

const NAME: &str = "letters, digits and -._, at least one";

impl ServeSettings {
    /// Checks every value against what is allowed.
    pub fn validate(&self) -> Result<(), InvalidServeSetting> {
        require(is_name(&self.node), "node", &self.node, NAME)?;
        require(is_name(&self.zone), "zone", &self.zone, NAME)?;
        require(
            !self.hosts.is_empty(),
            "hosts",
            "empty",
            "at least one host",
        )?;
        self.check_seconds()?;
        let lines = self.log_lines_per_s;
        require(lines > 0, "log_lines_per_s", lines, "at least 1")?;
        let most_mb = self.store.most_mb;
        require(most_mb > 0, "store.most_mb", most_mb, "at least 1")?;
        let pools = self.check_pools()?;
        self.check_routes(&pools)
    }

    fn check_seconds(&self) -> Result<(), InvalidServeSetting> {
        let seconds = [
            ("stop_grace_s", self.stop_grace_s),
            ("store.retention_s", self.store.retention_s),
        ];
        for (key, value) in seconds {
            let is_allowed = (1.0..=MOST_SECONDS).contains(&value);
            require(is_allowed, key, value, format!("1 to {MOST_SECONDS}"))?;
        }
        Ok(())
    }

    fn check_pools(&self) -> Result<BTreeSet<&str>, InvalidServeSetting> {
        let mut names = BTreeSet::new();
        for (at, pool) in self.pools.iter().enumerate() {
            let is_new = names.insert(pool.name.as_str());
            let key = format!("pools[{at}].name");
            require(is_new, key, &pool.name, "a name that no other pool has")?;
            pool.check(at)?;
        }
        Ok(names)
    }

    fn check_routes(&self, pools: &BTreeSet<&str>) -> Result<(), InvalidServeSetting> {
        let mut names = BTreeSet::new();
        let mut prefixes = BTreeSet::new();
        for (at, route) in self.routes.iter().enumerate() {
            let is_new = names.insert(route.name.as_str());
            let prefix = &route.path_prefix;
            let is_other = prefixes.insert(prefix.as_str());
            let key = format!("routes[{at}].path_prefix");
            require(is_other, key, prefix, "a prefix that no other route has")?;
            let key = format!("routes[{at}].name");
            require(is_new, key, &route.name, "a name that no other route has")?;
            route.check(at, pools)?;
        }
        Ok(())
    }
}

impl PoolSettings {
    fn check(&self, at: usize) -> Result<(), InvalidServeSetting> {
        let key = |field: &str| format!("pools[{at}].{field}");
        require(is_name(&self.name), key("name"), &self.name, NAME)?;
        require(is_name(&self.model), key("model"), &self.model, NAME)?;
        let connections = self.connections;
        require(
            connections > 0,
            key("connections"),
            connections,
            "at least 1",
        )?;
        let engines = self.emulated_engines;
        let allowed = format!("0 to {MOST_EMULATED_ENGINES}");
        let fits = engines <= MOST_EMULATED_ENGINES;
        require(fits, key("emulated_engines"), engines, allowed)?;
        let tokens = self.engine.tokens_per_chunk;
        let key_of_tokens = key("engine.tokens_per_chunk");
        require(tokens == 1, key_of_tokens, tokens, "1: an event is a token")?;
        let training_tokens = self.engine.training_tokens_per_chunk.unwrap_or(1);
        let key_of_tokens = key("engine.training_tokens_per_chunk");
        require(training_tokens == 1, key_of_tokens, training_tokens, "1")?;
        self.engine.validate().map_err(|error| InvalidServeSetting {
            key: key("engine"),
            value: "not usable".to_owned(),
            allowed: error.to_string(),
        })
    }
}

impl RouteSettings {
    fn check(&self, at: usize, pools: &BTreeSet<&str>) -> Result<(), InvalidServeSetting> {
        let key = |field: &str| format!("routes[{at}].{field}");
        require(is_name(&self.name), key("name"), &self.name, NAME)?;
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
        for (index, share) in self.pools.iter().enumerate() {
            let key = |field: &str| format!("routes[{at}].pools[{index}].{field}");
            let is_known = pools.contains(share.pool.as_str());
            let known: Vec<&str> = pools.iter().copied().collect();
            let allowed = format!("one of the pools {}", known.join(", "));
            require(is_known, key("pool"), &share.pool, allowed)?;
            require(share.weight > 0, key("weight"), share.weight, "at least 1")?;
        }
        Ok(())
    }
}
