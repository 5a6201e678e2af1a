use {
    super::{Asking, Held, Owner, Parts, Shared},
    crate::{
        board::{Blackboard, Endpoint, Tick},
        decide::{OwnerOption, order_owners, owners_to_ask},
        key::{AttemptId, EndpointKey, HostKey, name_hash},
        port::{Clock, Denial, Grant, GrantAsk},
    },
    futures_util::{StreamExt, stream::FuturesUnordered},
    std::{collections::BTreeMap, pin::pin, time::Duration},
    tokio::select,
};

/// Wait before the blackboard is read again when no owner could be asked.
const RETHINK: Duration = Duration::from_millis(100);

/// Time for which the best owner alone is asked. It is longer than a call between two hosts, so
/// that a place that is free there is taken there.
const HEDGE: Duration = Duration::from_millis(3);

/// Time for which a model, version or adapter may be loaded nowhere before the request is refused.
const MISSING_WAIT: Duration = Duration::from_secs(5);

/// Attempt numbers that one round of asking sets apart for the places of a request.
const ROUND_NUMBERS: u16 = 64;

/// Rounds after which the numbers start again; by then no message of the first is on its way.
const ROUNDS: u16 = 1_000;

/// Waits for a place at the owners of the pool that `ask` names, until `deadline`.
///
/// The attempt stands in the lines of the best few owners at once, takes the first grant and
/// withdraws from the others. Each round of asking has attempt numbers of its own, so that a late
/// withdrawal of one round cannot release the grant of the next.
pub async fn acquire<P>(
    shared: &Shared<P>,
    ask: &GrantAsk,
    deadline: Tick,
) -> Result<Held<P>, Denial>
where
    P: Parts,
{
    let mut last = Denial::NotOwner;
    let start = shared.now();
    let mut round = 0;
    let mut avoid = ask.avoid.clone();
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
            number: ask.attempt.number + round % ROUNDS * ROUND_NUMBERS,
            ..ask.attempt
        };
        let ask = GrantAsk {
            attempt,
            remaining: left,
            avoid: avoid.clone(),
            ..ask.clone()
        };
        round += 1;
        let (owners, asked) = owners(shared.board(), &ask, shared.options().owners);
        for owners in owners.chunks(asked) {
            match first_grant(shared, &ask, owners).await {
                Ok(held) => return Ok(held),
                Err(denial) => last = denial,
            }
        }
        if matches!(last, Denial::Full | Denial::Late) {
            return Err(last);
        }
        if shared.now() - start >= MISSING_WAIT && is_missing(shared.board(), &ask) {
            return Err(Denial::NotOwner);
        }
        // An endpoint that failed is better than none.
        avoid.clear();
        shared.parts().clock().sleep(RETHINK.min(left)).await;
    }
}

/// Asks the first owner, and the others too when it has not granted within `HEDGE`.
async fn first_grant<P>(
    shared: &Shared<P>,
    ask: &GrantAsk,
    owners: &[Owner],
) -> Result<Held<P>, Denial>
where
    P: Parts,
{
    let Some((first, mut others)) = owners.split_first() else {
        return Err(Denial::NotOwner);
    };
    let mut asking = Asking::new(shared.clone(), ask.clone(), vec![first.clone()]);
    let mut replies = FuturesUnordered::new();
    replies.push(reply(shared, ask, first));
    let mut hedge = pin!(shared.parts().clock().sleep(HEDGE));
    let mut last = Denial::NotOwner;
    loop {
        let widen = select! {
            biased;
            Some((owner, outcome)) = replies.next() => match outcome {
                Ok(grant) => {
                    asking.answered(owner);
                    return Ok(Held::new(shared.clone(), grant, owner.clone()));
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
                asking.asked(owner);
                replies.push(reply(shared, ask, owner));
            }
        }
    }
}

/// Waits for the reply of one owner.
async fn reply<'a, P>(
    shared: &Shared<P>,
    ask: &GrantAsk,
    owner: &'a Owner,
) -> (&'a Owner, Result<Grant, Denial>)
where
    P: Parts,
{
    (owner, owner.acquire(shared, ask.clone()).await)
}

/// Whether no endpoint of the pool is known to have what `ask` needs.
fn is_missing(board: &Blackboard, ask: &GrantAsk) -> bool {
    let fleet = board.fleet.load();
    let pool = fleet.pools.find(&ask.pool);
    let members = pool.and_then(|key| Some(&fleet.pools.get(key)?.members));
    let mut endpoints = members
        .into_iter()
        .flatten()
        .filter_map(|key| fleet.endpoints.get(*key));
    !endpoints.any(|endpoint| endpoint.role == ask.role && ask.is_loaded(endpoint))
}

/// Lists the owners of the pool's usable endpoints, best first, and how many to ask at once.
fn owners(board: &Blackboard, ask: &GrantAsk, least: usize) -> (Vec<Owner>, usize) {
    let fleet = board.fleet.load();
    let Some(pool) = fleet
        .pools
        .find(&ask.pool)
        .and_then(|key| fleet.pools.get(key))
    else {
        return (Vec::new(), 1);
    };
    let members = || {
        let keys = pool.members.iter();
        let found = keys.filter_map(|key| Some((*key, fleet.endpoints.get(*key)?)));
        found.filter(|(_, endpoint)| ask.admits(endpoint))
    };
    let loaded = members().filter(|(_, endpoint)| ask.is_loaded(endpoint));
    let mut options = options(board, ask, loaded);
    if options.is_empty() {
        // What endpoints have loaded is known late here; their owners know better.
        options = self::options(board, ask, members());
    }
    order_owners(&mut options, ask.pieces);
    let asked = owners_to_ask(&options, least);
    let owners = options
        .iter()
        .filter_map(|option| locate(board, option.host))
        .collect();
    (owners, asked)
}

fn options<'a, I>(board: &Blackboard, ask: &GrantAsk, endpoints: I) -> Vec<OwnerOption>
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
            waiting: waiting(&digests.waiting, host, &ask.pool),
            near: members.hosts.get(host).map(|other| other.zone.as_str()) == zone,
            tie: tie(ask, members.hosts.get(host).map_or("", |other| &other.name)),
        });
        option.endpoints += 1;
        option.free = option.free.max(free(
            host == members.own,
            endpoint,
            digests.by_endpoint.get(key),
        ));
    }
    by_host.into_values().collect()
}

fn waiting(
    waiting: &std::collections::HashMap<(HostKey, String), u32>,
    host: HostKey,
    pool: &str,
) -> u32 {
    waiting.get(&(host, pool.to_owned())).copied().unwrap_or(0)
}

/// Pieces believed free: exact for an endpoint owned here, optimistic where nothing was heard.
fn free(own: bool, endpoint: &Endpoint, digest: Option<&crate::board::Digest>) -> u32 {
    if own {
        return endpoint.pieces.saturating_sub(endpoint.slot.granted());
    }
    digest.map_or(endpoint.pieces, |digest| digest.free)
}

fn tie(ask: &GrantAsk, host: &str) -> u64 {
    let request = ask.attempt.request;
    let seed = request.sequence.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ request.host;
    (name_hash(host) ^ seed)
        .wrapping_mul(0xff51_afd7_ed55_8ccd)
        .rotate_left(31)
}

fn locate(board: &Blackboard, host: HostKey) -> Option<Owner> {
    let members = board.members.load();
    if host == members.own {
        return Some(Owner::Own);
    }
    members
        .hosts
        .get(host)
        .map(|other| Owner::Other(other.address.clone()))
}
