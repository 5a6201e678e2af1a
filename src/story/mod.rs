//! Selects the log entries that concern one request from the logs of all daemons.

pub use self::{log_entry::LogEntry, related_entries::related_entries};

mod log_entry;
mod related_entries;
