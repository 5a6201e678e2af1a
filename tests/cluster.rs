//! Control planes of several daemons in one process, for the tests of membership and the sheet.

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

/// Virtual time within which every condition must hold.
const LIMIT: Duration = Duration::from_mins(1);

pub type Link = FaultyPeer<PeerNetwork<Node>>;

#[derive(Clone, Debug)]
pub struct Node {
    members: MemberHandle<Link>,
    sheets: SheetHandle,
}

impl PeerHandler for Node {
    async fn handle(&self, call: PeerCall) -> PeerReply {
        handle_call(&self.members, &self.sheets, call).await
    }
}

pub struct Cluster {
    pub cuts: NetworkPartition,
    pub network: PeerNetwork<Node>,
    pub planes: BTreeMap<String, ControlPlane<Link>>,
    pub platform: MemoryPlatform,
    clock: MonoClock,
}

impl Cluster {
    /// Starts `count` hosts in two zones that know the first host's address alone.
    pub fn start(count: usize) -> Self {
        let mut cluster = Self {
            cuts: NetworkPartition::default(),
            network: PeerNetwork::default(),
            planes: BTreeMap::new(),
            platform: MemoryPlatform::default(),
            clock: MonoClock::start(),
        };
        for i in 0..count {
            cluster.host(i, 1);
        }
        cluster
    }

    /// Starts host `number`, or restarts it with a greater incarnation.
    pub fn host(&mut self, number: usize, incarnation: u64) {
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
            partition: self.cuts.clone(),
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
        let node = Node {
            members: plane.members.clone(),
            sheets: plane.sheets.clone(),
        };
        self.network.join(&name, node);
        self.planes.insert(name, plane);
    }

    pub fn kill(&mut self, number: usize) {
        self.network.leave(&name(number));
        self.planes.remove(&name(number));
    }

    /// What every other running host believes of `number`: state, incarnation and refutations.
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

    /// Waits until every other host believes `number` to be in `state`.
    pub async fn agree(&self, number: usize, state: HostState) -> bool {
        self.until(|cluster| cluster.views(number).iter().all(|view| view.0 == state))
            .await
    }

    pub async fn until<F>(&self, condition: F) -> bool
    where
        F: Fn(&Self) -> bool,
    {
        self.within(LIMIT, condition).await
    }

    /// Whether the condition holds at some time within `limit`.
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

pub fn name(number: usize) -> String {
    format!("host-{number}")
}
