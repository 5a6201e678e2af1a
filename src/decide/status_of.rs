use crate::{
    board::{
        Blackboard, Endpoint, Fleet, MemberStatus, Members, Pool, PoolStatus, Status,
        SuspectStatus, Suspects,
    },
    key::EndpointKey,
};

/// Returns the status of the daemon with `board`: its health, members, pools, suspects and orders.
pub fn status_of(board: &Blackboard) -> Status {
    let health = board.health.load();
    let members = board.members.load();
    let fleet = board.fleet.load();
    let owners = board.owners.load();
    let own = members.hosts.get(members.own);
    let owns = |key| {
        let ownership = owners.by_endpoint.get(key);
        ownership.is_some_and(|ownership| ownership.owner == members.own)
    };
    let owned = fleet.endpoints.iter().filter(|(key, _)| owns(*key)).count();
    Status {
        host: own.map_or_else(String::new, |host| host.name.clone()),
        zone: own.map_or_else(String::new, |host| host.zone.clone()),
        revision: board.sheet.load().revision,
        ready: health.ready,
        stopping: health.stopping(),
        store: health.store_reachable,
        owned: owned as u32,
        members: member_statuses(&members),
        pools: pool_statuses(&fleet, owns),
        suspects: suspect_statuses(&board.suspects.load()),
        orders: board.orders.load().open.values().cloned().collect(),
    }
}

fn member_statuses(members: &Members) -> Vec<MemberStatus> {
    let hosts = members.hosts.iter().map(|(_, host)| MemberStatus {
        name: host.name.clone(),
        zone: host.zone.clone(),
        state: host.state,
        incarnation: host.incarnation,
    });
    let mut hosts = hosts.collect::<Vec<_>>();
    hosts.sort_by(|a, b| a.name.cmp(&b.name));
    hosts
}

fn pool_statuses<F>(fleet: &Fleet, owns: F) -> Vec<PoolStatus>
where
    F: Fn(EndpointKey) -> bool,
{
    let pools = fleet.pools.iter();
    let mut pools = pools
        .map(|(_, pool)| pool_status(fleet, pool, &owns))
        .collect::<Vec<_>>();
    pools.sort_by(|a, b| a.name.cmp(&b.name));
    pools
}

fn pool_status<F>(fleet: &Fleet, pool: &Pool, owns: &F) -> PoolStatus
where
    F: Fn(EndpointKey) -> bool,
{
    let members = || {
        let keys = pool.members.iter();
        keys.filter_map(|key| Some((*key, fleet.endpoints.get(*key)?)))
    };
    let count = |test: fn(&Endpoint) -> bool| members().filter(|(_, e)| test(e)).count() as u32;
    let owned = || members().filter(|(key, _)| owns(*key));
    PoolStatus {
        name: pool.name.clone(),
        endpoints: members().count() as u32,
        leaving: count(|endpoint| endpoint.draining || endpoint.counters.is_draining()),
        ejected: count(|endpoint| endpoint.counters.ejected()),
        owned: owned().count() as u32,
        running: owned()
            .map(|(_, endpoint)| endpoint.counters.running())
            .sum(),
        waiting: owned()
            .map(|(_, endpoint)| endpoint.counters.waiting())
            .sum(),
        granted: owned()
            .map(|(_, endpoint)| endpoint.counters.granted())
            .sum(),
    }
}

fn suspect_statuses(suspects: &Suspects) -> Vec<SuspectStatus> {
    let entries = suspects.by_fingerprint.iter();
    let mut entries = entries
        .map(|(fingerprint, suspect)| SuspectStatus {
            print: format!("{fingerprint:016x}"),
            endpoints: suspect.endpoints.clone(),
            refused: suspect.refused,
        })
        .collect::<Vec<_>>();
    entries.sort_by(|a, b| a.print.cmp(&b.print));
    entries
}
