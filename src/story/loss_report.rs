use {
    super::{LogEntry, LossCause, RequestEnd},
    serde::Serialize,
    std::collections::{BTreeMap, HashMap},
};

/// Message of the line that counts the lines which a daemon dropped.
const DROPPED: &str = "log lines dropped";

/// What requests lost compared with responses in time, by route and cause.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct LossReport {
    /// Requests that the logs name.
    pub requests: u64,
    /// Requests that were answered in time.
    pub in_time: u64,
    /// Remote prefills that were computed and from which nothing was decoded.
    pub vain_prefills: u64,
    /// Log lines that the daemons dropped, of which some may be about requests.
    pub dropped_lines: u64,
    /// Losses, ordered by route and, within it, by the number of requests.
    pub losses: Vec<Loss>,
}

/// Requests of one route that lost something for the same cause.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Loss {
    /// Name of the route; empty if a refused request matched none.
    pub route: String,
    /// Why they lost something.
    pub cause: LossCause,
    /// Number of requests.
    pub requests: u64,
    /// Number of requests of the route.
    pub of: u64,
    /// Median of the milliseconds to the first event of streams that were answered, to the end of
    /// others.
    pub median_ms: u64,
    /// The longest of these times, in milliseconds.
    pub longest_ms: u64,
    /// Remote prefills of theirs from which nothing was decoded.
    pub vain_prefills: u64,
}

/// Reads log entries one by one and reports what the requests that they name lost.
#[derive(Clone, Debug)]
pub struct LossReader {
    pause_ms: u64,
    dropped: u64,
    requests: HashMap<String, SeenRequest>,
}

/// What was read about one request.
#[derive(Clone, Debug, Default)]
struct SeenRequest {
    route: String,
    end: Option<RequestEnd>,
}

impl LossReader {
    /// Creates a reader for which streams with a pause of more than `pause_ms` lose something.
    pub fn new(pause_ms: u64) -> Self {
        Self {
            pause_ms,
            dropped: 0,
            requests: HashMap::new(),
        }
    }

    /// Reads one entry; the order of entries does not matter.
    pub fn read(&mut self, entry: &LogEntry) {
        if entry.message == DROPPED {
            self.dropped += entry.number("count").unwrap_or_default();
        }
        let Some(id) = entry.text("request") else {
            return;
        };
        let request = self.requests.entry(id.to_owned()).or_default();
        if let Some(route) = entry.text("route") {
            route.clone_into(&mut request.route);
        }
        let end = RequestEnd::of(entry, self.pause_ms);
        request.end = end.or(request.end.take());
    }

    /// Returns the report on what was read.
    pub fn report(&self) -> LossReport {
        let mut of = BTreeMap::<&str, u64>::new();
        let mut lost = BTreeMap::<(&str, LossCause), Vec<RequestEnd>>::new();
        let mut in_time = 0;
        for request in self.requests.values() {
            *of.entry(&request.route).or_default() += 1;
            let end = request.end.clone().unwrap_or(RequestEnd {
                cause: Some(LossCause::Unfinished),
                ms: 0,
                vain_prefills: 0,
            });
            match end.cause.clone() {
                Some(cause) => lost.entry((&request.route, cause)).or_default().push(end),
                None => in_time += 1,
            }
        }
        let losses = lost.into_iter();
        let mut losses: Vec<_> = losses
            .map(|((route, cause), ends)| Loss::new(route, cause, of[route], &ends))
            .collect();
        losses.sort_by(|a, b| (&a.route, b.requests).cmp(&(&b.route, a.requests)));
        let ends = self.requests.values().filter_map(|seen| seen.end.as_ref());
        LossReport {
            requests: self.requests.len() as u64,
            in_time,
            vain_prefills: ends.map(|end| end.vain_prefills).sum(),
            dropped_lines: self.dropped,
            losses,
        }
    }
}

impl Loss {
    fn new(route: &str, cause: LossCause, of: u64, ends: &[RequestEnd]) -> Self {
        let mut times: Vec<_> = ends.iter().map(|end| end.ms).collect();
        times.sort_unstable();
        Self {
            route: route.to_owned(),
            cause,
            requests: ends.len() as u64,
            of,
            median_ms: times[times.len() / 2],
            longest_ms: times[times.len() - 1],
            vain_prefills: ends.iter().map(|end| end.vain_prefills).sum(),
        }
    }
}
