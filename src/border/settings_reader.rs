use {
    super::SettingsFault,
    serde_json::{Map, Value},
    std::{cell::RefCell, net::SocketAddr, ops::RangeInclusive, time::Duration},
};

const SHOWN_CHARS: usize = 64;
const ADDRESS: &str = "an IP address with a port, such as 10.0.0.1:7100";

/// Faults gathered while the settings are read.
#[derive(Debug, Default)]
pub(super) struct Faults(RefCell<Vec<SettingsFault>>);

impl Faults {
    /// Records a fault.
    pub(super) fn add(&self, path: &str, found: &str, allowed: &str) {
        self.0.borrow_mut().push(SettingsFault {
            path: path.to_owned(),
            found: found.to_owned(),
            allowed: allowed.to_owned(),
        });
    }

    /// Whether a fault was recorded at `path`.
    pub(super) fn has(&self, path: &str) -> bool {
        self.0.borrow().iter().any(|fault| fault.path == path)
    }

    /// Returns the recorded faults.
    pub(super) fn into_inner(self) -> Vec<SettingsFault> {
        self.0.into_inner()
    }
}

/// Reader of one mapping; each key that is read is taken out, and what is left is unknown.
#[derive(Debug)]
pub(super) struct Reader<'a> {
    path: String,
    map: Map<String, Value>,
    known: Vec<&'static str>,
    faults: &'a Faults,
}

impl<'a> Reader<'a> {
    /// Starts at `value`, which must be a mapping or absent.
    pub(super) fn new(path: String, value: Option<Value>, faults: &'a Faults) -> Self {
        let map = match value {
            Some(Value::Object(map)) => map,
            None | Some(Value::Null) => Map::new(),
            Some(other) => {
                let place = if path.is_empty() { "the file" } else { &path };
                faults.add(place, sort(&other), "a mapping");
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

    /// Starts at the mapping below `key`.
    pub(super) fn section(&mut self, key: &'static str) -> Self {
        let value = self.take(key);
        Self::new(self.at(key), value, self.faults)
    }

    /// Starts a reader at each item of the sequence below `key`.
    pub(super) fn sections(&mut self, key: &'static str) -> Vec<Self> {
        let path = self.at(key);
        match self.take(key) {
            None | Some(Value::Null) => Vec::new(),
            Some(Value::Array(items)) => items
                .into_iter()
                .enumerate()
                .map(|(i, item)| Self::new(format!("{path}[{i}]"), Some(item), self.faults))
                .collect(),
            Some(other) => {
                self.faults.add(&path, sort(&other), "a sequence");
                Vec::new()
            }
        }
    }

    /// Reads a text that must be present and not empty.
    pub(super) fn text(&mut self, key: &'static str) -> String {
        self.text_of(key, show)
    }

    /// Reads a text whose value never appears in a fault.
    pub(super) fn secret(&mut self, key: &'static str) -> String {
        self.text_of(key, |_| "a value that is not shown".to_owned())
    }

    /// Reads an address with a default.
    pub(super) fn address(&mut self, key: &'static str, default: SocketAddr) -> SocketAddr {
        self.optional_address(key).unwrap_or(default)
    }

    /// Reads an address that may be absent.
    pub(super) fn optional_address(&mut self, key: &'static str) -> Option<SocketAddr> {
        let value = self.take(key)?;
        let address = value.as_str().and_then(|text| text.parse().ok());
        self.check(key, &value, address, ADDRESS)
    }

    /// Reads a sequence of addresses that may be absent.
    pub(super) fn addresses(&mut self, key: &'static str) -> Vec<SocketAddr> {
        let path = self.at(key);
        let items = match self.take(key) {
            None | Some(Value::Null) => return Vec::new(),
            Some(Value::Array(items)) => items,
            Some(other) => {
                self.faults.add(&path, sort(&other), "a sequence");
                return Vec::new();
            }
        };
        let read = |(value, i): (Value, usize)| {
            let address = value.as_str().and_then(|text| text.parse().ok());
            self.check(&format!("{key}[{i}]"), &value, address, ADDRESS)
        };
        items.into_iter().zip(0..).filter_map(read).collect()
    }

    /// Reads an address that must be present.
    pub(super) fn required_address(&mut self, key: &'static str) -> String {
        if !self.map.contains_key(key) {
            self.faults.add(&self.at(key), "nothing", ADDRESS);
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

    /// Reads a duration such as `250ms`, `2s`, `5m` or `24h` of at least a millisecond.
    pub(super) fn duration(&mut self, key: &'static str, default: Duration) -> Duration {
        let Some(value) = self.take(key) else {
            return default;
        };
        let duration = value.as_str().and_then(parse_duration);
        let allowed = "a duration from 1ms to 366 days, such as 250ms, 2s, 5m or 24h";
        self.check(key, &value, duration, allowed)
            .unwrap_or(default)
    }

    /// Reads one of the words in `choices`, with a default.
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

    /// Reads a text that may be absent.
    pub(super) fn optional_text(&mut self, key: &'static str) -> Option<String> {
        let value = self.take(key)?;
        let text = value.as_str().map(str::to_owned);
        self.check(key, &value, text.filter(|text| !text.is_empty()), "a text")
    }

    /// Path of `key`.
    pub(super) fn at(&self, key: &str) -> String {
        if self.path.is_empty() {
            return key.to_owned();
        }
        format!("{}.{key}", self.path)
    }

    /// Records every key that was not read.
    pub(super) fn finish(self) {
        let allowed = format!("one of {}", self.known.join(", "));
        for key in self.map.keys() {
            self.faults.add(&self.at(key), "an unknown key", &allowed);
        }
    }

    fn text_of<F>(&mut self, key: &'static str, show: F) -> String
    where
        F: Fn(&Value) -> String,
    {
        let value = self.take(key);
        if let Some(text) = value.as_ref().and_then(Value::as_str)
            && !text.is_empty()
        {
            return text.to_owned();
        }
        let found = value.as_ref().map_or("nothing".to_owned(), show);
        self.faults.add(&self.at(key), &found, "a text, not empty");
        String::new()
    }

    fn take(&mut self, key: &'static str) -> Option<Value> {
        self.known.push(key);
        self.map.remove(key)
    }

    fn check<T>(&self, key: &str, value: &Value, read: Option<T>, allowed: &str) -> Option<T> {
        if read.is_none() {
            self.faults.add(&self.at(key), &show(value), allowed);
        }
        read
    }
}

/// The value itself, shortened; for a collection its sort.
fn show(value: &Value) -> String {
    match value {
        Value::Null | Value::Array(_) | Value::Object(_) => sort(value).to_owned(),
        scalar => scalar.to_string().chars().take(SHOWN_CHARS).collect(),
    }
}

/// The sort of a value, where the value could be or hold a key.
fn sort(value: &Value) -> &'static str {
    match value {
        Value::Null => "nothing",
        Value::Bool(_) => "true or false",
        Value::Number(_) => "a number",
        Value::String(_) => "a text",
        Value::Array(_) => "a sequence",
        Value::Object(_) => "a mapping",
    }
}

fn parse_duration(text: &str) -> Option<Duration> {
    const LONGEST: Duration = Duration::from_hours(366 * 24);

    let digits = text.find(|c: char| !c.is_ascii_digit())?;
    let (count, unit) = text.split_at(digits);
    let count = count.parse::<u32>().ok()?;
    let unit = match unit {
        "ms" => Duration::from_millis(1),
        "s" => Duration::from_secs(1),
        "m" => Duration::from_mins(1),
        "h" => Duration::from_hours(1),
        _ => return None,
    };
    let duration = unit.checked_mul(count)?;
    (!duration.is_zero() && duration <= LONGEST).then_some(duration)
}
