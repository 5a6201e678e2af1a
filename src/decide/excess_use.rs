use std::collections::BTreeMap;

/// Returns by how many doublings `organisation` has more running requests than the others in `running` have on
/// average; 0 below one. Steps of a doubling keep the order of arrival among organisations of similar use.
pub fn excess_use(running: &BTreeMap<Option<u64>, usize>, organisation: Option<u64>) -> u32 {
    let own = running.get(&organisation).copied().unwrap_or_default();
    let others = running.len().saturating_sub(1);
    if others == 0 {
        return 0;
    }
    let total: usize = running.values().sum();
    // An average below one would make the first running request count as many doublings.
    let average = ((total - own) as f64 / others as f64).max(1.0);
    let ratio = (own as f64 / average).max(1.0);
    ratio.log2() as u32
}
