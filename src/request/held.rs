use {
    super::{Owner, Parts, Shared},
    crate::port::{Clock, Engine, Grant, GrantEnd, GrantRelease},
    std::time::Duration,
};

/// Cancels that the entry host sends before it leaves the attempt to the owner.
const CANCEL_TRIES: u32 = 3;

/// Wait after the first failed cancel; it doubles.
const CANCEL_WAIT: Duration = Duration::from_millis(50);

/// A granted place. Dropping it frees what it holds, at the endpoint and at the owner.
#[derive(Debug)]
pub struct Held<P>
where
    P: Parts,
{
    shared: Shared<P>,
    grant: Grant,
    owner: Owner,
    sent: bool,
    open: bool,
}

impl<P> Held<P>
where
    P: Parts,
{
    /// Takes charge of `grant`.
    pub fn new(shared: Shared<P>, grant: Grant, owner: Owner) -> Self {
        Self {
            shared,
            grant,
            owner,
            sent: false,
            open: true,
        }
    }

    /// The grant.
    pub fn grant(&self) -> &Grant {
        &self.grant
    }

    /// Notes that a call for the attempt is about to leave for the endpoint.
    pub fn mark_sent(&mut self) {
        self.sent = true;
    }

    /// Tells the owner that the prompt is computed, so that it may grant the next one.
    pub fn computed(&self, took: Duration, tokens: u32) {
        let release = self.release_with(GrantEnd::Computed { took, tokens });
        let owner = self.owner.clone();
        let shared = self.shared.clone();
        self.shared
            .spawn(async move { owner.release(&shared, release).await });
    }

    /// Gives the place back after the endpoint freed it by itself or never held it.
    pub fn finish(mut self, end: GrantEnd) {
        self.open = false;
        let release = self.release_with(end);
        let owner = self.owner.clone();
        let shared = self.shared.clone();
        self.shared
            .spawn(async move { owner.release(&shared, release).await });
    }

    fn release_with(&self, end: GrantEnd) -> GrantRelease {
        GrantRelease {
            attempt: self.grant.attempt,
            endpoint: self.grant.endpoint.clone(),
            end,
        }
    }
}

impl<P> Drop for Held<P>
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
        let mut release = self.release_with(GrantEnd::Unused);
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

/// Cancels an attempt at its endpoint; without a confirmation the owner goes on with it.
async fn cancel<P>(shared: &Shared<P>, address: &str, release: &GrantRelease) -> bool
where
    P: Parts,
{
    let mut wait = CANCEL_WAIT;
    for _ in 0..CANCEL_TRIES {
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
