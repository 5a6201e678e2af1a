use crate::board::{Borrow, Route, Rule};

const MINUTE_MS: u64 = 60_000;
const DAY_MINUTES: u64 = 24 * 60;

/// Returns the minute of the day in UTC of a wall-clock time in milliseconds since the Unix epoch.
pub fn minute_of_day(unix_ms: u64) -> u16 {
    (unix_ms / MINUTE_MS % DAY_MINUTES) as u16
}

/// Returns the routes that `rule` allows at `minute` of the day: its own first, then the borrowed
/// one if `minute` is within its hours.
pub fn routes(rule: &Rule, minute: u16) -> impl Iterator<Item = &Route> {
    let borrowed = rule
        .borrow
        .iter()
        .filter(move |borrow| is_open(borrow, minute))
        .map(|borrow| &borrow.route);
    [&rule.route].into_iter().chain(borrowed)
}

/// Whether the borrowed route may be used at `minute` of the day; its hours may span midnight.
pub fn is_open(borrow: &Borrow, minute: u16) -> bool {
    let Borrow { from, until, .. } = *borrow;
    if from <= until {
        (from..until).contains(&minute)
    } else {
        minute >= from || minute < until
    }
}
