//! What the logs of all daemons say: about one request, and about what all requests lost.

pub use self::{
    log_entry::LogEntry,
    loss_cause::LossCause,
    loss_report::{Loss, LossReader, LossReport},
    related_entries::related_entries,
    request_end::RequestEnd,
};

mod log_entry;
mod loss_cause;
mod loss_report;
mod related_entries;
mod request_end;
