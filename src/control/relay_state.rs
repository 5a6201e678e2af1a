use {
    super::avoided_hosts::AvoidedHosts,
    crate::{
        board::Tick,
        key::{HostKey, StoreRevision},
        port::Clock,
    },
    arc_swap::{ArcSwap, ArcSwapOption},
    std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
};

/// State that the clones of a feed share.
#[derive(Debug)]
pub(super) struct RelayState<C> {
    /// Daemons that are not asked for a while.
    pub(super) avoided: AvoidedHosts<C>,
    /// Number of reads so far, by which the readers of the zone take turns.
    pub(super) turn: AtomicUsize,
    /// Daemon that said last that the changes since a revision are no longer stored. The next list is
    /// read from it, since an older one of another daemon would lead to the same reply again.
    pub(super) expired: ArcSwapOption<HostKey>,
    /// Whether changes have been read.
    pub(super) watched: AtomicBool,
    /// Whether another daemon replied to the last read, so that the next one may wait there.
    pub(super) replied: AtomicBool,
    /// Who returned the last result.
    pub(super) source: ArcSwap<Source>,
    /// Greatest revision returned with objects.
    pub(super) revision: ArcSwap<StoreRevision>,
    /// Tick of the last call to the store as one that is not a reader; 0 before the first.
    pub(super) called: AtomicU64,
    /// Tick since which no source has returned a result; 0 while the last one did.
    pub(super) searching: AtomicU64,
}

impl<C> RelayState<C>
where
    C: Clock,
{
    /// Creates the state of a feed that was not read yet.
    pub(super) fn new(clock: C) -> Self {
        Self {
            avoided: AvoidedHosts::new(clock),
            turn: AtomicUsize::new(0),
            expired: ArcSwapOption::empty(),
            watched: AtomicBool::new(false),
            replied: AtomicBool::new(false),
            source: ArcSwap::from_pointee(Source::Unknown),
            revision: ArcSwap::default(),
            called: AtomicU64::new(0),
            searching: AtomicU64::new(0),
        }
    }

    /// Returns since when no source has returned a result: `now` if the last one did.
    pub(super) fn search_started(&self, now: Tick) -> Tick {
        let searching =
            self.searching
                .compare_exchange(0, now.0, Ordering::AcqRel, Ordering::Acquire);
        Tick(searching.err().unwrap_or(now.0))
    }

    /// Records the revision of objects that were returned.
    pub(super) fn known(&self, revision: StoreRevision) {
        self.revision.rcu(|known| revision.max(**known));
    }
}

/// Who is asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Source {
    /// Nobody yet.
    Unknown,
    /// The store.
    Store,
    /// Other daemons.
    Daemons,
}
