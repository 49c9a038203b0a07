//! In which regions a request may be served and its data kept (data residency).
//!
//! Operators restrict routes and tenants; where both are restricted, both bind. Every choice of a back end for a
//! request, and of a node that runs a batch, asks a [`Residency`].

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::ids::{RegionName, ZoneName};

/// The regions that are allowed; all of them unless something restricts it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Residency {
    /// `None` allows every region.
    allowed: Option<Arc<BTreeSet<RegionName>>>,
}

impl Residency {
    /// No restriction.
    pub fn anywhere() -> Self {
        Self::default()
    }

    /// Restricted to these regions; an empty list restricts nothing.
    pub fn of(regions: impl IntoIterator<Item = RegionName>) -> Self {
        let regions: BTreeSet<RegionName> = regions.into_iter().collect();
        Self {
            allowed: (!regions.is_empty()).then(|| Arc::new(regions)),
        }
    }

    /// Restricted by both. What is left may be no region at all.
    pub fn and(&self, other: &Self) -> Self {
        match (&self.allowed, &other.allowed) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(left), Some(right)) => Self {
                allowed: Some(Arc::new(left.intersection(right).cloned().collect())),
            },
        }
    }

    /// Whether some region is not allowed.
    pub fn is_restricted(&self) -> bool {
        self.allowed.is_some()
    }

    /// Whether a region is allowed. One that is not known is allowed only where nothing is restricted.
    pub fn allows(&self, region: Option<&RegionName>) -> bool {
        match &self.allowed {
            None => true,
            Some(allowed) => region.is_some_and(|region| allowed.contains(region)),
        }
    }
}

/// The region of each zone.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RegionMap(BTreeMap<ZoneName, RegionName>);

impl RegionMap {
    /// The region of a zone, if it is known.
    pub fn region_of(&self, zone: &str) -> Option<&RegionName> {
        self.0.get(zone)
    }
}

impl FromIterator<(ZoneName, RegionName)> for RegionMap {
    fn from_iter<T: IntoIterator<Item = (ZoneName, RegionName)>>(zones: T) -> Self {
        Self(zones.into_iter().collect())
    }
}
