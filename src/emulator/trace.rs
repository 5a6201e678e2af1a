use {
    super::{Profile, TraceError, TraceHeader, TraceLine, TraceRequest},
    std::fmt::Display,
};

/// Version of the trace format that this code reads and writes.
const VERSION: u32 = 1;

/// Maximum number of daemons.
const MAX_DAEMONS: usize = 12;

/// Maximum length of a prompt.
const MAX_PROMPT_TOKENS: u32 = 60_000;

/// Maximum length of a completion.
const MAX_OUTPUT_TOKENS: u32 = 4_096;

/// Load with its faults and expected outcomes, as stored in a trace file.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// First line of the file.
    pub header: TraceHeader,
    /// Requests and faults, in the order of the file.
    pub lines: Vec<TraceLine>,
}

impl Trace {
    /// Parses a trace and checks every line. Fails at the first invalid line, or if there is no
    /// header.
    pub fn read(text: &str) -> Result<Self, TraceError> {
        let mut header = None;
        let mut lines = Vec::new();
        for (line, text) in (1..).zip(text.lines()) {
            let parsed = serde_json::from_str(text);
            match parsed.map_err(|source| TraceError::Line { line, source })? {
                TraceLine::Header(found) if line == 1 => header = Some(check_header(found)?),
                TraceLine::Header(_) => return Err(TraceError::SecondHeader(line)),
                other => {
                    let header = header.as_ref().ok_or(TraceError::NoHeader)?;
                    check_line(header, line, &other)?;
                    lines.push(other);
                }
            }
        }
        let header = header.ok_or(TraceError::NoHeader)?;
        Ok(Self { header, lines })
    }

    /// Formats the trace as a JSON object per line: the header, then each request and fault.
    ///
    /// Fails if a line cannot be serialised.
    pub fn write(&self) -> Result<String, serde_json::Error> {
        let header = TraceLine::Header(self.header.clone());
        let mut text = String::new();
        for line in [&header].into_iter().chain(&self.lines) {
            text.push_str(&serde_json::to_string(line)?);
            text.push('\n');
        }
        Ok(text)
    }

    /// Requests with the number of their line, from 2.
    pub fn requests(&self) -> impl Iterator<Item = (usize, &TraceRequest)> {
        let numbered = (2..).zip(&self.lines);
        numbered.filter_map(|(number, line)| match line {
            TraceLine::Request(request) => Some((number, request)),
            _ => None,
        })
    }

    /// Arrival of the last request in milliseconds since the start; 0 if there are no requests.
    pub fn length_ms(&self) -> u64 {
        let arrivals = self.requests().map(|(_, request)| request.at_ms);
        arrivals.max().unwrap_or_default()
    }
}

/// Returns the header if its version and values are valid.
fn check_header(header: TraceHeader) -> Result<TraceHeader, TraceError> {
    if header.version != VERSION {
        return Err(TraceError::Version(header.version));
    }
    let daemons = 1..=MAX_DAEMONS;
    if !daemons.contains(&header.daemons) {
        let allowed = format!("1 to {MAX_DAEMONS}");
        return invalid_value(1, "daemons", header.daemons, allowed);
    }
    if !(0.05..=20.0).contains(&header.scale) {
        return invalid_value(1, "scale", header.scale, "0.05 to 20");
    }
    Ok(header)
}

/// Checks the values of a line other than the header.
fn check_line(header: &TraceHeader, line: usize, found: &TraceLine) -> Result<(), TraceError> {
    let [prefills, decodes, services] = header.profile.sizes();
    let check_number = |number: usize, max: usize| {
        if (1..=max).contains(&number) {
            return Ok(());
        }
        invalid_value(line, "number", number, format!("1 to {max}"))
    };
    match found {
        TraceLine::Header(_) | TraceLine::Platform(_) => Ok(()),
        TraceLine::Request(request) => check_request(header.profile, line, request),
        TraceLine::Engine(engine) => check_number(engine.number, prefills + decodes),
        TraceLine::Service(service) => check_number(service.number, services),
    }
}

/// Checks that a request's branch and kind exist and that its tokens and key fit the kind.
fn check_request(profile: Profile, line: usize, request: &TraceRequest) -> Result<(), TraceError> {
    let branches = profile.branches();
    if !branches.contains(&request.branch.as_str()) {
        return invalid_value(line, "branch", &request.branch, branches.join(", "));
    }
    let Some(kind) = profile
        .kinds()
        .iter()
        .find(|kind| kind.kind == request.kind)
    else {
        let kinds: Vec<_> = profile.kinds().iter().map(|kind| kind.kind).collect();
        return invalid_value(line, "kind", &request.kind, kinds.join(", "));
    };
    let min = u32::from(kind.prompt_tokens.is_some());
    let tokens = |field, value: u32, min: u32, max: u32| {
        if (min..=max).contains(&value) {
            return Ok(());
        }
        invalid_value(line, field, value, format!("{min} to {max}"))
    };
    tokens(
        "prompt_tokens",
        request.prompt_tokens,
        min,
        MAX_PROMPT_TOKENS * min,
    )?;
    tokens(
        "output_tokens",
        request.output_tokens,
        min,
        MAX_OUTPUT_TOKENS * min,
    )?;
    let max = request.prompt_tokens.saturating_sub(1);
    tokens("prefix_tokens", request.prefix_tokens, 0, max)?;
    if kind.at_most_once != request.key.is_some() {
        let allowed = if kind.at_most_once { "a key" } else { "none" };
        return invalid_value(line, "key", format!("{:?}", request.key), allowed);
    }
    Ok(())
}

/// Fails with `TraceError::Value`.
fn invalid_value<T, V, A>(
    line: usize,
    field: &'static str,
    value: V,
    allowed: A,
) -> Result<T, TraceError>
where
    V: Display,
    A: Into<String>,
{
    Err(TraceError::Value {
        line,
        field,
        value: value.to_string(),
        allowed: allowed.into(),
    })
}
