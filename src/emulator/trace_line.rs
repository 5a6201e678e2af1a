use {
    super::{LoadAsk, LoadItem, Outcomes, Profile},
    crate::fake::{EngineControl, PlatformControl, ServiceControl},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// One line of a trace, see docs/TRACES.md.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TraceLine {
    /// First line.
    Header(TraceHeader),
    /// A request.
    Request(TraceRequest),
    /// A fault of a model engine.
    Engine(TraceFault<EngineControl>),
    /// A fault of a plain service.
    Service(TraceFault<ServiceControl>),
    /// A fault of the platform; its number is left out.
    Platform(TraceFault<PlatformControl>),
}

/// What a trace is played against, and what must come of it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TraceHeader {
    /// Version of the format.
    pub version: u32,
    /// Name in reports.
    pub name: String,
    /// Whose sheet and endpoints.
    pub profile: Profile,
    /// Daemons.
    pub daemons: usize,
    /// Factor on all times of the stand-ins, the trace and the targets.
    pub scale: f64,
    /// Seed of the stand-ins.
    pub seed: u64,
    /// Stated outcomes.
    pub outcomes: Outcomes,
}

/// One request of a trace.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TraceRequest {
    /// Arrival in milliseconds from the start.
    pub at_ms: u64,
    /// Branch.
    pub branch: String,
    /// Request kind.
    pub kind: String,
    /// Identity of the prefix that the prompt shares with others; empty if it shares none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub prefix: String,
    /// Tokens of that prefix.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub prefix_tokens: u32,
    /// Tokens of the whole prompt; 0 for a plain service.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub prompt_tokens: u32,
    /// Tokens of the answer; 0 for a plain service.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub output_tokens: u32,
    /// Idempotency key of an at-most-once request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// When the caller goes away, in milliseconds after the arrival.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leave_ms: Option<u64>,
}

/// A change of one stand-in's faults.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TraceFault<C> {
    /// Time in milliseconds from the start.
    pub at_ms: u64,
    /// Number of the endpoint in its list, from 1; prefill engines come before decode engines.
    #[serde(default, skip_serializing_if = "is_unnumbered")]
    pub number: usize,
    /// Body of the stand-in's control call.
    pub control: C,
}

impl TraceRequest {
    /// The request as it is sent; `line` makes the rest of its prompt unlike any other.
    pub fn item(&self, line: usize, scale: f64) -> LoadItem {
        let time = |ms| Duration::from_millis(ms).mul_f64(scale);
        LoadItem {
            at: time(self.at_ms),
            branch: self.branch.clone(),
            kind: self.kind.clone(),
            ask: self.ask(line),
            leave: self.leave_ms.map(time),
        }
    }

    /// Whether a model answers the request.
    pub fn is_model(&self) -> bool {
        self.prompt_tokens > 0
    }

    fn ask(&self, line: usize) -> LoadAsk {
        if self.is_model() {
            return LoadAsk::Completion {
                prompt: self.prompt(line),
                max_tokens: self.output_tokens,
            };
        }
        LoadAsk::Service {
            path: format!("/{}/{line}", self.kind),
            body: format!("{{\"line\":{line}}}"),
            key: self.key.clone(),
        }
    }

    fn prompt(&self, line: usize) -> String {
        let shared = (0..self.prefix_tokens).map(|index| format!("{}.{index}", self.prefix));
        let own = self.prefix_tokens + 1..self.prompt_tokens;
        let own = own.map(|index| format!("r{line}.{index}"));
        let length = format!("answer-tokens={}", self.output_tokens);
        let words: Vec<_> = shared.chain(own).chain([length]).collect();
        words.join(" ")
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes fields by reference"
)]
fn is_zero(value: &u32) -> bool {
    *value == 0
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes fields by reference"
)]
fn is_unnumbered(value: &usize) -> bool {
    *value == 0
}
