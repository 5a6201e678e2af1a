use thiserror::Error;

/// Reason why a trace cannot be replayed; each message names the line, counted from 1.
#[derive(Debug, Error)]
pub enum TraceError {
    /// The line is not valid JSON or does not fit the trace format.
    #[error("line {line}: {source}; see docs/TRACES.md for what a line may hold")]
    Line {
        /// Number of the line, from 1.
        line: usize,
        /// Error of the parser.
        source: serde_json::Error,
    },
    /// The first line is not a header, or the trace is empty.
    #[error("line 1: the first line must be a header, `{{\"header\":{{...}}}}`")]
    NoHeader,
    /// A later line is a header; holds its number.
    #[error("line {0}: a trace has one header, on line 1; remove this one")]
    SecondHeader(usize),
    /// The version of the trace format is not supported; holds the version.
    #[error("line 1: trace format version {0} is not supported; use version 1")]
    Version(u32),
    /// A value is not allowed.
    #[error("line {line}: `{field}` is {value}; allowed: {allowed}")]
    Value {
        /// Number of the line, from 1.
        line: usize,
        /// Name of the field.
        field: &'static str,
        /// Value that the line holds.
        value: String,
        /// Values that are allowed, as text for the message.
        allowed: String,
    },
}
