//! Data residency: the regions in which a request may be served and its data stored.
//!
//! Operators restrict routes and tenants; where both are restricted, a region must be allowed by both. Each choice of
//! a back end for a request, and of a node that runs a batch, checks a [`Residency`].

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::ids::{RegionName, ZoneName};

/// The set of allowed regions; every region if nothing restricts it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Residency {
    /// `None` allows every region.
    allowed: Option<Arc<BTreeSet<RegionName>>>,
}

impl Residency {
    /// Allows every region.
    pub fn anywhere() -> Self {
        Self::default()
    }

    /// Allows only these regions; an empty list allows every region.
    pub fn of(regions: impl IntoIterator<Item = RegionName>) -> Self {
        let regions: BTreeSet<RegionName> = regions.into_iter().collect();
        Self {
            allowed: (!regions.is_empty()).then(|| Arc::new(regions)),
        }
    }

    /// The intersection of both restrictions, which may leave no region at all.
    pub fn and(&self, other: &Self) -> Self {
        match (&self.allowed, &other.allowed) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(left), Some(right)) => Self {
                allowed: Some(Arc::new(left.intersection(right).cloned().collect())),
            },
        }
    }

    /// Whether the regions are restricted, so that some region is not allowed.
    pub fn is_restricted(&self) -> bool {
        self.allowed.is_some()
    }

    /// Whether a region is allowed. An unknown region (`None`) is allowed only if there is no restriction.
    pub fn allows(&self, region: Option<&RegionName>) -> bool {
        match &self.allowed {
            None => true,
            Some(allowed) => region.is_some_and(|region| allowed.contains(region)),
        }
    }
}

/// Maps each configured zone to its region.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RegionMap(BTreeMap<ZoneName, RegionName>);

impl RegionMap {
    /// The region of a zone; `None` if the zone is not configured.
    pub fn region_of(&self, zone: &str) -> Option<&RegionName> {
        self.0.get(zone)
    }
}

impl FromIterator<(ZoneName, RegionName)> for RegionMap {
    fn from_iter<T: IntoIterator<Item = (ZoneName, RegionName)>>(zones: T) -> Self {
        Self(zones.into_iter().collect())
    }
}
