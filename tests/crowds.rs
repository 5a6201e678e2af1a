//! Crowds of callers that exhaust memory or descriptors, against processes.
//!
//! A test binary of its own, whose tests run one at a time: other load would change the memory that is
//! measured.

mod crowd;
mod crowd_platform;
mod crowd_serve;
#[allow(dead_code, reason = "shared with the integration tests")]
mod process;
#[allow(dead_code, reason = "shared with the integration tests")]
mod process_site;
