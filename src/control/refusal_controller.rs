use {
    super::avoided_hosts::AvoidedHosts,
    crate::{
        board::{HostState, Members, Refusals, Section},
        key::HostKey,
        port::{Clock, Peer, PeerCall, PeerReply, PoolUpdate, RefusalUpdate},
    },
    futures_util::{StreamExt, stream},
    std::{collections::HashMap, time::Duration},
    tokio::{select, time::timeout},
};

/// Interval at which daemons are looked for that were not notified yet.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time limit of one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a daemon that did not reply is left alone.
const AVOID_TIME: Duration = Duration::from_secs(1);

/// Most daemons that are called at once.
const MAX_CALLS: usize = 32;

/// Notifies every daemon of the causes of crashes that this one refuses.
///
/// Requests with a refused cause come at any daemon, and each that does not know would crash one more
/// endpoint. Nothing is sent while nothing was ever refused. A daemon that could not be reached, or has
/// started since, is notified later.
#[derive(Debug)]
pub struct RefusalController<P, C> {
    peer: P,
    clock: C,
    members: Section<Members>,
    refusals: Section<Refusals>,
    avoided: AvoidedHosts<C>,
    /// Incarnation of each daemon and version of the refusals that it was notified of.
    notified: HashMap<HostKey, (u64, u64)>,
}

/// A daemon that has to be notified.
struct Outgoing {
    host: HostKey,
    address: String,
    incarnation: u64,
}

impl<P, C> RefusalController<P, C>
where
    P: Peer,
    C: Clock,
{
    /// Creates the controller.
    pub fn new(peer: P, clock: C, members: Section<Members>, refusals: Section<Refusals>) -> Self {
        Self {
            avoided: AvoidedHosts::new(clock.clone()),
            peer,
            clock,
            members,
            refusals,
            notified: HashMap::new(),
        }
    }

    /// Runs until the section's writer is dropped.
    pub async fn run(mut self) {
        loop {
            let idle = self.refusals.load().version == 0;
            select! {
                more = self.refusals.changed() => if !more {
                    return;
                },
                () = self.clock.sleep(CHECK_INTERVAL), if !idle => {}
            }
            self.notify().await;
        }
    }

    /// Calls the daemons that were not notified of the current refusals.
    async fn notify(&mut self) {
        let refusals = self.refusals.snapshot();
        if refusals.version == 0 {
            return;
        }
        let update = self.update(&refusals);
        let outgoing = self.outgoing(refusals.version);
        let peer = &self.peer;
        let calls = outgoing.into_iter().map(|outgoing| {
            let call = PeerCall::RefuseCauses(update.clone());
            async move {
                let reply = timeout(CALL_TIMEOUT, peer.call(&outgoing.address, call)).await;
                (outgoing, matches!(reply, Ok(Ok(PeerReply::Done))))
            }
        });
        let replies = stream::iter(calls).buffer_unordered(MAX_CALLS);
        let replies: Vec<_> = replies.collect().await;
        for (outgoing, done) in replies {
            if done {
                let current = (outgoing.incarnation, refusals.version);
                self.notified.insert(outgoing.host, current);
            } else {
                self.avoided.avoid(outgoing.host, AVOID_TIME);
            }
        }
    }

    /// Returns the daemons that were not notified of `version`.
    fn outgoing(&mut self, version: u64) -> Vec<Outgoing> {
        let members = self.members.load();
        self.notified
            .retain(|host, _| members.hosts.get(*host).is_some());
        let others = members.hosts.iter().filter(|(host, member)| {
            *host != members.own
                && member.state == HostState::Alive
                && !self.avoided.contains(*host)
        });
        let outgoing = others.map(|(host, member)| Outgoing {
            host,
            address: member.address.clone(),
            incarnation: member.incarnation,
        });
        let is_notified = |outgoing: &Outgoing| {
            let current = (outgoing.incarnation, version);
            self.notified.get(&outgoing.host) == Some(&current)
        };
        outgoing.filter(|outgoing| !is_notified(outgoing)).collect()
    }

    /// Returns `refusals` as a message, with the times that are left.
    fn update(&self, refusals: &Refusals) -> RefusalUpdate {
        let now = self.clock.now();
        let pools = refusals.pools.iter().map(|(pool, state)| PoolUpdate {
            pool: pool.clone(),
            refused: state
                .refused
                .iter()
                .map(|(cause, until)| (*cause, *until - now))
                .filter(|(_, left)| !left.is_zero())
                .collect(),
            cleared: state.cleared.clone(),
        });
        RefusalUpdate {
            pools: pools.collect(),
        }
    }
}
