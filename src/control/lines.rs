use {
    super::line_mail::{LineMail, Ticket},
    crate::{
        key::AttemptId,
        port::{Denial, Grant, GrantAsk, GrantRelease, Line},
    },
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    tokio::sync::{mpsc::UnboundedSender, oneshot},
};

/// Handle to the lines of the endpoints that this host owns.
#[derive(Clone, Debug)]
pub struct Lines {
    mail: UnboundedSender<LineMail>,
    tickets: Arc<AtomicU64>,
}

impl Lines {
    /// Creates a handle that writes to the controller's mailbox.
    pub(super) fn new(mail: UnboundedSender<LineMail>) -> Self {
        Self {
            mail,
            tickets: Arc::new(AtomicU64::new(0)),
        }
    }

    /// Denies all waiting and coming asks, and waits until every orphan has been cancelled.
    pub async fn drain(&self) {
        let (done, drained) = oneshot::channel();
        self.post(LineMail::Drain(done));
        // An error means that the controller has already stopped.
        let _ = drained.await;
    }

    /// Ends the controller.
    pub fn stop(&self) {
        self.post(LineMail::Stop);
    }

    /// Sends a message; after the controller's end there is nothing left to tell.
    pub(super) fn post(&self, mail: LineMail) {
        let _ = self.mail.send(mail);
    }
}

impl Line for Lines {
    async fn acquire(&self, ask: GrantAsk) -> Result<Grant, Denial> {
        let ticket = Ticket(self.tickets.fetch_add(1, Ordering::Relaxed));
        let (reply, answer) = oneshot::channel();
        let mut guard = AskGuard {
            mail: &self.mail,
            ticket,
            armed: true,
        };
        let mail = LineMail::Acquire { ask, ticket, reply };
        if self.mail.send(mail).is_err() {
            return Err(Denial::Stopping);
        }
        let outcome = answer.await.unwrap_or(Err(Denial::Stopping));
        guard.armed = false;
        outcome
    }

    fn release(&self, release: GrantRelease) {
        self.post(LineMail::Release(release));
    }

    fn withdraw(&self, attempt: AttemptId) {
        self.post(LineMail::Withdraw(attempt));
    }
}

/// Withdraws the ask when the waiting future is dropped.
struct AskGuard<'a> {
    mail: &'a UnboundedSender<LineMail>,
    ticket: Ticket,
    armed: bool,
}

impl Drop for AskGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            let _ = self.mail.send(LineMail::Abandon(self.ticket));
        }
    }
}
