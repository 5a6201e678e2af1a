use {
    super::{GrantHold, Owner, Parts, PendingGrant, Shared},
    crate::{
        board::{Blackboard, Endpoint, Tick},
        decide::{OwnerOption, order_owners, owners_to_request},
        key::{AttemptId, EndpointKey, HostKey, name_hash},
        port::{Clock, Denial, Grant, GrantRequest},
    },
    futures_util::{StreamExt, stream::FuturesUnordered},
    std::{collections::BTreeMap, pin::pin, time::Duration},
    tokio::select,
};

/// Wait before the owners are listed again after a round without a grant.
const ROUND_WAIT: Duration = Duration::from_millis(100);

/// Delay before the other owners are asked as well as the best one.
///
/// It is longer than a call between two hosts, so that the best owner grants what it has free.
const HEDGE_DELAY: Duration = Duration::from_millis(3);

/// Time for which a model, version or adapter may be loaded nowhere before the request is refused.
const MISSING_WAIT: Duration = Duration::from_secs(5);

/// Attempt numbers that one round reserves for the grants of a request.
const ROUND_NUMBERS: u16 = 64;

/// Rounds after which the attempt numbers repeat; by then no message of the first is in flight.
const ROUNDS: u16 = 1_000;

/// Acquires a grant for `request` from the owners of its pool, waiting until `deadline`.
///
/// The attempt waits in the queues of the best few owners at once, takes the first grant and
/// withdraws from the others. Each round has attempt numbers of its own, so that a late withdrawal
/// of one round cannot release the grant of the next.
///
/// # Errors
///
/// `Full` if the owners' queues are full, `Late` once `deadline` has passed, and `NotOwner` if no
/// endpoint of the pool has what the request needs or no owner could be reached.
pub async fn acquire<P>(
    shared: &Shared<P>,
    request: &GrantRequest,
    deadline: Tick,
) -> Result<GrantHold<P>, Denial>
where
    P: Parts,
{
    let mut last = Denial::NotOwner;
    let start = shared.now();
    let mut round = 0;
    let mut avoid = request.avoid.clone();
    loop {
        let left = shared.left(deadline);
        if left.is_zero() {
            return Err(if last == Denial::NotOwner {
                last
            } else {
                Denial::Late
            });
        }
        let attempt = AttemptId {
            number: request.attempt.number + round % ROUNDS * ROUND_NUMBERS,
            ..request.attempt
        };
        let request = GrantRequest {
            attempt,
            remaining: left,
            avoid: avoid.clone(),
            ..request.clone()
        };
        round += 1;
        let (owners, batch) = owners(shared.board(), &request, shared.options().min_owners);
        for owners in owners.chunks(batch) {
            match first_grant(shared, &request, owners).await {
                Ok(hold) => return Ok(hold),
                Err(denial) => last = denial,
            }
        }
        if matches!(last, Denial::Full | Denial::Late) {
            return Err(last);
        }
        if shared.now() - start >= MISSING_WAIT && is_missing(shared.board(), &request) {
            return Err(Denial::NotOwner);
        }
        // After one round, an endpoint that failed before is better than none.
        avoid.clear();
        shared.parts().clock().sleep(ROUND_WAIT.min(left)).await;
    }
}

/// Asks the first owner; after its denial, or after `HEDGE_DELAY`, asks the others too.
async fn first_grant<P>(
    shared: &Shared<P>,
    request: &GrantRequest,
    owners: &[Owner],
) -> Result<GrantHold<P>, Denial>
where
    P: Parts,
{
    let Some((first, mut others)) = owners.split_first() else {
        return Err(Denial::NotOwner);
    };
    let mut pending = PendingGrant::new(shared.clone(), request.clone(), vec![first.clone()]);
    let mut replies = FuturesUnordered::new();
    replies.push(reply(shared, request, first));
    let mut hedge = pin!(shared.parts().clock().sleep(HEDGE_DELAY));
    let mut last = Denial::NotOwner;
    loop {
        let widen = select! {
            biased;
            Some((owner, outcome)) = replies.next() => match outcome {
                Ok(grant) => {
                    pending.remove(owner);
                    return Ok(GrantHold::new(shared.clone(), grant, owner.clone()));
                }
                Err(denial) => {
                    last = denial;
                    replies.is_empty()
                }
            },
            () = &mut hedge, if !others.is_empty() => true,
        };
        if widen && others.is_empty() {
            return Err(last);
        }
        if widen {
            for owner in std::mem::take(&mut others) {
                pending.add(owner);
                replies.push(reply(shared, request, owner));
            }
        }
    }
}

/// Waits for the reply of `owner` and returns it together with the owner.
async fn reply<'a, P>(
    shared: &Shared<P>,
    request: &GrantRequest,
    owner: &'a Owner,
) -> (&'a Owner, Result<Grant, Denial>)
where
    P: Parts,
{
    (owner, owner.acquire(shared, request.clone()).await)
}

/// Returns whether no known endpoint of the pool has loaded what `request` needs.
fn is_missing(board: &Blackboard, request: &GrantRequest) -> bool {
    let fleet = board.fleet.load();
    let pool = fleet.pools.find(&request.pool);
    let members = pool.and_then(|key| Some(&fleet.pools.get(key)?.members));
    let mut endpoints = members
        .into_iter()
        .flatten()
        .filter_map(|key| fleet.endpoints.get(*key));
    !endpoints.any(|endpoint| endpoint.role == request.role && request.is_loaded_at(endpoint))
}

/// Lists the owners of the pool's usable endpoints, best first, and how many to ask at once.
fn owners(board: &Blackboard, request: &GrantRequest, min_count: usize) -> (Vec<Owner>, usize) {
    let fleet = board.fleet.load();
    let Some(pool) = fleet
        .pools
        .find(&request.pool)
        .and_then(|key| fleet.pools.get(key))
    else {
        return (Vec::new(), 1);
    };
    let members = || {
        let keys = pool.members.iter();
        let found = keys.filter_map(|key| Some((*key, fleet.endpoints.get(*key)?)));
        found.filter(|(_, endpoint)| request.allows(endpoint))
    };
    let loaded = members().filter(|(_, endpoint)| request.is_loaded_at(endpoint));
    let mut options = options(board, request, loaded);
    if options.is_empty() {
        // This daemon learns late what endpoints have loaded; their owners know first.
        options = self::options(board, request, members());
    }
    order_owners(&mut options, request.pieces);
    let batch = owners_to_request(&options, min_count);
    let owners = options
        .iter()
        .filter_map(|option| owner_at(board, option.host))
        .collect();
    (owners, batch)
}

/// Groups `endpoints` by their owner; endpoints without a known owner are left out.
fn options<'a, I>(board: &Blackboard, request: &GrantRequest, endpoints: I) -> Vec<OwnerOption>
where
    I: Iterator<Item = (EndpointKey, &'a Endpoint)>,
{
    let owners = board.owners.load();
    let digests = board.digests.load();
    let members = board.members.load();
    let zone = members.hosts.get(members.own).map(|own| own.zone.as_str());
    let mut by_host = BTreeMap::<HostKey, OwnerOption>::new();
    for (key, endpoint) in endpoints {
        let Some(ownership) = owners.by_endpoint.get(key) else {
            continue;
        };
        let host = ownership.owner;
        let option = by_host.entry(host).or_insert_with(|| OwnerOption {
            host,
            free: 0,
            endpoints: 0,
            waiting: waiting(&digests.waiting, host, &request.pool),
            same_zone: members.hosts.get(host).map(|other| other.zone.as_str()) == zone,
            tie_break: tie_break(
                request,
                members.hosts.get(host).map_or("", |other| &other.name),
            ),
        });
        option.endpoints += 1;
        option.free = option.free.max(free_pieces(
            host == members.own,
            endpoint,
            digests.by_endpoint.get(key),
        ));
    }
    by_host.into_values().collect()
}

/// Requests that wait for `pool` at `host` by its last digest; 0 if there was none.
fn waiting(
    waiting: &std::collections::HashMap<(HostKey, String), u32>,
    host: HostKey,
    pool: &str,
) -> u32 {
    waiting.get(&(host, pool.to_owned())).copied().unwrap_or(0)
}

/// Pieces assumed free: exact for an endpoint owned here, all of them without a digest.
fn free_pieces(own: bool, endpoint: &Endpoint, digest: Option<&crate::board::Digest>) -> u32 {
    if own {
        return endpoint.pieces.saturating_sub(endpoint.counters.granted());
    }
    digest.map_or(endpoint.pieces, |digest| digest.free)
}

/// Hash of request and host, which spreads requests among owners that look equally able.
fn tie_break(request: &GrantRequest, host: &str) -> u64 {
    let id = request.attempt.request;
    let seed = id.sequence.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ id.host;
    (name_hash(host) ^ seed)
        .wrapping_mul(0xff51_afd7_ed55_8ccd)
        .rotate_left(31)
}

/// Returns how to reach `host`; `None` if it is no longer a member.
fn owner_at(board: &Blackboard, host: HostKey) -> Option<Owner> {
    let members = board.members.load();
    if host == members.own {
        return Some(Owner::Local);
    }
    members
        .hosts
        .get(host)
        .map(|other| Owner::Remote(other.address.clone()))
}
