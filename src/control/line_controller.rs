use {
    super::{
        line_mail::LineMail, line_state::LineState, lines::Lines, orphan_cancel::cancel_orphan,
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

/// Longest sleep when nothing is due.
const IDLE_WAIT: Duration = Duration::from_mins(1);

/// Messages taken from the mailbox before the lines are served again.
const MAIL_BATCH: usize = 64;

/// Grants the memory of the endpoints that this host owns.
///
/// It sleeps on its mailbox, on changes of the sections that it reads, and on the earliest
/// deadline in its lines.
#[derive(Debug)]
pub struct LineController<C, E>
where
    C: Clock,
    E: Engine,
{
    clock: C,
    engine: E,
    board: Blackboard,
    mail: UnboundedReceiver<LineMail>,
    state: LineState,
    cancels: JoinSet<GrantKey>,
    drains: Vec<Sender<()>>,
}

impl<C, E> LineController<C, E>
where
    C: Clock,
    E: Engine,
{
    /// Creates the controller and the handle to its lines.
    pub fn new(board: Blackboard, clock: C, engine: E) -> (Self, Lines) {
        let (sender, mail) = unbounded_channel();
        let controller = Self {
            clock,
            engine,
            board,
            mail,
            state: LineState::default(),
            cancels: JoinSet::new(),
            drains: Vec::new(),
        };
        (controller, Lines::new(sender))
    }

    /// Runs until `Lines::stop` is called or every handle is gone.
    pub async fn run(mut self) {
        self.state.follow(&self.board, self.clock.now());
        while self.step().await {
            let now = self.clock.now();
            self.state.expire(now);
            self.state.serve(&self.board, now);
            self.start_cancels();
            self.finish_drains();
        }
    }

    /// Sleeps until something happens and takes it in; `false` ends the controller.
    async fn step(&mut self) -> bool {
        let wait = self.state.next_due(self.clock.now()).min(IDLE_WAIT);
        select! {
            mail = self.mail.recv() => return self.take_batch(mail),
            Some(done) = self.cancels.join_next() => {
                if let Ok(key) = done {
                    self.state.cancelled(key, self.clock.now());
                }
            }
            () = next_change(&mut self.board.fleet) => self.follow(),
            () = next_change(&mut self.board.owners) => self.follow(),
            () = next_change(&mut self.board.members) => self.follow(),
            () = self.clock.sleep(wait) => {}
        }
        true
    }

    /// Takes in a bounded number of messages.
    fn take_batch(&mut self, first: Option<LineMail>) -> bool {
        let mut next = first;
        for _ in 0..MAIL_BATCH {
            let Some(mail) = next else {
                return false;
            };
            if !self.take(mail) {
                return false;
            }
            match self.mail.try_recv() {
                Ok(mail) => next = Some(mail),
                Err(_) => return true,
            }
        }
        next.is_none_or(|mail| self.take(mail))
    }

    /// Takes in one message; `false` ends the controller.
    fn take(&mut self, mail: LineMail) -> bool {
        let now = self.clock.now();
        match mail {
            LineMail::Acquire { ask, ticket, reply } => {
                self.state.join(&self.board, ask, ticket, reply, now);
            }
            LineMail::Abandon(ticket) => self.state.abandon(ticket, now),
            LineMail::Release(release) => self.state.release(&self.board, &release, now),
            LineMail::Withdraw(attempt) => self.state.withdraw(attempt, now),
            LineMail::Load { endpoint, report } => {
                self.state.reported(&self.board, endpoint, &report, now);
            }
            LineMail::Silent(endpoint) => self.state.silent(&self.board, endpoint, now),
            LineMail::Cache { endpoint, events } => self.state.cached(endpoint, &events),
            LineMail::Drain(done) => {
                self.state.close();
                self.drains.push(done);
            }
            LineMail::Stop => return false,
        }
        true
    }

    /// Follows changes of the fleet, the owners and the members.
    fn follow(&mut self) {
        self.state.follow(&self.board, self.clock.now());
    }

    /// Starts a task for each orphan that has none.
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

    /// Tells those who wait for the drain when no orphan is left.
    fn finish_drains(&mut self) {
        if !self.cancels.is_empty() {
            return;
        }
        for done in self.drains.drain(..) {
            // The one who asked may have gone.
            let _ = done.send(());
        }
    }
}

/// Waits for the next change of a section; for ever when its writer is gone.
async fn next_change<T>(section: &mut Section<T>) {
    if !section.changed().await {
        pending::<()>().await;
    }
}
