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

/// Daemons that are asked at the same time.
const ASKED_AT_ONCE: usize = 32;

/// Asks every daemon believed to run for its status; each answer may take up to `limit`.
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
    let answers = stream::iter(others)
        .map(|(name, address)| async move { (name, ask(peer, &address, limit).await) })
        .buffer_unordered(ASKED_AT_ONCE)
        .collect::<Vec<_>>()
        .await;
    let mut fleet = FleetStatus {
        daemons: vec![own],
        silent: Vec::new(),
    };
    for (name, status) in answers {
        match status {
            Some(status) => fleet.daemons.push(status),
            None => fleet.silent.push(name),
        }
    }
    fleet.daemons.sort_by(|a, b| a.host.cmp(&b.host));
    fleet.silent.sort();
    fleet
}

async fn ask<P>(peer: &P, address: &str, limit: Duration) -> Option<Status>
where
    P: Peer,
{
    let call = peer.call(address, PeerCall::Status);
    match timeout(limit, call).await {
        Ok(Ok(PeerReply::Status(text))) => serde_json::from_str(&text).ok(),
        _ => None,
    }
}
