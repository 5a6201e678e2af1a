use {
    super::{Profile, TraceError, TraceHeader, TraceLine, TraceRequest},
    std::fmt::Display,
};

/// Version of the format.
const VERSION: u32 = 1;

/// Greatest number of daemons.
const MAX_DAEMONS: usize = 12;

/// Greatest number of prompt tokens.
const MAX_PROMPT: u32 = 60_000;

/// Greatest number of answer tokens.
const MAX_OUTPUT: u32 = 4_096;

/// A recorded load with its faults and stated outcomes.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// Header.
    pub header: TraceHeader,
    /// Requests and faults, in the order of the file.
    pub lines: Vec<TraceLine>,
}

impl Trace {
    /// Reads a trace and checks every line.
    pub fn read(text: &str) -> Result<Self, TraceError> {
        let mut header = None;
        let mut lines = Vec::new();
        for (line, text) in (1..).zip(text.lines()) {
            let parsed = serde_json::from_str(text);
            match parsed.map_err(|source| TraceError::Line { line, source })? {
                TraceLine::Header(found) if line == 1 => header = Some(checked(found)?),
                TraceLine::Header(_) => return Err(TraceError::SecondHeader(line)),
                other => {
                    let header = header.as_ref().ok_or(TraceError::NoHeader)?;
                    check(header, line, &other)?;
                    lines.push(other);
                }
            }
        }
        let header = header.ok_or(TraceError::NoHeader)?;
        Ok(Self { header, lines })
    }

    /// Writes the trace, a line for each request and fault.
    pub fn write(&self) -> Result<String, serde_json::Error> {
        let header = TraceLine::Header(self.header.clone());
        let mut text = String::new();
        for line in [&header].into_iter().chain(&self.lines) {
            text.push_str(&serde_json::to_string(line)?);
            text.push('\n');
        }
        Ok(text)
    }

    /// Requests with the number of their line.
    pub fn requests(&self) -> impl Iterator<Item = (usize, &TraceRequest)> {
        let numbered = (2..).zip(&self.lines);
        numbered.filter_map(|(number, line)| match line {
            TraceLine::Request(request) => Some((number, request)),
            _ => None,
        })
    }

    /// Arrival of the last request in milliseconds.
    pub fn length_ms(&self) -> u64 {
        let arrivals = self.requests().map(|(_, request)| request.at_ms);
        arrivals.max().unwrap_or_default()
    }
}

fn checked(header: TraceHeader) -> Result<TraceHeader, TraceError> {
    if header.version != VERSION {
        return Err(TraceError::Version(header.version));
    }
    let daemons = 1..=MAX_DAEMONS;
    if !daemons.contains(&header.daemons) {
        let allowed = format!("1 to {MAX_DAEMONS}");
        return fault(1, "daemons", header.daemons, allowed);
    }
    if !(0.05..=20.0).contains(&header.scale) {
        return fault(1, "scale", header.scale, "0.05 to 20");
    }
    Ok(header)
}

fn check(header: &TraceHeader, line: usize, found: &TraceLine) -> Result<(), TraceError> {
    let [prefills, decodes, services] = header.profile.sizes();
    let numbered = |number: usize, most: usize| {
        if (1..=most).contains(&number) {
            return Ok(());
        }
        fault(line, "number", number, format!("1 to {most}"))
    };
    match found {
        TraceLine::Header(_) | TraceLine::Platform(_) => Ok(()),
        TraceLine::Request(request) => check_request(header.profile, line, request),
        TraceLine::Engine(engine) => numbered(engine.number, prefills + decodes),
        TraceLine::Service(service) => numbered(service.number, services),
    }
}

fn check_request(profile: Profile, line: usize, request: &TraceRequest) -> Result<(), TraceError> {
    let branches = profile.branches();
    if !branches.contains(&request.branch.as_str()) {
        return fault(line, "branch", &request.branch, branches.join(", "));
    }
    let Some(kind) = profile.kinds().iter().find(|k| k.kind == request.kind) else {
        let kinds: Vec<_> = profile.kinds().iter().map(|k| k.kind).collect();
        return fault(line, "kind", &request.kind, kinds.join(", "));
    };
    let least = u32::from(kind.prompt.is_some());
    let tokens = |field, value: u32, least: u32, most: u32| {
        if (least..=most).contains(&value) {
            return Ok(());
        }
        fault(line, field, value, format!("{least} to {most}"))
    };
    tokens(
        "prompt_tokens",
        request.prompt_tokens,
        least,
        MAX_PROMPT * least,
    )?;
    tokens(
        "output_tokens",
        request.output_tokens,
        least,
        MAX_OUTPUT * least,
    )?;
    let most = request.prompt_tokens.saturating_sub(1);
    tokens("prefix_tokens", request.prefix_tokens, 0, most)?;
    if kind.once != request.key.is_some() {
        let allowed = if kind.once { "a key" } else { "none" };
        return fault(line, "key", format!("{:?}", request.key), allowed);
    }
    Ok(())
}

fn fault<T, V, A>(line: usize, field: &'static str, value: V, allowed: A) -> Result<T, TraceError>
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
