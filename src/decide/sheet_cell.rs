use {
    super::{SheetFault, SheetRow},
    crate::board::Route,
    std::ops::RangeInclusive,
};

/// Marks allowed in names beside letters and digits.
pub(super) const NAME_MARKS: &str = "._-";
/// Marks allowed in names of models, versions and adapters.
pub(super) const MODEL_MARKS: &str = "._-/:";

const NAME_BYTES_MAX: usize = 64;
const SHOWN_CHARS: usize = 64;
const HOURS_PER_DAY: u16 = 24;
const MINUTES_PER_HOUR: u16 = 60;

/// Cells of one row, with the faults found in them.
#[derive(Debug)]
pub(super) struct Cells<'a> {
    row: &'a SheetRow,
    faults: &'a mut Vec<SheetFault>,
}

impl<'a> Cells<'a> {
    /// Starts at `row`; faults are added to `faults`.
    pub(super) fn new(row: &'a SheetRow, faults: &'a mut Vec<SheetFault>) -> Self {
        Self { row, faults }
    }

    /// Returns the text in `column`.
    pub(super) fn get(&self, column: &str) -> &'a str {
        self.row.get(column)
    }

    /// Records a fault of `column`.
    pub(super) fn fault(&mut self, column: &str, remedy: &str) {
        let value = self.get(column).chars().take(SHOWN_CHARS);
        let fault = SheetFault::new(self.row.line, column, value.collect::<String>(), remedy);
        self.faults.push(fault);
    }

    /// Reads a name of letters, digits and `marks`.
    pub(super) fn name(&mut self, column: &str, marks: &str) -> String {
        let text = self.get(column);
        if !is_name(text, marks) {
            let remedy = format!(
                "use 1 to {NAME_BYTES_MAX} of the letters a to z, digits and the marks {marks}"
            );
            self.fault(column, &remedy);
        }
        text.to_owned()
    }

    /// Reads a whole number within `range`.
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

    /// Checks that `column` holds nothing.
    pub(super) fn empty(&mut self, column: &str, remedy: &str) {
        if !self.get(column).is_empty() {
            self.fault(column, remedy);
        }
    }

    /// Reads `PREFILL/DECODE` or the name of one pool.
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

    /// Reads hours such as `17:00-21:30` as minutes of the day.
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

fn is_name(text: &str, marks: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || marks.contains(c);
    (1..=NAME_BYTES_MAX).contains(&text.len()) && text.chars().all(allowed)
}

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
