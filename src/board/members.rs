use {
    super::{Arena, Host},
    crate::key::HostKey,
};

/// Hosts that run daemons, as far as this daemon knows them; its own host is included.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// Hosts by name.
    pub hosts: Arena<HostKey, Host>,
    /// Whether the list of the store was read, so that the other daemons are known.
    pub is_listed: bool,
    /// Key of this daemon's own host.
    pub own: HostKey,
}
