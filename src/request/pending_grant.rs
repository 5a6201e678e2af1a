use {
    super::{Owner, Parts, Shared},
    crate::port::GrantRequest,
};

/// Owners in whose queues an attempt waits; dropping it withdraws the attempt from all of them.
#[derive(Debug)]
pub struct PendingGrant<P>
where
    P: Parts,
{
    shared: Shared<P>,
    request: GrantRequest,
    owners: Vec<Owner>,
}

impl<P> PendingGrant<P>
where
    P: Parts,
{
    /// Records that `request` waits at `owners`.
    pub fn new(shared: Shared<P>, request: GrantRequest, owners: Vec<Owner>) -> Self {
        Self {
            shared,
            request,
            owners,
        }
    }

    /// Records that the request waits at `owner` too.
    pub fn add(&mut self, owner: &Owner) {
        self.owners.push(owner.clone());
    }

    /// Records that `owner` replied, so that the request no longer waits there.
    pub fn remove(&mut self, owner: &Owner) {
        self.owners.retain(|other| other != owner);
    }
}

impl<P> Drop for PendingGrant<P>
where
    P: Parts,
{
    fn drop(&mut self) {
        for owner in self.owners.drain(..) {
            let shared = self.shared.clone();
            let request = self.request.clone();
            self.shared
                .spawn(async move { owner.withdraw(&shared, &request).await });
        }
    }
}
