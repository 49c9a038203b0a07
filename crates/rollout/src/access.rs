//! Access control: tenants, their API keys, and which tenant a presented key identifies.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use thiserror::Error;

use crate::ids::{ApiKey, TenantName};
use crate::residency::Residency;

/// Maximum number of keys whose former holders are remembered. It bounds memory, and is far more than the keys that
/// are reassigned while a request is in flight. If there are more, all former holders are forgotten.
const MAX_FORMER_KEYS: usize = 10_000;

/// A tenant as operators configure it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tenant {
    /// Name of the tenant, which is passed on to back ends.
    pub name: TenantName,
    /// API keys that identify its callers.
    pub keys: Vec<ApiKey>,
    /// Rank of its requests, where 0 is the most urgent; overrides the route's. `None` uses the route's.
    pub priority: Option<u32>,
    /// Regions in which its requests may be served and its data stored.
    pub residency: Residency,
}

/// What a known API key stands for: its tenant, and the tenants that held it before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyHolder {
    /// The tenant that holds the key now.
    pub tenant: TenantName,
    /// Rank of the tenant's requests, where 0 is the most urgent; `None` uses the route's.
    pub priority: Option<u32>,
    /// Tenants that held the key in earlier configurations.
    former: BTreeSet<TenantName>,
}

impl KeyHolder {
    /// The key holder that another node admitted, from the tenants as which it may act, the present one first;
    /// `None` if there are none. Its rank is not known here.
    fn from_tenants(mut tenants: Vec<TenantName>) -> Option<Self> {
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

/// Identity of the caller of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Caller {
    /// A caller that cannot be checked because this node has read no configuration yet.
    Unverified,
    /// A caller without a key, where none is required.
    Anonymous,
    /// A caller that presented a known key.
    KeyHolder(Arc<KeyHolder>),
}

impl Caller {
    /// The tenant that holds the presented key; `None` for a caller without a known key.
    pub fn tenant(&self) -> Option<&TenantName> {
        match self {
            Self::Unverified | Self::Anonymous => None,
            Self::KeyHolder(holder) => Some(&holder.tenant),
        }
    }

    /// Rank of this caller's requests, where 0 is the most urgent; `None` uses the route's.
    pub fn priority(&self) -> Option<u32> {
        match self {
            Self::Unverified | Self::Anonymous => None,
            Self::KeyHolder(holder) => holder.priority,
        }
    }

    /// Whether this caller can see a batch of `owner`; `None` is a batch without a tenant, which everybody sees.
    ///
    /// The holder of a key that was reassigned also sees the batches of the tenants that held the key before:
    /// callers and nodes learn of the change at different times.
    pub fn can_see(&self, owner: Option<&TenantName>) -> bool {
        match (self, owner) {
            (_, None) | (Self::Anonymous, _) => true,
            (Self::Unverified, Some(_)) => false,
            (Self::KeyHolder(holder), Some(owner)) => {
                holder.tenant == *owner || holder.former.contains(owner)
            }
        }
    }

    /// The caller that another node admitted and for which it sent these tenants ([`Self::effective_tenants`]); an
    /// anonymous one if the list is empty.
    pub fn admitted_by_peer(tenants: Vec<TenantName>) -> Self {
        let holder = KeyHolder::from_tenants(tenants);
        holder.map_or(Self::Anonymous, |holder| Self::KeyHolder(Arc::new(holder)))
    }

    /// Every tenant as which this caller may act on batches in the log: the present holder of its key first, then the
    /// former ones. Empty for a caller without a key.
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

/// Why a request is rejected with status 401.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Denied {
    /// The request presents no key, where one is required.
    #[error("no key")]
    NoKey,
    /// No tenant holds the key that the request presents.
    #[error("unknown key")]
    UnknownKey,
}

/// The tenants of a configuration, indexed by API key and by name.
#[derive(Debug, Default)]
pub struct AccessTable {
    /// Whether the configuration has tenants, so that callers need keys; also true if no tenant has a key left.
    has_tenants: bool,
    holders: HashMap<ApiKey, Arc<KeyHolder>>,
    /// For each key that was reassigned or revoked: the tenants that held it in earlier configurations.
    former: HashMap<ApiKey, BTreeSet<TenantName>>,
    residencies: HashMap<TenantName, Residency>,
    priorities: HashMap<TenantName, u32>,
}

impl AccessTable {
    /// Builds the table of a configuration that replaces `previous`, and remembers former holders of its keys.
    pub fn replacing(tenants: &[Tenant], previous: Option<&Self>) -> Self {
        let mut former =
            previous.map_or_else(HashMap::new, |previous| previous.former_after(tenants));
        if former.len() > MAX_FORMER_KEYS {
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

    /// Regions in which a tenant's requests may be served and its data stored; unrestricted for an unknown tenant.
    pub fn residency_of(&self, tenant: &TenantName) -> Residency {
        self.residencies.get(tenant).cloned().unwrap_or_default()
    }

    /// Rank of a tenant's requests, where 0 is the most urgent; `None` uses the route's.
    pub fn priority_of(&self, tenant: &TenantName) -> Option<u32> {
        self.priorities.get(tenant).copied()
    }

    /// Former holders of all keys once the configuration with `tenants` replaces this one.
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

    /// Identifies the caller that presents `key`, where `is_public` says whether the route admits callers without one.
    ///
    /// # Errors
    ///
    /// [`Denied::NoKey`] if there is no key and the route is not public. [`Denied::UnknownKey`] if no tenant holds the
    /// key, also on a public route, as the key may have been revoked.
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
