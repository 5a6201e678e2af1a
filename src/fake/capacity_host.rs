use {
    super::{ControlPlane, FaultyPeer, NetworkPartition, PlaneParts, handle_call},
    crate::{
        board::{Fleet, HostList, HostState, Secret},
        border::{PeerClient, PeerListener, PeerTraffic, PlatformClient},
        control::{MemberHandle, SheetHandle},
        decide::MemberTiming,
        key::{EndpointKey, name_hash},
        port::{Clock, MemberUpdate, MonoClock, PeerCall, PeerHandler, PeerReply},
    },
    rand::{RngExt, rngs::StdRng},
    std::{io, sync::Arc},
    tokio::{net::TcpListener, task::JoinHandle},
    tokio_util::sync::CancellationToken,
};

/// Key with which the daemons of a run authenticate to each other.
const PEER_KEY: &str = "capacity";

/// Client for peer calls, which can be partitioned from other daemons.
type CapacityPeer = FaultyPeer<PeerClient>;

/// Handles peer calls to one daemon; while the daemon is paused, they wait.
#[derive(Clone, Debug)]
struct Handler {
    members: MemberHandle<CapacityPeer>,
    sheets: SheetHandle,
    pause: super::Pause,
}

impl PeerHandler for Handler {
    async fn handle(&self, call: PeerCall) -> PeerReply {
        self.pause.resumed().await;
        handle_call(&self.members, &self.sheets, call).await
    }
}

/// State and settings that all daemons of a run share.
#[derive(Clone, Debug)]
pub(super) struct HostShared {
    pub(super) clock: MonoClock,
    pub(super) partition: NetworkPartition,
    pub(super) fleet: Fleet,
    pub(super) hosts: HostList,
    pub(super) platform: PlatformClient,
    pub(super) timing: MemberTiming,
    pub(super) traffic: PeerTraffic,
}

/// The control plane of one daemon behind a real listener on loopback.
#[derive(Debug)]
pub(super) struct CapacityHost {
    pub(super) name: String,
    pub(super) incarnation: u64,
    pub(super) plane: ControlPlane<CapacityPeer>,
    /// Endpoints that the daemon owned at the last `record_owned`.
    owned: Vec<EndpointKey>,
    server: JoinHandle<()>,
}

impl Drop for CapacityHost {
    fn drop(&mut self) {
        self.server.abort();
    }
}

impl CapacityHost {
    /// Starts a daemon on `listener` with the name, address and incarnation of `own`.
    ///
    /// Fails if the HTTP client cannot be built.
    pub(super) fn start(
        shared: &HostShared,
        listener: TcpListener,
        own: MemberUpdate,
    ) -> io::Result<Self> {
        let key = Secret(String::from(PEER_KEY));
        let rng_seed = name_hash(&own.name) ^ own.incarnation;
        let client = PeerClient::new(&key, rng_seed, shared.traffic.clone());
        let peer = FaultyPeer {
            inner: client.map_err(io::Error::other)?,
            from: own.address.clone(),
            partition: shared.partition.clone(),
        };
        let parts = PlaneParts {
            peer,
            platform: shared.platform.clone(),
            own: own.clone(),
            seeds: Vec::new(),
            timing: shared.timing,
            rng_seed,
        };
        let mut plane = ControlPlane::start(parts, shared.clock);
        plane.fleet.publish(shared.copy_fleet());
        plane.hosts.publish(shared.hosts.clone());
        let handler = Handler {
            members: plane.members.clone(),
            sheets: plane.sheets.clone(),
            pause: plane.pause.clone(),
        };
        let listener = PeerListener::new(listener, key, handler).traffic(shared.traffic.clone());
        let server = tokio::spawn(listener.serve(CancellationToken::new()));
        Ok(Self {
            name: own.name,
            incarnation: own.incarnation,
            plane,
            owned: Vec::new(),
            server,
        })
    }

    /// Returns the endpoints that this daemon owns by its own view of the membership.
    pub(super) fn owned(&self) -> Vec<EndpointKey> {
        let own = self.plane.board.members.load().own;
        let owners = self.plane.board.owners.load();
        let owned = owners.by_endpoint.iter().filter(|(_, o)| o.owner == own);
        owned.map(|(key, _)| key).collect()
    }

    /// Whether the daemon sees exactly `count` hosts alive, each with a known incarnation.
    pub(super) fn sees_alive(&self, count: usize) -> bool {
        let members = self.plane.board.members.load();
        let alive = members
            .hosts
            .iter()
            .filter(|(_, host)| host.state == HostState::Alive && host.incarnation > 0);
        alive.count() == count
    }

    /// Records which endpoints the daemon owns now, for `change_load`.
    pub(super) fn record_owned(&mut self) {
        self.owned = self.owned();
    }

    /// Sets a random load on every recorded endpoint, as load reports would.
    pub(super) fn change_load(&self, random: &mut StdRng) {
        let fleet = self.plane.board.fleet.load();
        for key in &self.owned {
            if let Some(endpoint) = fleet.endpoints.get(*key) {
                let used = random.random_range(0..=endpoint.pieces);
                endpoint.counters.record_load(used, 1);
                endpoint.counters.set_waiting(random.random_range(0..8));
            }
        }
    }
}

impl HostShared {
    /// Returns an incarnation greater than all earlier ones of this run.
    pub(super) fn next_incarnation(&self) -> u64 {
        self.clock.now().0 + 1
    }

    /// Returns a copy of the fleet whose load counters belong to one daemon.
    fn copy_fleet(&self) -> Fleet {
        let mut fleet = self.fleet.clone();
        let keys: Vec<_> = fleet.endpoints.iter().map(|(key, _)| key).collect();
        for key in keys {
            if let Some(endpoint) = fleet.endpoints.get_mut(key) {
                endpoint.counters = Arc::default();
            }
        }
        fleet
    }
}
