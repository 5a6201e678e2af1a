use std::collections::{BTreeMap, BTreeSet};

/// What an engine has in its memory; empty for a plain service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Loaded {
    /// Version by model.
    pub models: BTreeMap<String, String>,
    /// Adapters.
    pub adapters: BTreeSet<String>,
}

impl Loaded {
    /// Whether requests for `version` of `model` with `adapter` may run; an empty model needs
    /// nothing.
    pub fn serves(&self, model: &str, version: &str, adapter: Option<&str>) -> bool {
        if model.is_empty() {
            return true;
        }
        let found = self.models.get(model);
        found.is_some_and(|found| found == version)
            && adapter.is_none_or(|adapter| self.adapters.contains(adapter))
    }

    /// Whether everything in `wanted` is loaded; more may be.
    pub fn covers(&self, wanted: &Self) -> bool {
        let has = |(model, version)| self.models.get(model) == Some(version);
        wanted.models.iter().all(has) && self.adapters.is_superset(&wanted.adapters)
    }
}
