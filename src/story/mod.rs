//! One request's story from the logs of all daemons.

pub use self::{log_entry::LogEntry, story_of::story_of};

mod log_entry;
mod story_of;
