use {
    jiff::Timestamp,
    serde::Deserialize,
    serde_json::{Map, Value},
    std::fmt::{Display, Formatter, Result as Formatted},
};

/// One line of a daemon's log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogEntry {
    /// Who wrote it: what stands before the line, or the name of its file.
    pub host: String,
    /// When, by that host's clock.
    pub time: Timestamp,
    /// What happened.
    pub message: String,
    /// What decided, and the outcome.
    pub fields: Map<String, Value>,
}

/// The line as it is written.
#[derive(Debug, Deserialize)]
struct Line {
    timestamp: Timestamp,
    message: String,
    #[serde(default)]
    kvs: Map<String, Value>,
}

impl LogEntry {
    /// Reads a line of the log of `host`; nothing if it is not one. Words before the line, as where
    /// the logs of many hosts are gathered, end with the host's name.
    pub fn read(host: &str, text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let (before, line) = text.split_at(start);
        let written: Line = serde_json::from_str(line.trim_end()).ok()?;
        Some(Self {
            host: before.split_whitespace().last().unwrap_or(host).to_owned(),
            time: written.timestamp,
            message: written.message,
            fields: written.kvs,
        })
    }

    /// A field's text; nothing if the line has none of that name.
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field).and_then(Value::as_str)
    }

    /// A field's number; nothing if the line has none of that name.
    pub fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field).and_then(Value::as_u64)
    }
}

impl Display for LogEntry {
    fn fmt(&self, f: &mut Formatter<'_>) -> Formatted {
        write!(f, "{} {} {}", self.time, self.host, self.message)?;
        for (name, value) in &self.fields {
            match value {
                Value::String(text) => write!(f, " {name}={text}")?,
                other => write!(f, " {name}={other}")?,
            }
        }
        Ok(())
    }
}
