use {
    super::LogEntry,
    jiff::{SignedDuration, Timestamp},
    std::collections::BTreeSet,
};

/// Time before a request's first line from which on lines about its endpoints belong to its story.
const BEFORE: SignedDuration = SignedDuration::from_secs(3);

/// Time after a request's last line up to which lines about its endpoints belong to its story.
const AFTER: SignedDuration = SignedDuration::from_millis(500);

/// Fields that name an endpoint.
const ENDPOINTS: [&str; 3] = ["endpoint", "decode", "prefill"];

/// The lines that tell the story of `request`, in order.
///
/// These are its own lines, the lines with which its places were chosen on another host, and around
/// its time what became of the endpoints that it met, and of the daemons that handled it.
pub fn story_of(lines: &[LogEntry], request: &str) -> Vec<LogEntry> {
    let own: Vec<_> = lines
        .iter()
        .filter(|line| line.text("request") == Some(request))
        .collect();
    let times = || own.iter().map(|line| line.time);
    let (Some(first), Some(last)) = (times().min(), times().max()) else {
        return Vec::new();
    };
    let story = Story {
        request,
        hosts: own.iter().map(|line| line.host.as_str()).collect(),
        places: own.iter().filter_map(|line| line.number("place")).collect(),
        endpoints: own.iter().flat_map(|line| endpoints(line)).collect(),
        from: first.saturating_sub(BEFORE).unwrap_or(first),
        until: last.saturating_add(AFTER).unwrap_or(last),
    };
    let mut told: Vec<_> = lines
        .iter()
        .filter(|line| story.has(line))
        .cloned()
        .collect();
    told.sort_by_key(|line| line.time);
    told
}

/// What is known of a request.
struct Story<'a> {
    request: &'a str,
    hosts: BTreeSet<&'a str>,
    places: BTreeSet<u64>,
    endpoints: BTreeSet<&'a str>,
    from: Timestamp,
    until: Timestamp,
}

impl Story<'_> {
    fn has(&self, line: &LogEntry) -> bool {
        if let Some(request) = line.text("request") {
            return request == self.request;
        }
        if let Some(place) = line.number("place") {
            return self.places.contains(&place);
        }
        if line.time < self.from || line.time > self.until {
            return false;
        }
        let mut named = endpoints(line).peekable();
        if named.peek().is_some() {
            return named.any(|name| self.endpoints.contains(name));
        }
        self.hosts.contains(line.host.as_str())
    }
}

/// Names of endpoints in a line.
fn endpoints(line: &LogEntry) -> impl Iterator<Item = &str> {
    ENDPOINTS.iter().filter_map(|field| line.text(field))
}
