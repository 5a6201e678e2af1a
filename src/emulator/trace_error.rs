use thiserror::Error;

/// Why a trace cannot be played; each names the line, from 1.
#[derive(Debug, Error)]
pub enum TraceError {
    /// The line is not in the format.
    #[error("line {line}: {source}; see docs/TRACES.md for what a line may hold")]
    Line {
        /// Line.
        line: usize,
        /// Cause.
        source: serde_json::Error,
    },
    /// The first line is no header.
    #[error("line 1: the first line must be a header, `{{\"header\":{{...}}}}`")]
    NoHeader,
    /// A second header.
    #[error("line {0}: a trace has one header, on line 1; remove this one")]
    SecondHeader(usize),
    /// The version is another one.
    #[error("line 1: version {0} is not known; version 1 is")]
    Version(u32),
    /// A value is out of its range.
    #[error("line {line}: `{field}` is {value}; allowed: {allowed}")]
    Value {
        /// Line.
        line: usize,
        /// Field.
        field: &'static str,
        /// What it holds.
        value: String,
        /// What it may hold.
        allowed: String,
    },
}
