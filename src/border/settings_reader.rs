use {
    super::SettingsFault,
    serde_json::{Map, Value},
    std::{cell::RefCell, net::SocketAddr, ops::RangeInclusive, time::Duration},
};

/// Maximum number of characters of a value that a fault shows.
const MAX_SHOWN_CHARS: usize = 64;
/// Description of the allowed addresses.
const ADDRESS_FORMAT: &str = "an IP address with a port, such as 10.0.0.1:7100";

/// Faults that were found while the settings are read.
#[derive(Debug, Default)]
pub(super) struct Faults(RefCell<Vec<SettingsFault>>);

impl Faults {
    /// Records a fault at `path`; `found` and `allowed` describe the values.
    pub(super) fn add(&self, path: &str, found: &str, allowed: &str) {
        self.0.borrow_mut().push(SettingsFault {
            path: path.to_owned(),
            found: found.to_owned(),
            allowed: allowed.to_owned(),
        });
    }

    /// Returns whether a fault was recorded at `path`.
    pub(super) fn has(&self, path: &str) -> bool {
        self.0.borrow().iter().any(|fault| fault.path == path)
    }

    /// Returns the recorded faults.
    pub(super) fn into_inner(self) -> Vec<SettingsFault> {
        self.0.into_inner()
    }
}

/// Reader of one mapping of the settings.
///
/// Each key that is read is removed from the mapping, so that unknown keys remain at the end. A
/// faulty value is recorded and replaced by a default or an empty one.
#[derive(Debug)]
pub(super) struct SettingsReader<'a> {
    path: String,
    map: Map<String, Value>,
    known: Vec<&'static str>,
    faults: &'a Faults,
}

impl<'a> SettingsReader<'a> {
    /// Creates a reader of `value` at `path`; anything but a mapping, null or nothing is a fault.
    pub(super) fn new(path: String, value: Option<Value>, faults: &'a Faults) -> Self {
        let map = match value {
            Some(Value::Object(map)) => map,
            None | Some(Value::Null) => Map::new(),
            Some(other) => {
                let shown_path = if path.is_empty() { "the file" } else { &path };
                faults.add(shown_path, type_name(&other), "a mapping");
                Map::new()
            }
        };
        Self {
            path,
            map,
            known: Vec::new(),
            faults,
        }
    }

    /// Creates a reader of the mapping at `key`.
    pub(super) fn section(&mut self, key: &'static str) -> Self {
        let value = self.take(key);
        Self::new(self.path_of(key), value, self.faults)
    }

    /// Creates a reader of each item of the sequence at `key`.
    pub(super) fn sections(&mut self, key: &'static str) -> Vec<Self> {
        let path = self.path_of(key);
        match self.take(key) {
            None | Some(Value::Null) => Vec::new(),
            Some(Value::Array(items)) => items
                .into_iter()
                .enumerate()
                .map(|(i, item)| Self::new(format!("{path}[{i}]"), Some(item), self.faults))
                .collect(),
            Some(other) => {
                self.faults.add(&path, type_name(&other), "a sequence");
                Vec::new()
            }
        }
    }

    /// Reads a string that must be present and not empty.
    pub(super) fn text(&mut self, key: &'static str) -> String {
        self.required_text(key, shown_value)
    }

    /// Reads a string that must be present and not empty, and whose value never appears in a fault.
    pub(super) fn secret(&mut self, key: &'static str) -> String {
        self.required_text(key, |_| "a value that is not shown".to_owned())
    }

    /// Reads an address, `ip:port`, with a default.
    pub(super) fn address(&mut self, key: &'static str, default: SocketAddr) -> SocketAddr {
        self.optional_address(key).unwrap_or(default)
    }

    /// Reads an address, `ip:port`, that may be absent.
    pub(super) fn optional_address(&mut self, key: &'static str) -> Option<SocketAddr> {
        let value = self.take(key)?;
        let address = value.as_str().and_then(|text| text.parse().ok());
        self.check(key, &value, address, ADDRESS_FORMAT)
    }

    /// Reads a sequence of addresses, `ip:port`, that may be absent.
    pub(super) fn addresses(&mut self, key: &'static str) -> Vec<SocketAddr> {
        let path = self.path_of(key);
        let items = match self.take(key) {
            None | Some(Value::Null) => return Vec::new(),
            Some(Value::Array(items)) => items,
            Some(other) => {
                self.faults.add(&path, type_name(&other), "a sequence");
                return Vec::new();
            }
        };
        let parse = |(value, i): (Value, usize)| {
            let address = value.as_str().and_then(|text| text.parse().ok());
            self.check(&format!("{key}[{i}]"), &value, address, ADDRESS_FORMAT)
        };
        items.into_iter().zip(0..).filter_map(parse).collect()
    }

    /// Reads an address, `ip:port`, that must be present; returns an empty text for a fault.
    pub(super) fn required_address(&mut self, key: &'static str) -> String {
        if !self.map.contains_key(key) {
            self.faults
                .add(&self.path_of(key), "nothing", ADDRESS_FORMAT);
        }
        self.optional_address(key)
            .map_or_else(String::new, |address| address.to_string())
    }

    /// Reads a whole number within `range`, with a default.
    pub(super) fn number(
        &mut self,
        key: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> u64 {
        let Some(value) = self.take(key) else {
            return default;
        };
        let allowed = format!("a whole number from {} to {}", range.start(), range.end());
        let number = value.as_u64().filter(|number| range.contains(number));
        self.check(key, &value, number, &allowed).unwrap_or(default)
    }

    /// Reads a duration such as `250ms`, `2s`, `5m` or `24h`, from 1 ms to 366 days, with a
    /// default.
    pub(super) fn duration(&mut self, key: &'static str, default: Duration) -> Duration {
        let Some(value) = self.take(key) else {
            return default;
        };
        let duration = value.as_str().and_then(parse_duration);
        let allowed = "a duration from 1ms to 366 days, such as 250ms, 2s, 5m or 24h";
        self.check(key, &value, duration, allowed)
            .unwrap_or(default)
    }

    /// Reads one of the words in `choices` and returns its value, with a default.
    pub(super) fn choice<T>(&mut self, key: &'static str, default: T, choices: &[(&str, T)]) -> T
    where
        T: Copy,
    {
        let Some(value) = self.take(key) else {
            return default;
        };
        let found = value
            .as_str()
            .and_then(|text| choices.iter().find(|(word, _)| *word == text));
        let words = choices.iter().map(|(word, _)| *word).collect::<Vec<_>>();
        let choice = found.map(|(_, choice)| *choice);
        self.check(key, &value, choice, &words.join(", "))
            .unwrap_or(default)
    }

    /// Reads a string that may be absent but not empty.
    pub(super) fn optional_text(&mut self, key: &'static str) -> Option<String> {
        let value = self.take(key)?;
        let text = value.as_str().map(str::to_owned);
        self.check(
            key,
            &value,
            text.filter(|text| !text.is_empty()),
            "a non-empty string",
        )
    }

    /// Returns the path of `key` from the top level.
    pub(super) fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            return key.to_owned();
        }
        format!("{}.{key}", self.path)
    }

    /// Records a fault for every key that was not read.
    pub(super) fn report_unknown_keys(self) {
        let allowed = format!("one of {}", self.known.join(", "));
        for key in self.map.keys() {
            self.faults
                .add(&self.path_of(key), "an unknown key", &allowed);
        }
    }

    fn required_text<F>(&mut self, key: &'static str, shown_value: F) -> String
    where
        F: Fn(&Value) -> String,
    {
        let value = self.take(key);
        if let Some(text) = value.as_ref().and_then(Value::as_str)
            && !text.is_empty()
        {
            return text.to_owned();
        }
        let found = value.as_ref().map_or("nothing".to_owned(), shown_value);
        self.faults
            .add(&self.path_of(key), &found, "a non-empty string");
        String::new()
    }

    /// Removes the value of `key` and marks the key as known.
    fn take(&mut self, key: &'static str) -> Option<Value> {
        self.known.push(key);
        self.map.remove(key)
    }

    /// Returns `parsed`; records a fault for `value` if there is none.
    fn check<T>(&self, key: &str, value: &Value, parsed: Option<T>, allowed: &str) -> Option<T> {
        if parsed.is_none() {
            self.faults
                .add(&self.path_of(key), &shown_value(value), allowed);
        }
        parsed
    }
}

/// Returns the value itself, shortened; for a collection or null the name of its type.
fn shown_value(value: &Value) -> String {
    match value {
        Value::Null | Value::Array(_) | Value::Object(_) => type_name(value).to_owned(),
        scalar => scalar.to_string().chars().take(MAX_SHOWN_CHARS).collect(),
    }
}

/// Returns the name of the type of a value, for a value that could be or contain a secret.
fn type_name(value: &Value) -> &'static str {
    match value {
        Value::Null => "nothing",
        Value::Bool(_) => "true or false",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "a sequence",
        Value::Object(_) => "a mapping",
    }
}

/// Parses a duration; `None` if it is malformed, zero or longer than 366 days.
fn parse_duration(text: &str) -> Option<Duration> {
    const MAX_DURATION: Duration = Duration::from_hours(366 * 24);

    let unit_start = text.find(|c: char| !c.is_ascii_digit())?;
    let (count, unit) = text.split_at(unit_start);
    let count = count.parse::<u32>().ok()?;
    let unit = match unit {
        "ms" => Duration::from_millis(1),
        "s" => Duration::from_secs(1),
        "m" => Duration::from_mins(1),
        "h" => Duration::from_hours(1),
        _ => return None,
    };
    let duration = unit.checked_mul(count)?;
    (!duration.is_zero() && duration <= MAX_DURATION).then_some(duration)
}
