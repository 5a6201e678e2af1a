//! Test setup: control planes of several daemons in one process, for the tests of membership and of
//! the distribution of the sheet.

use {
    lentillead::{
        board::HostState,
        control::{MemberHandle, SheetHandle},
        decide::MemberTiming,
        fake::{
            ControlPlane, FaultyPeer, MemoryPlatform, NetworkPartition, PeerNetwork, PlaneParts,
            handle_call,
        },
        port::{MemberUpdate, MonoClock, PeerCall, PeerHandler, PeerReply},
    },
    std::{collections::BTreeMap, time::Duration},
    tokio::time::sleep,
};

/// Virtual time within which a condition must come to hold.
const LIMIT: Duration = Duration::from_mins(1);

/// Peer protocol between the hosts, with partitions.
pub type Link = FaultyPeer<PeerNetwork<HostHandler>>;

/// Receiving end of the peer protocol at one host.
#[derive(Clone, Debug)]
pub struct HostHandler {
    members: MemberHandle<Link>,
    sheets: SheetHandle,
}

impl PeerHandler for HostHandler {
    async fn handle(&self, call: PeerCall) -> PeerReply {
        handle_call(&self.members, &self.sheets, call).await
    }
}

/// Running control planes by host name, and the network and the platform between them.
pub struct Cluster {
    pub partition: NetworkPartition,
    pub network: PeerNetwork<HostHandler>,
    pub planes: BTreeMap<String, ControlPlane<Link>>,
    pub platform: MemoryPlatform,
    clock: MonoClock,
}

impl Cluster {
    /// Starts `count` hosts in two zones that know the first host's address alone.
    pub fn start(count: usize) -> Self {
        let mut cluster = Self {
            partition: NetworkPartition::default(),
            network: PeerNetwork::default(),
            planes: BTreeMap::new(),
            platform: MemoryPlatform::default(),
            clock: MonoClock::start(),
        };
        for i in 0..count {
            cluster.start_host(i, 1);
        }
        cluster
    }

    /// Starts host `number`, or restarts it with a greater incarnation.
    pub fn start_host(&mut self, number: usize, incarnation: u64) {
        let name = name(number);
        let own = MemberUpdate {
            name: name.clone(),
            zone: String::from(["a", "b"][number % 2]),
            address: name.clone(),
            incarnation,
            refutations: 0,
            state: HostState::Alive,
        };
        let peer = FaultyPeer {
            inner: self.network.clone(),
            from: name.clone(),
            partition: self.partition.clone(),
        };
        let parts = PlaneParts {
            peer,
            platform: self.platform.clone(),
            own,
            seeds: vec![self::name(0)],
            timing: MemberTiming::default(),
            rng_seed: number as u64 + incarnation * 1_000,
        };
        let plane = ControlPlane::start(parts, self.clock);
        let handler = HostHandler {
            members: plane.members.clone(),
            sheets: plane.sheets.clone(),
        };
        self.network.join(&name, handler);
        self.planes.insert(name, plane);
    }

    /// Stops host `number` at once, as a crash does.
    pub fn kill(&mut self, number: usize) {
        self.network.leave(&name(number));
        self.planes.remove(&name(number));
    }

    /// State, incarnation and refutations of `number` in the member list of every other running
    /// host; one that does not list it counts as `Dead`.
    pub fn views(&self, number: usize) -> Vec<(HostState, u64, u32)> {
        let subject = name(number);
        let others = self.planes.iter().filter(|(name, _)| **name != subject);
        let view = |plane: &ControlPlane<Link>| {
            let members = plane.board.members.load();
            let host = members.hosts.get(members.hosts.find(&subject)?)?;
            Some((host.state, host.incarnation, host.refutations))
        };
        others
            .map(|(_, plane)| view(plane).unwrap_or((HostState::Dead, 0, 0)))
            .collect()
    }

    /// Waits until every other host lists `number` in `state`; false if that takes longer than
    /// `LIMIT`.
    pub async fn agree(&self, number: usize, state: HostState) -> bool {
        self.until(|cluster| cluster.views(number).iter().all(|view| view.0 == state))
            .await
    }

    /// Whether the condition comes to hold within `LIMIT`.
    pub async fn until<F>(&self, condition: F) -> bool
    where
        F: Fn(&Self) -> bool,
    {
        self.within(LIMIT, condition).await
    }

    /// Whether the condition comes to hold within `limit` of virtual time, checked every 100 ms.
    pub async fn within<F>(&self, limit: Duration, condition: F) -> bool
    where
        F: Fn(&Self) -> bool,
    {
        let step = Duration::from_millis(100);
        let mut waited = Duration::ZERO;
        while !condition(self) {
            if waited >= limit {
                return false;
            }
            sleep(step).await;
            waited += step;
        }
        true
    }
}

/// Name and address of host `number`.
pub fn name(number: usize) -> String {
    format!("host-{number}")
}
