use {
    super::{
        orphan_cancel::cancel_orphan, queue_handle::QueueHandle, queue_message::QueueMessage,
        queue_state::QueueState,
    },
    crate::{
        board::{Blackboard, Section},
        key::GrantKey,
        port::{Clock, Engine},
    },
    std::{future::pending, time::Duration},
    tokio::{
        select,
        sync::{
            mpsc::{UnboundedReceiver, unbounded_channel},
            oneshot::Sender,
        },
        task::JoinSet,
    },
};

/// Longest sleep while no deadline is nearer.
const MAX_SLEEP: Duration = Duration::from_mins(1);

/// Most messages, apart from the first, that are handled before the queues are served again.
const MAX_BATCH_MESSAGES: usize = 64;

/// Grants the memory of the endpoints that this host owns to the requests that wait for it.
///
/// It wakes up for a message, for a change of a section that it reads, and for the earliest
/// deadline of a waiting request or an endpoint.
#[derive(Debug)]
pub struct QueueController<C, E>
where
    C: Clock,
    E: Engine,
{
    clock: C,
    engine: E,
    board: Blackboard,
    mailbox: UnboundedReceiver<QueueMessage>,
    state: QueueState,
    cancels: JoinSet<GrantKey>,
    drains: Vec<Sender<()>>,
}

impl<C, E> QueueController<C, E>
where
    C: Clock,
    E: Engine,
{
    /// Creates the controller and the handle to its queues.
    pub fn new(board: Blackboard, clock: C, engine: E) -> (Self, QueueHandle) {
        let (sender, mailbox) = unbounded_channel();
        let controller = Self {
            clock,
            engine,
            board,
            mailbox,
            state: QueueState::default(),
            cancels: JoinSet::new(),
            drains: Vec::new(),
        };
        (controller, QueueHandle::new(sender))
    }

    /// Runs until `QueueHandle::stop` is called or every handle has been dropped.
    pub async fn run(mut self) {
        self.state.follow(&self.board, self.clock.now());
        while self.step().await {
            let now = self.clock.now();
            self.state.expire(now);
            self.state.grant_waiting(&self.board, now);
            self.start_cancels();
            self.finish_drains();
        }
    }

    /// Waits for the next event and handles it; `false` ends the controller.
    async fn step(&mut self) -> bool {
        let wait = self.state.next_due(self.clock.now()).min(MAX_SLEEP);
        select! {
            message = self.mailbox.recv() => return self.handle_batch(message),
            Some(done) = self.cancels.join_next() => {
                if let Ok(key) = done {
                    self.state.free_cancelled(key, self.clock.now());
                }
            }
            () = next_change(&mut self.board.fleet) => self.follow(),
            () = next_change(&mut self.board.owners) => self.follow(),
            () = next_change(&mut self.board.members) => self.follow(),
            () = self.clock.sleep(wait) => {}
        }
        true
    }

    /// Handles `first` and up to `MAX_BATCH_MESSAGES` further messages that have already arrived;
    /// `false` ends the controller.
    fn handle_batch(&mut self, first: Option<QueueMessage>) -> bool {
        let mut next = first;
        for _ in 0..MAX_BATCH_MESSAGES {
            let Some(message) = next else {
                return false;
            };
            if !self.handle(message) {
                return false;
            }
            match self.mailbox.try_recv() {
                Ok(message) => next = Some(message),
                Err(_) => return true,
            }
        }
        next.is_none_or(|message| self.handle(message))
    }

    /// Handles one message; `false` ends the controller.
    fn handle(&mut self, message: QueueMessage) -> bool {
        let now = self.clock.now();
        match message {
            QueueMessage::Acquire {
                request,
                call,
                reply,
            } => {
                self.state.enqueue(&self.board, request, call, reply, now);
            }
            QueueMessage::Abandon(call) => self.state.abandon(call, now),
            QueueMessage::Release(release) => self.state.release(&self.board, &release, now),
            QueueMessage::Withdraw(attempt) => self.state.withdraw(attempt, now),
            QueueMessage::Load { endpoint, report } => {
                self.state.apply_report(&self.board, endpoint, &report, now);
            }
            QueueMessage::LoadError(endpoint) => self.state.load_failed(&self.board, endpoint, now),
            QueueMessage::Cache { endpoint, events } => self.state.apply_events(endpoint, &events),
            QueueMessage::Drain(done) => {
                self.state.close();
                self.drains.push(done);
            }
            QueueMessage::Stop => return false,
        }
        true
    }

    /// Applies a change of the fleet, the owners or the members.
    fn follow(&mut self) {
        self.state.follow(&self.board, self.clock.now());
    }

    /// Starts a cancel task for each orphan that has none.
    fn start_cancels(&mut self) {
        for key in self.state.take_orphans() {
            let Some(entry) = self.state.grant_mut(key) else {
                continue;
            };
            let cancel = cancel_orphan(
                self.clock.clone(),
                self.engine.clone(),
                entry.address.clone(),
                entry.attempt,
                key,
            );
            entry.cancel = Some(self.cancels.spawn(cancel));
        }
    }

    /// Notifies those who wait for the drain once no cancel task is running.
    fn finish_drains(&mut self) {
        if !self.cancels.is_empty() {
            return;
        }
        for done in self.drains.drain(..) {
            // The waiting future may have been dropped.
            let _ = done.send(());
        }
    }
}

/// Waits for the next change of a section, or forever once its writer has been dropped.
async fn next_change<T>(section: &mut Section<T>) {
    if !section.changed().await {
        pending::<()>().await;
    }
}
