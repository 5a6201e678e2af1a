use {
    jiff::Timestamp,
    serde::Deserialize,
    serde_json::{Map, Value},
    std::fmt::{Display, Formatter, Result as Formatted},
};

/// One entry of a daemon's log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogEntry {
    /// Host that wrote the entry: the last word before the JSON object, or else the name of the
    /// file.
    pub host: String,
    /// Time of the entry by that host's clock.
    pub time: Timestamp,
    /// Message, which says what happened.
    pub message: String,
    /// Keys and values of the entry, such as the causes of a decision and its outcome.
    pub fields: Map<String, Value>,
}

/// JSON object of a log line as the daemon writes it.
#[derive(Debug, Deserialize)]
struct Line {
    timestamp: Timestamp,
    message: String,
    #[serde(default)]
    kvs: Map<String, Value>,
}

impl LogEntry {
    /// Parses a line of the log of `host`; returns `None` if it holds no complete entry. Text
    /// before the JSON object, as log collectors of many hosts add it, must end with the host's
    /// name, which then replaces `host`.
    pub fn parse(host: &str, text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let (prefix, line) = text.split_at(start);
        let parsed: Line = serde_json::from_str(line.trim_end()).ok()?;
        Some(Self {
            host: prefix.split_whitespace().last().unwrap_or(host).to_owned(),
            time: parsed.timestamp,
            message: parsed.message,
            fields: parsed.kvs,
        })
    }

    /// Value of the key `field`; `None` if the entry has no such key or its value is not text.
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field).and_then(Value::as_str)
    }

    /// Value of the key `field`; `None` if the entry has no such key or its value is not an
    /// integer from 0 to `u64::MAX`.
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
