//! Who may call: tenants, the keys that they hold, and what a presented key stands for.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use thiserror::Error;

use crate::ids::{ApiKey, TenantName};
use crate::residency::Residency;

/// Most keys whose former holders are remembered. Far more than change hands while a request may be on its
/// way; it only bounds memory.
const MOST_FORMER_KEYS: usize = 10_000;

/// A tenant as operators configure it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tenant {
    /// Its name, which back ends are told.
    pub name: TenantName,
    /// The keys that its callers present.
    pub keys: Vec<ApiKey>,
    /// Rank of its requests, where 0 is the most urgent; goes before the route's.
    pub priority: Option<u32>,
    /// Where its requests may be served and its data kept.
    pub residency: Residency,
}

/// The holder of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyHolder {
    /// The tenant that holds the key now.
    pub tenant: TenantName,
    /// Rank of its requests, where 0 is the most urgent; `None` leaves it to the route.
    pub priority: Option<u32>,
    /// Tenants that held the key in earlier configurations.
    former: BTreeSet<TenantName>,
}

impl KeyHolder {
    /// The holder as which another node has admitted a caller, by every tenant that it acts for; `None` if there
    /// is none. Its rank is not known.
    fn acting_for(mut tenants: Vec<TenantName>) -> Option<Self> {
        if tenants.is_empty() {
            return None;
        }
        let tenant = tenants.remove(0);
        Some(Self {
            tenant,
            priority: None,
            former: tenants.into_iter().collect(),
        })
    }
}

/// Who makes a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Caller {
    /// Somebody of whom nothing can be said, as no configuration is known yet.
    Unverified,
    /// Somebody without a key, where none is asked for.
    Anonymous,
    /// The holder of a key.
    KeyHolder(Arc<KeyHolder>),
}

impl Caller {
    /// The tenant whose key was presented.
    pub fn tenant(&self) -> Option<&TenantName> {
        match self {
            Self::Unverified | Self::Anonymous => None,
            Self::KeyHolder(holder) => Some(&holder.tenant),
        }
    }

    /// Rank of this caller's requests, where 0 is the most urgent; `None` leaves it to the route.
    pub fn priority(&self) -> Option<u32> {
        match self {
            Self::Unverified | Self::Anonymous => None,
            Self::KeyHolder(holder) => holder.priority,
        }
    }

    /// Whether something that belongs to `owner` exists for this caller. A key that was passed on to another
    /// tenant a moment ago still shows its former holder's batches: the change reaches callers and nodes at
    /// different times.
    pub fn can_see(&self, owner: Option<&TenantName>) -> bool {
        match (self, owner) {
            (_, None) | (Self::Anonymous, _) => true,
            (Self::Unverified, Some(_)) => false,
            (Self::KeyHolder(holder), Some(owner)) => {
                holder.tenant == *owner || holder.former.contains(owner)
            }
        }
    }

    /// The caller that another node admitted as these tenants ([`Self::effective_tenants`]), or without a key.
    pub fn admitted_by_peer(tenants: Vec<TenantName>) -> Self {
        let holder = KeyHolder::acting_for(tenants);
        holder.map_or(Self::Anonymous, |holder| Self::KeyHolder(Arc::new(holder)))
    }

    /// Every tenant as which this caller may act on what lies in the log; empty for one without a key.
    pub fn effective_tenants(&self) -> Vec<TenantName> {
        match self {
            Self::Unverified | Self::Anonymous => Vec::new(),
            Self::KeyHolder(holder) => {
                let present = std::iter::once(&holder.tenant);
                present.chain(&holder.former).cloned().collect()
            }
        }
    }
}

/// Why a request is turned away.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Denied {
    /// It presents no key.
    #[error("no key")]
    NoKey,
    /// No tenant holds the key that it presents.
    #[error("unknown key")]
    UnknownKey,
}

/// The keys of a configuration.
#[derive(Debug, Default)]
pub struct AccessTable {
    /// Whether there are tenants, so that callers need keys; also if all keys were taken away.
    has_tenants: bool,
    holders: HashMap<ApiKey, Arc<KeyHolder>>,
    /// Tenants that held each key in any configuration so far, of keys that changed hands or were taken away.
    former: HashMap<ApiKey, BTreeSet<TenantName>>,
    residencies: HashMap<TenantName, Residency>,
    priorities: HashMap<TenantName, u32>,
}

impl AccessTable {
    /// The keys of a configuration that follows on `previous`.
    pub fn replacing(tenants: &[Tenant], previous: Option<&Self>) -> Self {
        let mut former =
            previous.map_or_else(HashMap::new, |previous| previous.former_after(tenants));
        if former.len() > MOST_FORMER_KEYS {
            former.clear();
        }
        let mut holders = HashMap::new();
        for tenant in tenants {
            for key in &tenant.keys {
                let holder = KeyHolder {
                    tenant: tenant.name.clone(),
                    priority: tenant.priority,
                    former: former.get(key).cloned().unwrap_or_default(),
                };
                holders.insert(key.clone(), Arc::new(holder));
            }
        }
        Self {
            has_tenants: !tenants.is_empty(),
            holders,
            former,
            residencies: tenants
                .iter()
                .map(|tenant| (tenant.name.clone(), tenant.residency.clone()))
                .collect(),
            priorities: tenants
                .iter()
                .filter_map(|tenant| Some((tenant.name.clone(), tenant.priority?)))
                .collect(),
        }
    }

    /// Where a tenant's requests may be served and its data kept.
    pub fn residency_of(&self, tenant: &TenantName) -> Residency {
        self.residencies.get(tenant).cloned().unwrap_or_default()
    }

    /// Rank of a tenant's requests, where 0 is the most urgent; `None` leaves it to the route.
    pub fn priority_of(&self, tenant: &TenantName) -> Option<u32> {
        self.priorities.get(tenant).copied()
    }

    /// Former holders once `tenants` hold what they are given.
    fn former_after(&self, tenants: &[Tenant]) -> HashMap<ApiKey, BTreeSet<TenantName>> {
        let mut next: HashMap<&ApiKey, &TenantName> = HashMap::new();
        for tenant in tenants {
            next.extend(tenant.keys.iter().map(|key| (key, &tenant.name)));
        }
        let mut former = self.former.clone();
        for (key, holder) in &self.holders {
            if next.get(key).is_none_or(|name| **name != holder.tenant) {
                let names = former.entry(key.clone()).or_default();
                names.insert(holder.tenant.clone());
            }
        }
        former
    }

    /// Who presents a key, or none, on a route. A key that nobody holds is turned away everywhere, as it
    /// may be one that was taken away.
    pub fn admit(&self, key: Option<&str>, is_public: bool) -> Result<Caller, Denied> {
        if !self.has_tenants {
            return Ok(Caller::Anonymous);
        }
        match key {
            Some(key) => match self.holders.get(key) {
                Some(holder) => Ok(Caller::KeyHolder(holder.clone())),
                None => Err(Denied::UnknownKey),
            },
            None if is_public => Ok(Caller::Anonymous),
            None => Err(Denied::NoKey),
        }
    }
}
