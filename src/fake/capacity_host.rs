use {
    super::{ControlPlane, Cuts, FaultyPeer, PlaneParts, answer},
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

/// Peer key of the runs.
const KEY: &str = "capacity";

type Link = FaultyPeer<PeerClient>;

/// Answers the calls of one daemon.
#[derive(Clone, Debug)]
struct Handler {
    members: MemberHandle<Link>,
    sheets: SheetHandle,
    pause: super::Pause,
}

impl PeerHandler for Handler {
    async fn handle(&self, call: PeerCall) -> PeerReply {
        self.pause.resumed().await;
        answer(&self.members, &self.sheets, call).await
    }
}

/// What all daemons of a run share.
#[derive(Clone, Debug)]
pub(super) struct HostShared {
    pub(super) clock: MonoClock,
    pub(super) cuts: Cuts,
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
    pub(super) plane: ControlPlane<Link>,
    owned: Vec<EndpointKey>,
    serving: JoinHandle<()>,
}

impl Drop for CapacityHost {
    fn drop(&mut self) {
        self.serving.abort();
    }
}

impl CapacityHost {
    /// Starts a daemon on `listener`, as a new incarnation of `name`.
    pub(super) fn start(
        shared: &HostShared,
        listener: TcpListener,
        own: MemberUpdate,
    ) -> io::Result<Self> {
        let key = Secret(String::from(KEY));
        let rng_seed = name_hash(&own.name) ^ own.incarnation;
        let client = PeerClient::new(&key, rng_seed, shared.traffic.clone());
        let peer = FaultyPeer {
            inner: client.map_err(io::Error::other)?,
            from: own.address.clone(),
            cuts: shared.cuts.clone(),
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
        plane.fleet.publish(shared.own_fleet());
        plane.hosts.publish(shared.hosts.clone());
        let handler = Handler {
            members: plane.members.clone(),
            sheets: plane.sheets.clone(),
            pause: plane.pause.clone(),
        };
        let listener = PeerListener::new(listener, key, handler).traffic(shared.traffic.clone());
        let serving = tokio::spawn(listener.serve(CancellationToken::new()));
        Ok(Self {
            name: own.name,
            incarnation: own.incarnation,
            plane,
            owned: Vec::new(),
            serving,
        })
    }

    /// Endpoints that this daemon believes to own.
    pub(super) fn owned(&self) -> Vec<EndpointKey> {
        let own = self.plane.board.members.load().own;
        let owners = self.plane.board.owners.load();
        let owned = owners.by_endpoint.iter().filter(|(_, o)| o.owner == own);
        owned.map(|(key, _)| key).collect()
    }

    /// Whether the daemon believes `count` hosts to be alive.
    pub(super) fn sees(&self, count: usize) -> bool {
        let members = self.plane.board.members.load();
        let alive = members
            .hosts
            .iter()
            .filter(|(_, host)| host.state == HostState::Alive && host.incarnation > 0);
        alive.count() == count
    }

    /// Remembers which endpoints are owned, for `load`.
    pub(super) fn settle(&mut self) {
        self.owned = self.owned();
    }

    /// Changes the load of every owned endpoint, as load reports would.
    pub(super) fn load(&self, random: &mut StdRng) {
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
    /// An incarnation greater than all earlier ones of this run.
    pub(super) fn clock_incarnation(&self) -> u64 {
        self.clock.now().0 + 1
    }

    /// The fleet with counters of its own for one daemon.
    fn own_fleet(&self) -> Fleet {
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
