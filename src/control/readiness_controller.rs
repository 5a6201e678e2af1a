use {
    super::HealthHandle,
    crate::board::{Fleet, Health, Routing, Section, StopPhase, Writer},
    std::time::Duration,
    tokio::{
        sync::{mpsc, watch},
        time::{Instant, sleep},
    },
};

/// Time after the announcement of a planned stop during which long requests are still accepted,
/// because the load balancer needs up to this time to notice the stop.
pub const STOP_NOTICE_TIME: Duration = Duration::from_millis(2_500);

/// Writes the `health` section of a forwarding daemon, which is ready once it knows routes and
/// endpoints.
///
/// A ready daemon stays ready, also without endpoints, until a planned stop is announced.
#[derive(Debug)]
pub struct ReadinessController {
    writer: Writer<Health>,
    routing: Section<Routing>,
    fleet: Section<Fleet>,
    reachable: watch::Receiver<bool>,
    stop: mpsc::Receiver<()>,
}

impl ReadinessController {
    /// Creates the controller and the handle that announces a planned stop; `reachable` holds whether
    /// the store responds.
    pub fn new(
        writer: Writer<Health>,
        routing: Section<Routing>,
        fleet: Section<Fleet>,
        reachable: watch::Receiver<bool>,
    ) -> (Self, HealthHandle) {
        let (handle, stop) = HealthHandle::new();
        let controller = Self {
            writer,
            routing,
            fleet,
            reachable,
            stop,
        };
        (controller, handle)
    }

    /// Runs until every handle, or the writer of a section, is dropped.
    pub async fn run(mut self) {
        let mut stopping = None;
        loop {
            let left =
                stopping.map(|since: Instant| STOP_NOTICE_TIME.saturating_sub(since.elapsed()));
            self.publish(match left {
                None => StopPhase::Running,
                Some(left) if left.is_zero() => StopPhase::Closing,
                Some(_) => StopPhase::Stopping,
            });
            let open = tokio::select! {
                stop = self.stop.recv() => {
                    stopping = stopping.or(Some(Instant::now()));
                    stop.is_some()
                }
                () = sleep(left.unwrap_or_default()), if left.is_some_and(|left| !left.is_zero()) => true,
                more = self.routing.changed() => more,
                more = self.fleet.changed() => more,
                more = self.reachable.changed() => more.is_ok(),
            };
            if !open {
                return;
            }
        }
    }

    /// Publishes and logs the health if it has changed.
    fn publish(&mut self, stop_phase: StopPhase) {
        let known = self.routing.load().version > 0 && !self.fleet.load().endpoints.is_empty();
        let before = **self.writer.load();
        let health = Health {
            store_reachable: *self.reachable.borrow_and_update(),
            ready: stop_phase == StopPhase::Running && (known || before.ready),
            stop_phase,
        };
        if before != health {
            log::info!(ready = health.ready, store = health.store_reachable, stop:? = stop_phase; "health of this daemon changed");
            self.writer.publish(health);
        }
    }
}
