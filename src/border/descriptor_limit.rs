use rustix::process::{Resource, getrlimit};

/// Descriptors that a process counts on if the system states no limit.
const UNLIMITED: u64 = 1 << 20;

/// Returns the number of descriptors that the system lets this process open.
pub fn descriptor_limit() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    limit.unwrap_or(UNLIMITED).min(UNLIMITED) as usize
}
