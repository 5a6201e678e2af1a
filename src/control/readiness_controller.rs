use {
    super::HealthHandle,
    crate::{
        board::{Fleet, Health, Routing, Section, StopPhase, Tick, Writer},
        port::Clock,
    },
    std::time::Duration,
    tokio::sync::{mpsc, watch},
};

/// Time after the announcement of a planned stop during which long requests are still accepted,
/// because the load balancer needs up to this time to notice the stop.
pub const STOP_NOTICE_TIME: Duration = Duration::from_millis(2_500);

/// Writes the `health` section of a forwarding daemon, which is ready once it knows routes and
/// endpoints.
///
/// A ready daemon stays ready, also without endpoints, until a planned stop is announced.
#[derive(Debug)]
pub struct ReadinessController<C> {
    parts: ReadinessParts<C>,
    stop: mpsc::Receiver<()>,
}

/// What a readiness controller works with.
#[derive(Debug)]
pub struct ReadinessParts<C> {
    /// Writer of the section.
    pub writer: Writer<Health>,
    /// Routes in force.
    pub routing: Section<Routing>,
    /// Endpoints.
    pub fleet: Section<Fleet>,
    /// Whether the store responds.
    pub reachable: watch::Receiver<bool>,
    /// Source of time and sleep.
    pub clock: C,
    /// Time from the announcement of a planned stop until forwarded requests have to be answered.
    pub stop_time: Duration,
}

impl<C> ReadinessController<C>
where
    C: Clock,
{
    /// Creates the controller and the handle that announces a planned stop.
    pub fn new(parts: ReadinessParts<C>) -> (Self, HealthHandle) {
        let (handle, stop) = HealthHandle::new();
        (Self { parts, stop }, handle)
    }

    /// Runs until every handle, or the writer of a section, is dropped.
    pub async fn run(mut self) {
        let mut stopping = None;
        loop {
            let now = self.parts.clock.now();
            let left =
                stopping.map(|since: Tick| STOP_NOTICE_TIME.saturating_sub(now.since(since)));
            let phase = match left {
                None => StopPhase::Running,
                Some(left) if left.is_zero() => StopPhase::Closing,
                Some(_) => StopPhase::Stopping,
            };
            let stop_time = self.parts.stop_time;
            self.publish(phase, stopping.map(|since| since + stop_time));
            let open = tokio::select! {
                stop = self.stop.recv() => {
                    stopping = stopping.or_else(|| Some(self.parts.clock.now()));
                    stop.is_some()
                }
                () = self.parts.clock.sleep(left.unwrap_or_default()), if left.is_some_and(|left| !left.is_zero()) => true,
                more = self.parts.routing.changed() => more,
                more = self.parts.fleet.changed() => more,
                more = self.parts.reachable.changed() => more.is_ok(),
            };
            if !open {
                return;
            }
        }
    }

    /// Publishes and logs the health if it has changed.
    fn publish(&mut self, stop_phase: StopPhase, stop_end: Option<Tick>) {
        let parts = &mut self.parts;
        let known = parts.routing.load().version > 0 && !parts.fleet.load().endpoints.is_empty();
        let before = **parts.writer.load();
        let health = Health {
            store_reachable: *parts.reachable.borrow_and_update(),
            ready: stop_phase == StopPhase::Running && (known || before.ready),
            stop_phase,
            stop_end,
        };
        if before != health {
            log::info!(ready = health.ready, store = health.store_reachable, stop:? = stop_phase; "health of this daemon changed");
            parts.writer.publish(health);
        }
    }
}
