use {
    super::HealthHandle,
    crate::board::{Fleet, Health, Routing, Section, StopPhase, Writer},
    std::time::Duration,
    tokio::{
        sync::{mpsc, watch},
        time::{Instant, sleep},
    },
};

/// Time after the announcement of a planned stop in which long requests are still taken: the
/// balancer notices the stop within it.
pub const NOTICE_TIME: Duration = Duration::from_millis(2_500);

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
        let mut stopping = None;
        loop {
            let left = stopping.map(|since: Instant| NOTICE_TIME.saturating_sub(since.elapsed()));
            self.publish(match left {
                None => StopPhase::Running,
                Some(left) if left.is_zero() => StopPhase::Closing,
                Some(_) => StopPhase::Stopping,
            });
            let lasting = tokio::select! {
                stop = self.stop.recv() => {
                    stopping = stopping.or(Some(Instant::now()));
                    stop.is_some()
                }
                () = sleep(left.unwrap_or_default()), if left.is_some_and(|left| !left.is_zero()) => true,
                more = self.routing.changed() => more,
                more = self.fleet.changed() => more,
                more = self.reached.changed() => more.is_ok(),
            };
            if !lasting {
                return;
            }
        }
    }

    fn publish(&mut self, stop: StopPhase) {
        let known = self.routing.load().version > 0 && !self.fleet.load().endpoints.is_empty();
        let before = **self.writer.load();
        let health = Health {
            store: *self.reached.borrow_and_update(),
            ready: stop == StopPhase::Running && (known || before.ready),
            stop,
        };
        if before != health {
            log::info!(ready = health.ready, store = health.store, stop:? = stop; "health changed");
            self.writer.publish(health);
        }
    }
}
