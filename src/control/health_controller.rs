use {
    crate::{
        board::{Health, HostList, Section, Sheet, StopPhase, Writer},
        port::Clock,
    },
    std::time::Duration,
    tokio::sync::mpsc,
};

/// Writes the `health` section from the age of the host list and the sheet in force.
#[derive(Debug)]
pub struct HealthController<C> {
    clock: C,
    writer: Writer<Health>,
    hosts: Section<HostList>,
    sheet: Section<Sheet>,
    silence: Duration,
    stop: mpsc::Receiver<()>,
}

/// Handle with which a planned stop is announced.
#[derive(Clone, Debug)]
pub struct HealthHandle {
    stop: mpsc::Sender<()>,
}

impl HealthHandle {
    /// Creates a handle and where its announcement arrives.
    pub fn new() -> (Self, mpsc::Receiver<()>) {
        let (stop, receiver) = mpsc::channel(1);
        (Self { stop }, receiver)
    }

    /// Announces that a planned stop has begun.
    pub fn stopping(&self) {
        if self.stop.try_send(()).is_err() {
            log::debug!("a stop was announced before");
        }
    }
}

impl<C> HealthController<C>
where
    C: Clock,
{
    /// Creates the controller; the store counts as down after `silence` without a host list.
    pub fn new(
        clock: C,
        writer: Writer<Health>,
        hosts: Section<HostList>,
        sheet: Section<Sheet>,
        silence: Duration,
    ) -> (Self, HealthHandle) {
        let (handle, stop) = HealthHandle::new();
        let controller = Self {
            clock,
            writer,
            hosts,
            sheet,
            silence,
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
                more = self.hosts.changed() => more,
                more = self.sheet.changed() => more,
                () = self.clock.sleep(self.silence) => true,
            };
            if !lasting {
                return;
            }
        }
    }

    fn publish(&mut self, stopping: bool) {
        let heard = self.hosts.load().heard;
        let listed = heard.0 > 0 && self.clock.now().since(heard) <= self.silence;
        let ready = !stopping && self.sheet.load().revision > 0;
        let health = Health {
            store: listed,
            ready,
            stop: if stopping {
                StopPhase::Stopping
            } else {
                StopPhase::Running
            },
        };
        if **self.writer.load() != health {
            self.writer.publish(health);
        }
    }
}
