use {
    crate::{
        board::{Fleet, Members, Owners, Section, Writer},
        decide::ownership::assign,
    },
    tokio::select,
};

/// Writes the `owners` section: assigns the endpoints to hosts whenever the members or the fleet
/// change.
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
    /// Runs until the writer of the fleet or of the members has been dropped.
    pub async fn run(mut self) {
        loop {
            self.step();
            let open = select! {
                open = self.fleet.changed() => open,
                open = self.members.changed() => open,
            };
            if !open {
                return;
            }
        }
    }

    /// Assigns the owners once; publishes them only if they differ, so that readers wake up only
    /// for changes.
    pub fn step(&mut self) {
        let next = assign(&self.fleet.load(), &self.members.load());
        let changed = {
            let current = self.owners.load();
            current.by_endpoint.len() != next.by_endpoint.len()
                || next
                    .by_endpoint
                    .iter()
                    .any(|(key, ownership)| current.by_endpoint.get(key) != Some(ownership))
        };
        if changed {
            self.owners.publish(next);
        }
    }
}
