use {
    super::LogEntry,
    jiff::{SignedDuration, Timestamp},
    std::collections::BTreeSet,
};

/// Time before a request's first entry from which on entries about its endpoints and hosts are
/// related to it.
const TIME_BEFORE: SignedDuration = SignedDuration::from_secs(3);

/// Time after a request's last entry up to which entries about its endpoints and hosts are related
/// to it.
const TIME_AFTER: SignedDuration = SignedDuration::from_millis(500);

/// Keys whose value is the name of an endpoint.
const ENDPOINT_KEYS: [&str; 3] = ["endpoint", "decode", "prefill"];

/// Returns the entries that concern `request`, ordered by time; none if no entry names it.
///
/// These are the entries that name the request, those of its placements on other hosts and, from
/// 3 s before its first to 500 ms after its last entry, those about its endpoints and about the
/// daemons that handled it.
pub fn related_entries(entries: &[LogEntry], request: &str) -> Vec<LogEntry> {
    let own: Vec<_> = entries
        .iter()
        .filter(|entry| entry.text("request") == Some(request))
        .collect();
    let times = || own.iter().map(|entry| entry.time);
    let (Some(first), Some(last)) = (times().min(), times().max()) else {
        return Vec::new();
    };
    let selection = Selection {
        request,
        hosts: own.iter().map(|entry| entry.host.as_str()).collect(),
        placements: own
            .iter()
            .filter_map(|entry| entry.number("place"))
            .collect(),
        endpoints: own.iter().flat_map(|entry| endpoints(entry)).collect(),
        from: first.saturating_sub(TIME_BEFORE).unwrap_or(first),
        until: last.saturating_add(TIME_AFTER).unwrap_or(last),
    };
    let mut related: Vec<_> = entries
        .iter()
        .filter(|entry| selection.matches(entry))
        .cloned()
        .collect();
    related.sort_by_key(|entry| entry.time);
    related
}

/// Attributes of a request by which related entries are found.
struct Selection<'a> {
    request: &'a str,
    hosts: BTreeSet<&'a str>,
    placements: BTreeSet<u64>,
    endpoints: BTreeSet<&'a str>,
    from: Timestamp,
    until: Timestamp,
}

impl Selection<'_> {
    fn matches(&self, entry: &LogEntry) -> bool {
        if let Some(request) = entry.text("request") {
            return request == self.request;
        }
        if let Some(placement) = entry.number("place") {
            return self.placements.contains(&placement);
        }
        if entry.time < self.from || entry.time > self.until {
            return false;
        }
        let mut named = endpoints(entry).peekable();
        if named.peek().is_some() {
            return named.any(|name| self.endpoints.contains(name));
        }
        self.hosts.contains(entry.host.as_str())
    }
}

/// Names of the endpoints in an entry.
fn endpoints(entry: &LogEntry) -> impl Iterator<Item = &str> {
    ENDPOINT_KEYS.iter().filter_map(|field| entry.text(field))
}
