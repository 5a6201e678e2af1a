use {
    super::{LoadItem, LoadPayload, Outcomes, Profile},
    crate::fake::{EngineControl, PlatformControl, ServiceControl},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// One line of a trace; docs/TRACES.md describes the format.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TraceLine {
    /// Header, on the first line only.
    Header(TraceHeader),
    /// A request to send.
    Request(TraceRequest),
    /// Changes the faults of an engine.
    Engine(TraceFault<EngineControl>),
    /// Changes the faults of a service.
    Service(TraceFault<ServiceControl>),
    /// Changes the faults of the platform; its `number` is left out.
    Platform(TraceFault<PlatformControl>),
}

/// Site that a trace is replayed against, and its expected outcomes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TraceHeader {
    /// Version of the trace format.
    pub version: u32,
    /// Name of the trace in reports.
    pub name: String,
    /// Profile that gives the sheet and the endpoints.
    pub profile: Profile,
    /// Number of daemons.
    pub daemons: usize,
    /// Factor on all times of the fakes, of the trace and of the latency targets.
    pub scale: f64,
    /// Seed of the fakes.
    pub seed: u64,
    /// Expected outcomes.
    pub outcomes: Outcomes,
}

/// One request of a trace.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TraceRequest {
    /// Arrival in milliseconds since the start of the trace.
    pub at_ms: u64,
    /// Branch whose key authenticates the request.
    pub branch: String,
    /// Request kind, as named in the sheet.
    pub kind: String,
    /// Identity of the prefix that the prompt shares with other prompts; empty if it shares none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub prefix: String,
    /// Length of the shared prefix in tokens.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub prefix_tokens: u32,
    /// Length of the prompt in tokens, including the shared prefix; 0 for a service.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub prompt_tokens: u32,
    /// Length of the completion in tokens; 0 for a service.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub output_tokens: u32,
    /// Idempotency key of an at-most-once request; none for other requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Time after the arrival at which the caller disconnects, in milliseconds; none for a caller
    /// that waits for the response.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leave_ms: Option<u64>,
}

/// Change of the faults of one fake.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TraceFault<C> {
    /// Time in milliseconds since the start of the trace.
    pub at_ms: u64,
    /// Number of the engine or service, from 1; prefill engines come before decode engines.
    #[serde(default, skip_serializing_if = "is_unnumbered")]
    pub number: usize,
    /// Body of the control call to the fake.
    pub control: C,
}

impl TraceRequest {
    /// Creates the request to send, with all times multiplied by `scale`; the part of the prompt
    /// after the shared prefix is made unique by the line number `line`.
    pub fn item(&self, line: usize, scale: f64) -> LoadItem {
        let time = |ms| Duration::from_millis(ms).mul_f64(scale);
        LoadItem {
            at: time(self.at_ms),
            branch: self.branch.clone(),
            kind: self.kind.clone(),
            payload: self.payload(line),
            disconnect_after: self.leave_ms.map(time),
        }
    }

    /// Whether the request is a completion of a model rather than a call to a service.
    pub fn is_model(&self) -> bool {
        self.prompt_tokens > 0
    }

    fn payload(&self, line: usize) -> LoadPayload {
        if self.is_model() {
            return LoadPayload::Completion {
                prompt: self.prompt(line),
                max_tokens: self.output_tokens,
            };
        }
        LoadPayload::Service {
            path: format!("/{}/{line}", self.kind),
            body: format!("{{\"line\":{line}}}"),
            key: self.key.clone(),
        }
    }

    /// Prompt of `prompt_tokens` words; the last one sets the length of the completion.
    fn prompt(&self, line: usize) -> String {
        let shared = (0..self.prefix_tokens).map(|index| format!("{}.{index}", self.prefix));
        let unique = self.prefix_tokens + 1..self.prompt_tokens;
        let unique = unique.map(|index| format!("r{line}.{index}"));
        let length = format!("answer-tokens={}", self.output_tokens);
        let words: Vec<_> = shared.chain(unique).chain([length]).collect();
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
