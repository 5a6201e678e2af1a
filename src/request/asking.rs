use {
    super::{Owner, Parts, Shared},
    crate::port::GrantAsk,
};

/// Owners in whose lines an attempt waits. Dropping it withdraws the attempt from all of them.
#[derive(Debug)]
pub struct Asking<P>
where
    P: Parts,
{
    shared: Shared<P>,
    ask: GrantAsk,
    owners: Vec<Owner>,
}

impl<P> Asking<P>
where
    P: Parts,
{
    /// Notes that `ask` waits at `owners`.
    pub fn new(shared: Shared<P>, ask: GrantAsk, owners: Vec<Owner>) -> Self {
        Self {
            shared,
            ask,
            owners,
        }
    }

    /// Notes that `owner` is asked too.
    pub fn asked(&mut self, owner: &Owner) {
        self.owners.push(owner.clone());
    }

    /// Notes that `owner` has answered: nothing waits there any more.
    pub fn answered(&mut self, owner: &Owner) {
        self.owners.retain(|other| other != owner);
    }
}

impl<P> Drop for Asking<P>
where
    P: Parts,
{
    fn drop(&mut self) {
        for owner in self.owners.drain(..) {
            let shared = self.shared.clone();
            let ask = self.ask.clone();
            self.shared
                .spawn(async move { owner.withdraw(&shared, &ask).await });
        }
    }
}
