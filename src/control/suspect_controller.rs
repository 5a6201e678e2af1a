use {
    crate::{
        board::{Suspect, Suspects, Writer},
        decide::{expire, merge, next_expiry, record_crash},
        port::{Clock, SuspectUpdate},
    },
    std::time::Duration,
    tokio::sync::{mpsc, oneshot},
};

/// Sleep while there is no suspect that could expire.
const MAX_SLEEP: Duration = Duration::from_hours(1);

/// Messages that may wait for the controller; further ones are dropped, since a request that
/// crashes endpoints is reported again at its next crash.
const MAILBOX_CAPACITY: usize = 1_024;

/// Writes the `suspects` section: requests that may crash endpoints, by their fingerprint.
#[derive(Debug)]
pub struct SuspectController<C> {
    clock: C,
    writer: Writer<Suspects>,
    mailbox: mpsc::Receiver<SuspectMessage>,
    lifetime: Duration,
}

/// Handle with which the rest of the daemon reports crashes to the suspect controller.
#[derive(Clone, Debug)]
pub struct SuspectHandle {
    mailbox: mpsc::Sender<SuspectMessage>,
}

/// Message to the controller.
#[derive(Debug)]
enum SuspectMessage {
    /// An endpoint crashed while running a request.
    Crash {
        /// Fingerprint of the request.
        fingerprint: u64,
        /// Name of the endpoint.
        endpoint: String,
        /// Notified when the section shows the crash.
        applied: oneshot::Sender<()>,
    },
    /// Another host sent the suspects that it knows.
    Update(Vec<SuspectUpdate>),
    /// An operator cleared the suspect with this fingerprint, or all suspects.
    Clear(Option<u64>),
}

impl SuspectHandle {
    /// Reports that `endpoint` crashed while running the request with this fingerprint.
    ///
    /// Returns when the section shows it, or at once if the controller is overloaded or has
    /// stopped.
    pub async fn report_crash(&self, fingerprint: u64, endpoint: &str) {
        let (applied, shown) = oneshot::channel();
        self.send(SuspectMessage::Crash {
            fingerprint,
            endpoint: endpoint.to_owned(),
            applied,
        });
        // An error means that the message was dropped or the controller has stopped.
        let _ = shown.await;
    }

    /// Reports the suspects that another host knows.
    pub fn report_suspects(&self, updates: Vec<SuspectUpdate>) {
        if !updates.is_empty() {
            self.send(SuspectMessage::Update(updates));
        }
    }

    /// Clears the suspect with this fingerprint, or all suspects if it is `None`.
    pub fn clear(&self, fingerprint: Option<u64>) {
        self.send(SuspectMessage::Clear(fingerprint));
    }

    /// Sends a message without waiting; it is dropped if there is no room.
    fn send(&self, message: SuspectMessage) {
        if self.mailbox.try_send(message).is_err() {
            log::warn!("suspect controller overloaded or stopped; message dropped");
        }
    }
}

impl<C> SuspectController<C>
where
    C: Clock,
{
    /// Creates the controller and its handle; a suspect expires `lifetime` after its last crash.
    pub fn new(clock: C, writer: Writer<Suspects>, lifetime: Duration) -> (Self, SuspectHandle) {
        let (sender, mailbox) = mpsc::channel(MAILBOX_CAPACITY);
        (
            Self {
                clock,
                writer,
                mailbox,
                lifetime,
            },
            SuspectHandle { mailbox: sender },
        )
    }

    /// Runs until every handle has been dropped.
    pub async fn run(mut self) {
        loop {
            let next = next_expiry(&self.writer.load(), self.clock.now());
            let sleep = self.clock.sleep(next.unwrap_or(MAX_SLEEP));
            tokio::select! {
                message = self.mailbox.recv() => match message {
                    Some(message) => self.apply(message),
                    None => return,
                },
                () = sleep => {}
            }
            self.expire();
        }
    }

    /// Handles one message.
    fn apply(&mut self, message: SuspectMessage) {
        let expires = self.clock.now() + self.lifetime;
        match message {
            SuspectMessage::Crash {
                fingerprint,
                endpoint,
                applied,
            } => {
                let refused = self
                    .writer
                    .update(|all| record_crash(all, fingerprint, &endpoint, expires));
                log::warn!(
                    print = fingerprint,
                    endpoint = endpoint.as_str(),
                    refused;
                    "endpoint crashed while running a request, which is now a crash suspect"
                );
                let _ = applied.send(());
            }
            SuspectMessage::Update(updates) => self.merge(&updates),
            SuspectMessage::Clear(Some(fingerprint)) => {
                self.writer
                    .update(|all| all.by_fingerprint.remove(&fingerprint));
            }
            SuspectMessage::Clear(None) => self.writer.publish(Suspects::default()),
        }
    }

    /// Merges the suspects of another host; publishes if anything was new.
    fn merge(&mut self, updates: &[SuspectUpdate]) {
        let now = self.clock.now();
        let mut next = Suspects::clone(&self.writer.load());
        let mut changed = false;
        for update in updates {
            let suspect = Suspect {
                endpoints: update.endpoints.clone(),
                refused: update.refused,
                expires: now + update.remaining.min(self.lifetime),
            };
            changed |= merge(&mut next, update.fingerprint, &suspect);
        }
        if changed {
            self.writer.publish(next);
        }
    }

    /// Removes expired suspects; publishes if there were any.
    fn expire(&mut self) {
        let now = self.clock.now();
        let mut next = Suspects::clone(&self.writer.load());
        if expire(&mut next, now) {
            self.writer.publish(next);
        }
    }
}
