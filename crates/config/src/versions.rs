//! Index of the published weight versions of each model.

use std::collections::BTreeMap;

use havenstage_types::ids::{ModelName, Revision, VersionNumber};
use havenstage_types::resource::WeightVersionSpec;

/// A weight version that engines may be ordered to load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishedVersion {
    /// Number of the version, unique within its model; a newer version has a higher one.
    pub number: VersionNumber,
    /// Location of the weights in the weight store.
    pub location: String,
    /// Revision of the configuration resource that publishes the version.
    pub revision: Revision,
}

/// Published versions by model and number, and the highest number that each model ever had.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct VersionIndex {
    published: BTreeMap<ModelName, BTreeMap<VersionNumber, PublishedVersion>>,
    highest: BTreeMap<ModelName, VersionNumber>,
}

impl VersionIndex {
    /// Creates an index with the highest numbers of a snapshot and without published versions.
    pub(crate) fn with_highest(highest: BTreeMap<ModelName, VersionNumber>) -> Self {
        Self {
            published: BTreeMap::new(),
            highest,
        }
    }

    /// Adds a version and raises the highest number of its model.
    pub(crate) fn insert(&mut self, spec: &WeightVersionSpec, revision: Revision) {
        let version = PublishedVersion {
            number: spec.number,
            location: spec.location.clone(),
            revision,
        };
        self.published
            .entry(spec.model.clone())
            .or_default()
            .insert(spec.number, version);
        let highest = self.highest.entry(spec.model.clone()).or_default();
        *highest = spec.number.max(*highest);
    }

    /// Removes a version; the highest number of its model stays.
    pub(crate) fn remove(&mut self, spec: &WeightVersionSpec) {
        let Some(versions) = self.published.get_mut(&spec.model) else {
            return;
        };
        versions.remove(&spec.number);
        if versions.is_empty() {
            self.published.remove(&spec.model);
        }
    }

    /// The published version of `model` with the highest number.
    pub(crate) fn newest(&self, model: &ModelName) -> Option<&PublishedVersion> {
        let (_, newest) = self.published.get(model)?.last_key_value()?;
        Some(newest)
    }

    /// The highest number that `model` ever had, including deleted versions.
    pub(crate) fn highest(&self, model: &ModelName) -> Option<VersionNumber> {
        self.highest.get(model).copied()
    }

    /// The highest number that each model ever had, including deleted versions.
    pub(crate) fn all_highest(&self) -> &BTreeMap<ModelName, VersionNumber> {
        &self.highest
    }
}
