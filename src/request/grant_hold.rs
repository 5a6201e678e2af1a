use {
    super::{Owner, Parts, Shared},
    crate::port::{Clock, Engine, Grant, GrantEnd, GrantRelease},
    std::time::Duration,
};

/// Attempts to cancel at the endpoint before it is left to the owner.
const CANCEL_ATTEMPTS: u32 = 3;

/// Wait after the first failed cancel; it doubles after each further one.
const CANCEL_WAIT: Duration = Duration::from_millis(50);

/// A grant in use; dropping it cancels the attempt at the endpoint and releases the grant.
#[derive(Debug)]
pub struct GrantHold<P>
where
    P: Parts,
{
    shared: Shared<P>,
    grant: Grant,
    owner: Owner,
    sent: bool,
    open: bool,
}

impl<P> GrantHold<P>
where
    P: Parts,
{
    /// Takes over `grant` of `owner`, under which nothing was sent yet.
    pub fn new(shared: Shared<P>, grant: Grant, owner: Owner) -> Self {
        Self {
            shared,
            grant,
            owner,
            sent: false,
            open: true,
        }
    }

    /// Returns the grant: attempt, endpoint, memory and cached tokens.
    pub fn grant(&self) -> &Grant {
        &self.grant
    }

    /// Records that a call to the endpoint follows, so that dropping the hold cancels it.
    pub fn mark_sent(&mut self) {
        self.sent = true;
    }

    /// Reports to the owner that the prompt is computed, so that it may grant the next prefill.
    pub fn report_computed(&self, took: Duration, tokens: u32) {
        let release = self.release_for(GrantEnd::Computed { took, tokens });
        let owner = self.owner.clone();
        let shared = self.shared.clone();
        self.shared
            .spawn(async move { owner.release(&shared, release).await });
    }

    /// Releases the grant without a cancel, as the endpoint holds nothing under it any more.
    pub fn finish(mut self, end: GrantEnd) {
        self.open = false;
        let release = self.release_for(end);
        let owner = self.owner.clone();
        let shared = self.shared.clone();
        self.shared
            .spawn(async move { owner.release(&shared, release).await });
    }

    fn release_for(&self, end: GrantEnd) -> GrantRelease {
        GrantRelease {
            attempt: self.grant.attempt,
            endpoint: self.grant.endpoint.clone(),
            end,
        }
    }
}

impl<P> Drop for GrantHold<P>
where
    P: Parts,
{
    fn drop(&mut self) {
        if !self.open {
            return;
        }
        let shared = self.shared.clone();
        let owner = self.owner.clone();
        let address = self.grant.address.clone();
        let sent = self.sent;
        let mut release = self.release_for(GrantEnd::Unused);
        self.shared.spawn(async move {
            if sent {
                let confirmed = cancel(&shared, &address, &release).await;
                release.end = if confirmed {
                    GrantEnd::Cancelled
                } else {
                    GrantEnd::Broken
                };
            }
            owner.release(&shared, release).await;
        });
    }
}

/// Cancels an attempt at its endpoint; returns `false` if no cancel was confirmed.
async fn cancel<P>(shared: &Shared<P>, address: &str, release: &GrantRelease) -> bool
where
    P: Parts,
{
    let mut wait = CANCEL_WAIT;
    for _ in 0..CANCEL_ATTEMPTS {
        shared.counters().cancels.inc();
        if shared
            .parts()
            .engine()
            .cancel(address, release.attempt)
            .await
            .is_ok()
        {
            return true;
        }
        shared.parts().clock().sleep(wait).await;
        wait *= 2;
    }
    false
}
