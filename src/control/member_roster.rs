use {
    super::{FeedFollower, News},
    crate::{
        board::{Host, HostState, Members, Tick, Writer},
        key::HostKey,
        port::{Change, Clock, Feed, ObjectStore, PlatformError},
    },
    bytes::Bytes,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Wait before a registration that failed is tried again.
const REGISTER_WAIT: Duration = Duration::from_secs(2);

/// Registrations that are tried.
const REGISTER_TRIES: u32 = 30;

/// A daemon as it registered itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberEntry {
    /// Unique name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address of the peer listener, `ip:port`.
    pub address: String,
    /// Start time in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Hundredths of a core that it may use; 0 if it does not say.
    #[serde(default)]
    pub strength: u32,
}

/// Writes the `members` section from a feed in which daemons register themselves.
///
/// A daemon that died stays listed; whoever calls it notices.
#[derive(Debug)]
pub struct MemberRoster<F, C> {
    follower: FeedFollower<F, C>,
    own: MemberEntry,
    writer: Writer<Members>,
}

impl<F, C> MemberRoster<F, C>
where
    F: Feed<Item = MemberEntry>,
    C: Clock,
{
    /// Creates the controller of the daemon `own`.
    pub fn new(follower: FeedFollower<F, C>, own: MemberEntry, writer: Writer<Members>) -> Self {
        Self {
            follower,
            own,
            writer,
        }
    }

    /// Runs until it is dropped.
    pub async fn run(mut self) {
        let own = self.own.clone();
        self.writer.update(|members| {
            members.own = put(members, own);
        });
        loop {
            match self.follower.next().await {
                News::All(changes) => {
                    self.retain(&changes);
                    self.apply(changes);
                }
                News::Some(changes) => self.apply(changes),
                News::Lost | News::Same => {}
            }
        }
    }

    /// Removes daemons that are listed no more.
    fn retain(&mut self, listed: &[Change<MemberEntry>]) {
        let own = self.own.name.clone();
        let is_listed = |name: &str| {
            let mut puts = listed.iter();
            name == own || puts.any(|change| matches!(change, Change::Put(put, _) if put == name))
        };
        self.writer.update(|members| {
            let names = members.hosts.iter().map(|(_, host)| host.name.clone());
            let gone: Vec<_> = names.filter(|name| !is_listed(name)).collect();
            for name in gone {
                members.hosts.remove(&name);
            }
        });
    }

    fn apply(&mut self, changes: Vec<Change<MemberEntry>>) {
        let revision = self.follower.revision();
        let own = self.own.name.clone();
        self.writer.update(|members| {
            for change in changes {
                match change {
                    Change::Put(_, entry) if entry.name == own => {}
                    Change::Put(name, entry) => {
                        log::info!(member = name.as_str(), revision; "daemon listed");
                        put(members, entry);
                    }
                    Change::Unreadable(name, why) => {
                        log::warn!(member = name.as_str(), revision; "not usable: {why}");
                        members.hosts.remove(&name);
                    }
                    Change::Removed(name) if name != own => {
                        log::info!(member = name.as_str(), revision; "daemon gone");
                        members.hosts.remove(&name);
                    }
                    Change::Removed(_) => {}
                }
            }
        });
    }
}

fn put(members: &mut Members, entry: MemberEntry) -> HostKey {
    let name = entry.name.clone();
    let host = Host {
        name: entry.name,
        zone: entry.zone,
        address: entry.address,
        incarnation: entry.incarnation,
        round: 0,
        strength: entry.strength,
        state: HostState::Alive,
        since: Tick::default(),
    };
    members.hosts.insert(&name, host)
}

/// Registers `own` at `store`, in place of an earlier incarnation.
pub async fn register<S, C>(store: S, clock: C, own: MemberEntry)
where
    S: ObjectStore,
    C: Clock,
{
    let body = match serde_json::to_vec(&own) {
        Ok(body) => Bytes::from(body),
        Err(e) => {
            log::error!("the registration cannot be written: {e}");
            return;
        }
    };
    for _ in 0..REGISTER_TRIES {
        match write(&store, &own.name, body.clone()).await {
            Ok(version) => {
                log::info!(version; "registered");
                return;
            }
            Err(e) => log::warn!("not registered yet: {e}"),
        }
        clock.sleep(REGISTER_WAIT).await;
    }
}

async fn write<S>(store: &S, name: &str, body: Bytes) -> Result<u64, PlatformError>
where
    S: ObjectStore,
{
    match store.create(name, body.clone()).await {
        Err(PlatformError::Conflict { .. }) => {}
        other => return other,
    }
    let before = store.read(name).await?;
    let version = before.map_or(0, |object| object.version);
    store.update(name, version, body).await
}
