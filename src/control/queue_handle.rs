use {
    super::queue_message::{CallId, QueueMessage},
    crate::{
        key::AttemptId,
        port::{Denial, Grant, GrantQueue, GrantRelease, GrantRequest},
    },
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    tokio::sync::{mpsc::UnboundedSender, oneshot},
};

/// Handle to the queues of the endpoints that this host owns.
#[derive(Clone, Debug)]
pub struct QueueHandle {
    mailbox: UnboundedSender<QueueMessage>,
    next_call: Arc<AtomicU64>,
}

impl QueueHandle {
    /// Creates a handle that sends to the controller's mailbox.
    pub(super) fn new(mailbox: UnboundedSender<QueueMessage>) -> Self {
        Self {
            mailbox,
            next_call: Arc::new(AtomicU64::new(0)),
        }
    }

    /// Denies all waiting and future requests, and returns when every orphan has been cancelled or
    /// the controller has stopped.
    pub async fn drain(&self) {
        let (done, drained) = oneshot::channel();
        self.send(QueueMessage::Drain(done));
        // An error means that the controller has already stopped.
        let _ = drained.await;
    }

    /// Stops the controller without waiting for its end.
    pub fn stop(&self) {
        self.send(QueueMessage::Stop);
    }

    /// Sends a message; it is dropped if the controller has stopped.
    pub(super) fn send(&self, message: QueueMessage) {
        let _ = self.mailbox.send(message);
    }
}

impl GrantQueue for QueueHandle {
    async fn acquire(&self, request: GrantRequest) -> Result<Grant, Denial> {
        let call = CallId(self.next_call.fetch_add(1, Ordering::Relaxed));
        let (reply, outcome) = oneshot::channel();
        let mut guard = AcquireGuard {
            mailbox: &self.mailbox,
            call,
            armed: true,
        };
        let message = QueueMessage::Acquire {
            request,
            call,
            reply,
        };
        if self.mailbox.send(message).is_err() {
            return Err(Denial::Stopping);
        }
        let result = outcome.await.unwrap_or(Err(Denial::Stopping));
        guard.armed = false;
        result
    }

    fn release(&self, release: GrantRelease) {
        self.send(QueueMessage::Release(release));
    }

    fn withdraw(&self, attempt: AttemptId) {
        self.send(QueueMessage::Withdraw(attempt));
    }
}

/// Abandons the call when its future is dropped before the outcome has arrived.
struct AcquireGuard<'a> {
    mailbox: &'a UnboundedSender<QueueMessage>,
    call: CallId,
    armed: bool,
}

impl Drop for AcquireGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            let _ = self.mailbox.send(QueueMessage::Abandon(self.call));
        }
    }
}
