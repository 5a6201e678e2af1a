use {
    super::QuotaCredit,
    std::{collections::HashMap, sync::Arc},
};

/// Credit of this daemon for each organisation that has a quota, by the organisation's name.
#[derive(Clone, Debug, Default)]
pub struct Quotas {
    /// Credit that requests take.
    pub credits: HashMap<String, Arc<QuotaCredit>>,
}
