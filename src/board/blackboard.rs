use {
    super::{
        Arena, Branch, Digests, Fleet, Health, HostList, Members, Orders, Owners, Quotas, Routing,
        Section, Sheet, Suspects, Writer, section,
    },
    crate::key::BranchKey,
};

/// Read side of every section; a clone reads the same sections.
#[derive(Clone, Debug)]
pub struct Blackboard {
    /// Branches that may send requests, by name.
    pub branches: Section<Arena<BranchKey, Branch>>,
    /// Load of the endpoints that other daemons own.
    pub digests: Section<Digests>,
    /// Endpoints and pools of the host list, with the counters of each endpoint.
    pub fleet: Section<Fleet>,
    /// Readiness of this daemon and reachability of the platform's store.
    pub health: Section<Health>,
    /// The platform's host list, as last read.
    pub hosts: Section<HostList>,
    /// Hosts that run daemons, with their state in the membership protocol.
    pub members: Section<Members>,
    /// Owned engines that have not loaded what the sheet requires.
    pub orders: Section<Orders>,
    /// Owner and backup of each endpoint.
    pub owners: Section<Owners>,
    /// Credit of this daemon within the quotas of organisations.
    pub quotas: Section<Quotas>,
    /// The routes in force for forwarded requests, and the limits on what callers send.
    pub routing: Section<Routing>,
    /// The sheet (routing configuration) in force.
    pub sheet: Section<Sheet>,
    /// Requests suspected of crashing endpoints, by fingerprint.
    pub suspects: Section<Suspects>,
}

/// Write side of every section; each field is moved into the only controller that writes it.
#[derive(Debug)]
pub struct Writers {
    /// Written once at start, from the settings.
    pub branches: Writer<Arena<BranchKey, Branch>>,
    /// Written by the digest controller.
    pub digests: Writer<Digests>,
    /// Written by the fleet controller, or by the roster controller where requests are forwarded.
    pub fleet: Writer<Fleet>,
    /// Written by the health controller, or by the readiness controller where requests are
    /// forwarded.
    pub health: Writer<Health>,
    /// Written by the host controller.
    pub hosts: Writer<HostList>,
    /// Written by the member controller, or by the member roster controller where requests are
    /// forwarded.
    pub members: Writer<Members>,
    /// Written by the order controller.
    pub orders: Writer<Orders>,
    /// Written by the owner controller.
    pub owners: Writer<Owners>,
    /// Written by the quota controller.
    pub quotas: Writer<Quotas>,
    /// Written by the routing controller.
    pub routing: Writer<Routing>,
    /// Written by the sheet controller.
    pub sheet: Writer<Sheet>,
    /// Written by the suspect controller.
    pub suspects: Writer<Suspects>,
}

impl Blackboard {
    /// Returns whether this daemon forwards requests and has not known any endpoint since its start.
    pub fn is_starting(&self) -> bool {
        let health = self.health.load();
        !health.ready && !health.stopping() && self.fleet.load().endpoints.is_empty()
    }

    /// Creates a blackboard of empty sections and their writers.
    pub fn new() -> (Self, Writers) {
        let branches = section(Arena::default());
        let digests = section(Digests::default());
        let fleet = section(Fleet::default());
        let health = section(Health::default());
        let hosts = section(HostList::default());
        let members = section(Members::default());
        let orders = section(Orders::default());
        let owners = section(Owners::default());
        let quotas = section(Quotas::default());
        let routing = section(Routing::default());
        let sheet = section(Sheet::default());
        let suspects = section(Suspects::default());
        let writers = Writers {
            branches: branches.0,
            digests: digests.0,
            fleet: fleet.0,
            health: health.0,
            hosts: hosts.0,
            members: members.0,
            orders: orders.0,
            owners: owners.0,
            quotas: quotas.0,
            routing: routing.0,
            sheet: sheet.0,
            suspects: suspects.0,
        };
        let board = Self {
            branches: branches.1,
            digests: digests.1,
            fleet: fleet.1,
            health: health.1,
            hosts: hosts.1,
            members: members.1,
            orders: orders.1,
            owners: owners.1,
            quotas: quotas.1,
            routing: routing.1,
            sheet: sheet.1,
            suspects: suspects.1,
        };
        (board, writers)
    }
}
