use {
    super::{FeedFollower, FeedUpdate},
    crate::{
        board::{Host, HostState, Members, Tick, Writer},
        key::HostKey,
        port::{Change, Clock, Feed, MemberEntry, ObjectStore, PlatformError},
    },
    bytes::Bytes,
    std::time::Duration,
};

/// Delay before a failed registration is retried.
const REGISTER_DELAY: Duration = Duration::from_secs(2);

/// Number of attempts to register before giving up.
const REGISTER_ATTEMPTS: u32 = 30;

/// Writes the `members` section from a feed in which daemons register themselves.
///
/// An entry does not expire, so a dead daemon stays listed; calls to it fail.
#[derive(Debug)]
pub struct MemberRosterController<F, C>
where
    F: Feed,
{
    follower: FeedFollower<F, C>,
    own: MemberEntry,
    writer: Writer<Members>,
}

impl<F, C> MemberRosterController<F, C>
where
    F: Feed<Item = MemberEntry>,
    C: Clock,
{
    /// Creates the controller; `own` is the entry of this daemon, which stays listed in any case.
    pub fn new(follower: FeedFollower<F, C>, own: MemberEntry, writer: Writer<Members>) -> Self {
        Self {
            follower,
            own,
            writer,
        }
    }

    /// Runs until the task is dropped.
    pub async fn run(mut self) {
        let own = self.own.clone();
        self.writer.update(|members| {
            members.own = put(members, own);
        });
        loop {
            match self.follower.next().await {
                FeedUpdate::Listing(changes) => {
                    self.retain(&changes);
                    self.apply(changes);
                }
                FeedUpdate::Changes(changes) => self.apply(changes),
                FeedUpdate::Unavailable | FeedUpdate::Unchanged => {}
            }
        }
    }

    /// Removes daemons that are no longer listed.
    fn retain(&mut self, listed: &[Change<MemberEntry>]) {
        let own = self.own.name.clone();
        let is_listed = |name: &str| {
            let mut puts = listed.iter();
            name == own || puts.any(|change| matches!(change, Change::Put(put, _) if put == name))
        };
        self.writer.update(|members| {
            let names = members.hosts.iter().map(|(_, host)| host.name.clone());
            let removed: Vec<_> = names.filter(|name| !is_listed(name)).collect();
            for name in removed {
                members.hosts.remove(&name);
            }
        });
    }

    /// Applies changes and logs their number: a line for each of hundreds of daemons would crowd out
    /// the decisions on requests.
    fn apply(&mut self, changes: Vec<Change<MemberEntry>>) {
        let revision = self.follower.revision().number;
        let own = self.own.name.clone();
        let (mut listed, mut removed) = (0, 0);
        let members = self.writer.update(|members| {
            for change in changes {
                match change {
                    Change::Put(_, entry) if entry.name == own => {}
                    Change::Put(_, entry) => {
                        listed += 1;
                        put(members, entry);
                    }
                    Change::Unreadable(name, reason) => {
                        log::warn!(member = name.as_str(), revision; "daemon removed, its entry is not usable: {reason}");
                        members.hosts.remove(&name);
                    }
                    Change::Removed(name) if name != own => {
                        removed += 1;
                        members.hosts.remove(&name);
                    }
                    Change::Removed(_) => {}
                }
            }
            members.hosts.len()
        });
        log::info!(listed, removed, members, revision; "list of daemons updated");
    }
}

/// Adds or replaces the host of `entry`, as alive, and returns its key.
fn put(members: &mut Members, entry: MemberEntry) -> HostKey {
    let name = entry.name.clone();
    let host = Host {
        name: entry.name,
        zone: entry.zone,
        address: entry.address,
        incarnation: entry.incarnation,
        refutations: 0,
        cpu_hundredths: entry.strength,
        state: HostState::Alive,
        changed_at: Tick::default(),
    };
    members.hosts.insert(&name, host)
}

/// Writes the entry `own` to `store`, replacing that of an earlier incarnation.
///
/// Tries up to 30 times, 2 s apart, and logs each failure; after the last one the daemon stays
/// unregistered.
pub async fn register<S, C>(store: S, clock: C, own: MemberEntry)
where
    S: ObjectStore,
    C: Clock,
{
    let body = match serde_json::to_vec(&own) {
        Ok(body) => Bytes::from(body),
        Err(e) => {
            log::error!(
                "daemon not registered, other daemons do not list it: its entry cannot be encoded: {e}"
            );
            return;
        }
    };
    for _ in 0..REGISTER_ATTEMPTS {
        match write(&store, &own.name, body.clone()).await {
            Ok(version) => {
                log::info!(version; "registered");
                return;
            }
            Err(e) => log::warn!(
                "attempt to register this daemon failed, {REGISTER_ATTEMPTS} are made in all: {e}"
            ),
        }
        clock.sleep(REGISTER_DELAY).await;
    }
}

/// Creates the object `name` or replaces it, and returns its new version.
async fn write<S>(store: &S, name: &str, body: Bytes) -> Result<u64, PlatformError>
where
    S: ObjectStore,
{
    let version = match store.create(name, body.clone()).await {
        Err(PlatformError::Conflict { current, .. }) if current > 0 => current,
        Err(PlatformError::Conflict { .. }) => {
            let before = store.read(name).await?;
            before.map_or(0, |object| object.version)
        }
        other => return other,
    };
    store.update(name, version, body).await
}
