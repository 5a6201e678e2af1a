use {
    super::{Parts, Shared},
    crate::port::{Clock, Denial, Grant, GrantAsk, GrantRelease, Line, Peer, PeerCall, PeerReply},
    std::time::Duration,
};

/// Tries to deliver a release or withdrawal to another host.
const DELIVERY_TRIES: u32 = 5;

/// Wait after the first failed delivery; it doubles.
const DELIVERY_WAIT: Duration = Duration::from_millis(50);

/// Where the owner of an endpoint is reached.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Owner {
    /// This host.
    Own,
    /// Another host, by the address of its peer listener.
    Other(String),
}

impl Owner {
    /// Asks for a place and waits in the owner's line.
    pub async fn acquire<P>(&self, shared: &Shared<P>, ask: GrantAsk) -> Result<Grant, Denial>
    where
        P: Parts,
    {
        let Self::Other(address) = self else {
            return shared.parts().line().acquire(ask).await;
        };
        let reply = shared
            .parts()
            .peer()
            .call(address, PeerCall::Acquire(ask))
            .await;
        match reply {
            Ok(PeerReply::Granted(grant)) => Ok(grant),
            Ok(PeerReply::Denied(denial)) => Err(denial),
            Ok(_) | Err(_) => Err(Denial::NotOwner),
        }
    }

    /// Gives a grant back. Without delivery the owner learns it from the endpoint's reports.
    pub async fn release<P>(&self, shared: &Shared<P>, release: GrantRelease)
    where
        P: Parts,
    {
        match self {
            Self::Own => shared.parts().line().release(release),
            Self::Other(address) => deliver(shared, address, PeerCall::Release(release)).await,
        }
    }

    /// Withdraws a waiting request.
    pub async fn withdraw<P>(&self, shared: &Shared<P>, ask: &GrantAsk)
    where
        P: Parts,
    {
        match self {
            Self::Own => shared.parts().line().withdraw(ask.attempt),
            Self::Other(address) => {
                deliver(shared, address, PeerCall::Withdraw(ask.attempt)).await;
            }
        }
    }
}

async fn deliver<P>(shared: &Shared<P>, address: &str, call: PeerCall)
where
    P: Parts,
{
    let mut wait = DELIVERY_WAIT;
    for _ in 0..DELIVERY_TRIES {
        if shared
            .parts()
            .peer()
            .call(address, call.clone())
            .await
            .is_ok()
        {
            return;
        }
        shared.parts().clock().sleep(wait).await;
        wait *= 2;
    }
    log::warn!(address; "the owner was not reached; it will reconcile with the endpoint's reports");
}
