use {
    crate::{
        board::{Blackboard, FleetStatus, HostState, Status},
        decide::status_of,
        port::{Peer, PeerCall, PeerReply},
    },
    futures_util::{StreamExt, stream},
    std::time::Duration,
    tokio::time::timeout,
};

/// Most daemons that are called at the same time.
const MAX_CONCURRENT_CALLS: usize = 32;

/// Collects the status of this daemon and of every daemon not known to be dead.
///
/// A daemon that does not respond within `limit`, or whose status cannot be parsed, is listed in
/// `silent`.
pub async fn fleet_status<P>(board: &Blackboard, peer: &P, limit: Duration) -> FleetStatus
where
    P: Peer,
{
    let own = status_of(board);
    let members = board.members.snapshot();
    let others = members
        .hosts
        .iter()
        .filter(|(key, host)| *key != members.own && host.state != HostState::Dead)
        .map(|(_, host)| (host.name.clone(), host.address.clone()))
        .collect::<Vec<_>>();
    let responses = stream::iter(others)
        .map(|(name, address)| async move { (name, request_status(peer, &address, limit).await) })
        .buffer_unordered(MAX_CONCURRENT_CALLS)
        .collect::<Vec<_>>()
        .await;
    let mut fleet = FleetStatus {
        daemons: vec![own],
        silent: Vec::new(),
    };
    for (name, status) in responses {
        match status {
            Some(status) => fleet.daemons.push(status),
            None => fleet.silent.push(name),
        }
    }
    fleet.daemons.sort_by(|a, b| a.host.cmp(&b.host));
    fleet.silent.sort();
    fleet
}

/// Calls one daemon; `None` if it does not respond in time or its status cannot be parsed.
async fn request_status<P>(peer: &P, address: &str, limit: Duration) -> Option<Status>
where
    P: Peer,
{
    let call = peer.call(address, PeerCall::Status);
    match timeout(limit, call).await {
        Ok(Ok(PeerReply::Status(text))) => serde_json::from_str(&text).ok(),
        _ => None,
    }
}
