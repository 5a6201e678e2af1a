//! Crowds of callers that exhaust memory or descriptors, against processes.
//!
//! A test binary of its own, whose tests run one at a time: other load would change the memory that is
//! measured.

mod crowd;
mod crowd_daemon;
mod crowd_platform;
mod crowd_serve;
mod http2_senders;
#[allow(dead_code, reason = "shared with the integration tests")]
mod process;
#[allow(dead_code, reason = "shared with the integration tests")]
mod process_site;
mod slow_senders;
mod small_host;
mod small_host_platform;
mod small_host_serve;
