use {
    super::{Parts, Shared},
    crate::port::{
        Clock, Denial, Grant, GrantQueue, GrantRelease, GrantRequest, Peer, PeerCall, PeerReply,
    },
    std::time::Duration,
};

/// Attempts to deliver a release or withdrawal to another host.
const DELIVERY_ATTEMPTS: u32 = 5;

/// Wait after the first failed delivery; it doubles after each further one.
const DELIVERY_WAIT: Duration = Duration::from_millis(50);

/// Host that owns endpoints, and how to reach it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Owner {
    /// This host, called directly.
    Local,
    /// Another host, called at this address of its peer listener.
    Remote(String),
}

impl Owner {
    /// Requests a grant and waits in the owner's queue.
    ///
    /// # Errors
    ///
    /// Returns the owner's denial, or `NotOwner` if the call failed.
    pub async fn acquire<P>(
        &self,
        shared: &Shared<P>,
        request: GrantRequest,
    ) -> Result<Grant, Denial>
    where
        P: Parts,
    {
        let Self::Remote(address) = self else {
            return shared.parts().queue().acquire(request).await;
        };
        let reply = shared
            .parts()
            .peer()
            .call(address, PeerCall::Acquire(request))
            .await;
        match reply {
            Ok(PeerReply::Granted(grant)) => Ok(grant),
            Ok(PeerReply::Denied(denial)) => Err(denial),
            Ok(_) | Err(_) => Err(Denial::NotOwner),
        }
    }

    /// Releases a grant. If that is not delivered, the owner notices it in the endpoint's reports.
    pub async fn release<P>(&self, shared: &Shared<P>, release: GrantRelease)
    where
        P: Parts,
    {
        match self {
            Self::Local => shared.parts().queue().release(release),
            Self::Remote(address) => deliver(shared, address, PeerCall::Release(release)).await,
        }
    }

    /// Withdraws a waiting request, or releases its grant if it was granted meanwhile.
    pub async fn withdraw<P>(&self, shared: &Shared<P>, request: &GrantRequest)
    where
        P: Parts,
    {
        match self {
            Self::Local => shared.parts().queue().withdraw(request.attempt),
            Self::Remote(address) => {
                deliver(shared, address, PeerCall::Withdraw(request.attempt)).await;
            }
        }
    }
}

/// Calls another host until the call succeeds; gives up after `DELIVERY_ATTEMPTS` with a warning.
async fn deliver<P>(shared: &Shared<P>, address: &str, call: PeerCall)
where
    P: Parts,
{
    let mut wait = DELIVERY_WAIT;
    for _ in 0..DELIVERY_ATTEMPTS {
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
    log::warn!(address; "release or withdrawal not delivered; the owner reconciles its grants with the endpoint's reports");
}
