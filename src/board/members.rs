use {
    super::{Arena, Host},
    crate::key::HostKey,
};

/// Hosts known to this daemon, itself included.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// Hosts by name.
    pub hosts: Arena<HostKey, Host>,
    /// Key of this daemon's own host.
    pub own: HostKey,
}
