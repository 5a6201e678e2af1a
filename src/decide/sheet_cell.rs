use {
    super::{SheetFault, SheetRow},
    crate::board::Route,
    std::ops::RangeInclusive,
};

/// Characters allowed in names besides letters and digits.
pub(super) const NAME_MARKS: &str = "._-";
/// Characters allowed in names of models, versions and adapters besides letters and digits.
pub(super) const MODEL_MARKS: &str = "._-/:";

const MAX_NAME_BYTES: usize = 64;
/// Length to which the value of a cell is cut in a fault.
const MAX_SHOWN_CHARS: usize = 64;
const HOURS_PER_DAY: u16 = 24;
const MINUTES_PER_HOUR: u16 = 60;

/// Parser for the cells of one row that collects the faults found in them.
#[derive(Debug)]
pub(super) struct Cells<'a> {
    row: &'a SheetRow,
    faults: &'a mut Vec<SheetFault>,
}

impl<'a> Cells<'a> {
    /// Creates a parser for `row` that adds faults to `faults`.
    pub(super) fn new(row: &'a SheetRow, faults: &'a mut Vec<SheetFault>) -> Self {
        Self { row, faults }
    }

    /// Returns the text in `column`, empty if there is no such column.
    pub(super) fn get(&self, column: &str) -> &'a str {
        self.row.get(column)
    }

    /// Adds a fault of `column` with its value and the remedy.
    pub(super) fn fault(&mut self, column: &str, remedy: &str) {
        let value = self.get(column).chars().take(MAX_SHOWN_CHARS);
        let fault = SheetFault::new(self.row.line, column, value.collect::<String>(), remedy);
        self.faults.push(fault);
    }

    /// Parses a name of letters, digits and `marks`; adds a fault if it is not one.
    pub(super) fn name(&mut self, column: &str, marks: &str) -> String {
        let text = self.get(column);
        if !is_name(text, marks) {
            let remedy = format!(
                "use 1 to {MAX_NAME_BYTES} of the letters a to z, digits and the marks {marks}"
            );
            self.fault(column, &remedy);
        }
        text.to_owned()
    }

    /// Parses a whole number within `range`; if it is not one, adds a fault and returns the start of
    /// the range.
    pub(super) fn number(&mut self, column: &str, range: RangeInclusive<u64>) -> u64 {
        let number = self.get(column).parse().ok();
        let number = number.filter(|number| range.contains(number));
        if number.is_none() {
            let remedy = format!(
                "use a whole number from {} to {}",
                range.start(),
                range.end()
            );
            self.fault(column, &remedy);
        }
        number.unwrap_or(*range.start())
    }

    /// Adds a fault if `column` is not empty.
    pub(super) fn empty(&mut self, column: &str, remedy: &str) {
        if !self.get(column).is_empty() {
            self.fault(column, remedy);
        }
    }

    /// Parses the pools of a model, `PREFILL/DECODE`, or the one pool of a service; if the text is
    /// neither, adds a fault and returns `None`.
    pub(super) fn route(&mut self, column: &str) -> Option<Route> {
        let text = self.get(column);
        let (prefill, decode) = text.split_once('/').unwrap_or((text, text));
        if !is_name(prefill, NAME_MARKS) || !is_name(decode, NAME_MARKS) {
            self.fault(
                column,
                "give PREFILL/DECODE for a model, or one pool for a service",
            );
            return None;
        }
        if !text.contains('/') {
            let pool = text.to_owned();
            return Some(Route::Service { pool });
        }
        Some(Route::Model {
            prefill: prefill.to_owned(),
            decode: decode.to_owned(),
        })
    }

    /// Parses hours such as `17:00-21:30` into minutes of the day, start and end.
    ///
    /// Returns `None` if the text is not such hours, and then adds a fault unless the cell is empty.
    pub(super) fn hours(&mut self, column: &str) -> Option<(u16, u16)> {
        let hours = self.get(column).split_once('-').and_then(|(from, until)| {
            let from = minute(from.trim())?;
            let until = minute(until.trim())?;
            let last = HOURS_PER_DAY * MINUTES_PER_HOUR;
            (from != until && from < last).then_some((from, until))
        });
        if hours.is_none() && !self.get(column).is_empty() {
            self.fault(column, "give two different times, UTC, such as 17:00-21:30");
        }
        hours
    }
}

/// Whether `text` has 1 to `MAX_NAME_BYTES` bytes of ASCII letters, digits and `marks`.
fn is_name(text: &str, marks: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || marks.contains(c);
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.chars().all(allowed)
}

/// Parses a time from `00:00` to `24:00` into the minute of the day.
fn minute(text: &str) -> Option<u16> {
    let (hours, minutes) = text.split_once(':')?;
    let two_digits = |text: &str| text.len() == 2 && text.bytes().all(|b| b.is_ascii_digit());
    if !two_digits(hours) || !two_digits(minutes) {
        return None;
    }
    let hours = hours.parse::<u16>().ok()?;
    let minutes = minutes.parse::<u16>().ok()?;
    let minute = hours * MINUTES_PER_HOUR + minutes;
    (minutes < MINUTES_PER_HOUR && minute <= HOURS_PER_DAY * MINUTES_PER_HOUR).then_some(minute)
}
