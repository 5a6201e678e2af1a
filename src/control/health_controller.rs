use {
    crate::{
        board::{Health, HostList, Section, Sheet, StopPhase, Writer},
        port::Clock,
    },
    std::time::Duration,
    tokio::sync::mpsc,
};

/// Writes the `health` section from the age of the host list, the sheet in force and the state of
/// a planned stop.
#[derive(Debug)]
pub struct HealthController<C> {
    clock: C,
    writer: Writer<Health>,
    hosts: Section<HostList>,
    sheet: Section<Sheet>,
    max_age: Duration,
    stop: mpsc::Receiver<()>,
}

/// Handle with which a planned stop is announced.
#[derive(Clone, Debug)]
pub struct HealthHandle {
    stop: mpsc::Sender<()>,
}

impl HealthHandle {
    /// Creates a handle and the receiver of its announcement.
    pub fn new() -> (Self, mpsc::Receiver<()>) {
        let (stop, receiver) = mpsc::channel(1);
        (Self { stop }, receiver)
    }

    /// Announces that a planned stop has begun; a repeated announcement has no effect.
    pub fn announce_stop(&self) {
        if self.stop.try_send(()).is_err() {
            log::debug!("planned stop already announced; repetition ignored");
        }
    }
}

impl<C> HealthController<C>
where
    C: Clock,
{
    /// Creates the controller; the store counts as down when the host list is older than `max_age`.
    pub fn new(
        clock: C,
        writer: Writer<Health>,
        hosts: Section<HostList>,
        sheet: Section<Sheet>,
        max_age: Duration,
    ) -> (Self, HealthHandle) {
        let (handle, stop) = HealthHandle::new();
        let controller = Self {
            clock,
            writer,
            hosts,
            sheet,
            max_age,
            stop,
        };
        (controller, handle)
    }

    /// Runs until every handle or the writer of a section has been dropped.
    pub async fn run(mut self) {
        let mut stopping = false;
        loop {
            self.publish(stopping);
            let open = tokio::select! {
                stop = self.stop.recv() => {
                    stopping = true;
                    stop.is_some()
                }
                open = self.hosts.changed() => open,
                open = self.sheet.changed() => open,
                () = self.clock.sleep(self.max_age) => true,
            };
            if !open {
                return;
            }
        }
    }

    /// Publishes the health if it has changed.
    fn publish(&mut self, stopping: bool) {
        let read_at = self.hosts.load().read_at;
        let store_reachable = read_at.0 > 0 && self.clock.now().since(read_at) <= self.max_age;
        let ready = !stopping && self.sheet.load().revision > 0;
        let health = Health {
            store_reachable,
            ready,
            stop_phase: if stopping {
                StopPhase::Stopping
            } else {
                StopPhase::Running
            },
            stop_end: None,
        };
        if **self.writer.load() != health {
            self.writer.publish(health);
        }
    }
}
