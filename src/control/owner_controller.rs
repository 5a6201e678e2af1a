use {
    crate::{
        board::{Fleet, Members, Owners, Section, Writer},
        decide::ownership::assign,
    },
    tokio::select,
};

/// Writes `Owners` whenever the members or the fleet change.
#[derive(Debug)]
pub struct OwnerController {
    /// Endpoints to assign.
    pub fleet: Section<Fleet>,
    /// Hosts to assign them to.
    pub members: Section<Members>,
    /// Section that this controller writes.
    pub owners: Writer<Owners>,
}

impl OwnerController {
    /// Runs until the writers of both inputs are gone.
    pub async fn run(mut self) {
        loop {
            self.step();
            let more = select! {
                more = self.fleet.changed() => more,
                more = self.members.changed() => more,
            };
            if !more {
                return;
            }
        }
    }

    /// Assigns once; publishes only a difference, so that readers wake up for changes alone.
    pub fn step(&mut self) {
        let next = assign(&self.fleet.load(), &self.members.load());
        let changed = {
            let now = self.owners.load();
            now.by_endpoint.len() != next.by_endpoint.len()
                || next
                    .by_endpoint
                    .iter()
                    .any(|(key, ownership)| now.by_endpoint.get(key) != Some(ownership))
        };
        if changed {
            self.owners.publish(next);
        }
    }
}
