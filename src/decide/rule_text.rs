use crate::board::{Borrow, Repeat, Route, Rule};

const MINUTES_PER_HOUR: u16 = 60;

/// Returns the cells of a rule, in the order of `COLUMNS`.
pub fn rule_text(rule: &Rule) -> [String; 12] {
    let borrow = rule.borrow.as_ref();
    [
        rule.branch.clone(),
        rule.kind.clone(),
        route_text(&rule.route),
        rule.priority.to_string(),
        rule.model.clone(),
        rule.version.clone(),
        rule.adapter.clone().unwrap_or_default(),
        repeat_text(rule.repeat).to_owned(),
        rule.target.first_token.as_millis().to_string(),
        per_token_text(rule),
        borrow.map_or_else(String::new, |borrow| route_text(&borrow.route)),
        borrow.map_or_else(String::new, hours_text),
    ]
}

/// Returns the text of the `repeat` column.
pub fn repeat_text(repeat: Repeat) -> &'static str {
    match repeat {
        Repeat::Idempotent => "idempotent",
        Repeat::AtMostOnce => "at-most-once",
    }
}

fn per_token_text(rule: &Rule) -> String {
    match rule.route {
        Route::Model { .. } => rule.target.per_token.as_millis().to_string(),
        Route::Service { .. } => String::new(),
    }
}

fn route_text(route: &Route) -> String {
    match route {
        Route::Model { prefill, decode } => format!("{prefill}/{decode}"),
        Route::Service { pool } => pool.clone(),
    }
}

/// Returns hours such as `17:00-21:30`.
fn hours_text(borrow: &Borrow) -> String {
    format!("{}-{}", minute_text(borrow.from), minute_text(borrow.until))
}

fn minute_text(minute: u16) -> String {
    format!(
        "{:02}:{:02}",
        minute / MINUTES_PER_HOUR,
        minute % MINUTES_PER_HOUR
    )
}
