use std::collections::{BTreeMap, BTreeSet};

/// Models and adapters that an engine has loaded; empty for a plain service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LoadedModels {
    /// Loaded version by model name.
    pub models: BTreeMap<String, String>,
    /// Names of the loaded adapters.
    pub adapters: BTreeSet<String>,
}

impl LoadedModels {
    /// Returns whether `version` of `model` and `adapter` are loaded.
    ///
    /// An empty `model` stands for a plain service, which needs nothing loaded.
    pub fn serves(&self, model: &str, version: &str, adapter: Option<&str>) -> bool {
        if model.is_empty() {
            return true;
        }
        let loaded = self.models.get(model);
        loaded.is_some_and(|loaded| loaded == version)
            && adapter.is_none_or(|adapter| self.adapters.contains(adapter))
    }

    /// Returns whether everything in `wanted` is loaded; more may be loaded.
    pub fn covers(&self, wanted: &Self) -> bool {
        let has = |(model, version)| self.models.get(model) == Some(version);
        wanted.models.iter().all(has) && self.adapters.is_superset(&wanted.adapters)
    }
}
