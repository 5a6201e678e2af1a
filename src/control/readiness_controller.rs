use {
    super::HealthHandle,
    crate::board::{Fleet, Health, Routing, Section, Writer},
    tokio::sync::{mpsc, watch},
};

/// Writes the `health` section of a daemon that forwards: ready once routes and endpoints are known.
#[derive(Debug)]
pub struct ReadinessController {
    writer: Writer<Health>,
    routing: Section<Routing>,
    fleet: Section<Fleet>,
    reached: watch::Receiver<bool>,
    stop: mpsc::Receiver<()>,
}

impl ReadinessController {
    /// Creates the controller; `reached` tells whether the store answers.
    pub fn new(
        writer: Writer<Health>,
        routing: Section<Routing>,
        fleet: Section<Fleet>,
        reached: watch::Receiver<bool>,
    ) -> (Self, HealthHandle) {
        let (handle, stop) = HealthHandle::new();
        let controller = Self {
            writer,
            routing,
            fleet,
            reached,
            stop,
        };
        (controller, handle)
    }

    /// Runs until every handle or a section's writer is gone.
    pub async fn run(mut self) {
        let mut stopping = false;
        loop {
            self.publish(stopping);
            let lasting = tokio::select! {
                stop = self.stop.recv() => {
                    stopping = true;
                    stop.is_some()
                }
                more = self.routing.changed() => more,
                more = self.fleet.changed() => more,
                more = self.reached.changed() => more.is_ok(),
            };
            if !lasting {
                return;
            }
        }
    }

    fn publish(&mut self, stopping: bool) {
        let known = self.routing.load().version > 0 && !self.fleet.load().endpoints.is_empty();
        let before = **self.writer.load();
        let health = Health {
            store: *self.reached.borrow_and_update(),
            ready: !stopping && (known || before.ready),
            stopping,
        };
        if before != health {
            log::info!(ready = health.ready, store = health.store, stopping; "health changed");
            self.writer.publish(health);
        }
    }
}
