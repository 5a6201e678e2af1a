use {
    crate::{board::Tick, key::HostKey, port::Clock},
    arc_swap::ArcSwap,
    std::{collections::HashMap, time::Duration},
};

/// Hosts that are not called for a while, because a call to them failed.
#[derive(Debug)]
pub(super) struct AvoidedHosts<C> {
    clock: C,
    /// End of the time for which each host is avoided.
    until: ArcSwap<HashMap<HostKey, Tick>>,
}

impl<C> AvoidedHosts<C>
where
    C: Clock,
{
    /// Creates a set without hosts.
    pub(super) fn new(clock: C) -> Self {
        Self {
            clock,
            until: ArcSwap::default(),
        }
    }

    /// Avoids `host` for `time` from now on.
    pub(super) fn avoid(&self, host: HostKey, time: Duration) {
        let now = self.clock.now();
        self.until.rcu(|old| {
            let mut next = HashMap::clone(old);
            next.retain(|_, until| *until > now);
            next.insert(host, now + time);
            next
        });
    }

    /// Returns whether `host` is avoided now.
    pub(super) fn contains(&self, host: HostKey) -> bool {
        let until = self.until.load();
        until
            .get(&host)
            .is_some_and(|until| *until > self.clock.now())
    }
}
