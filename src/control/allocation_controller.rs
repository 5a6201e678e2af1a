use {
    crate::{
        board::{Blackboard, Tick},
        decide::{Ledger, Placement},
        port::{Clock, PlaceAsk, PlaceEnd, PlaceOutcome},
    },
    std::{collections::HashMap, time::Duration},
    tokio::sync::{mpsc, oneshot},
};

/// Longest time for which an ask waits before it is to be sent again.
const HOLD_TIME: Duration = Duration::from_millis(100);

/// Time after which waiting requests are looked at again though nothing ended.
const LOOK_TIME: Duration = Duration::from_millis(30);

/// Asks and ends that may wait for the controller.
const MAIL_WAITING: usize = 1_024;

/// Places the streams of the pools for which this daemon is chosen.
#[derive(Debug)]
pub struct AllocationController<C> {
    board: Blackboard,
    clock: C,
    mail: mpsc::Receiver<Mail>,
    ledgers: HashMap<String, Ledger>,
    waiting: Vec<Waiting>,
}

/// Handle of the controller.
#[derive(Clone, Debug)]
pub struct Allocation {
    mail: mpsc::Sender<Mail>,
}

/// What the controller is told.
#[derive(Debug)]
enum Mail {
    Place(PlaceAsk, oneshot::Sender<PlaceOutcome>),
    End(PlaceEnd),
}

/// An ask that waits.
#[derive(Debug)]
struct Waiting {
    ask: PlaceAsk,
    arrived: Tick,
    until: Tick,
    reply: oneshot::Sender<PlaceOutcome>,
}

impl Allocation {
    /// Asks for places.
    pub async fn place(&self, ask: PlaceAsk) -> PlaceOutcome {
        let (reply, outcome) = oneshot::channel();
        if self.mail.try_send(Mail::Place(ask, reply)).is_err() {
            log::warn!("the allocation controller is behind; an ask was not taken");
            return PlaceOutcome::Absent;
        }
        outcome.await.unwrap_or(PlaceOutcome::Absent)
    }

    /// Gives places back.
    pub fn end(&self, end: PlaceEnd) {
        if self.mail.try_send(Mail::End(end)).is_err() {
            log::warn!("the allocation controller is behind; a place lapses by itself");
        }
    }
}

impl<C> AllocationController<C>
where
    C: Clock,
{
    /// Creates the controller.
    pub fn new(board: Blackboard, clock: C) -> (Self, Allocation) {
        let (sender, mail) = mpsc::channel(MAIL_WAITING);
        let controller = Self {
            board,
            clock,
            mail,
            ledgers: HashMap::new(),
            waiting: Vec::new(),
        };
        (controller, Allocation { mail: sender })
    }

    /// Runs until every handle is gone.
    pub async fn run(mut self) {
        loop {
            let look = !self.waiting.is_empty();
            let mail = tokio::select! {
                mail = self.mail.recv() => match mail {
                    Some(mail) => Some(mail),
                    None => return,
                },
                () = self.clock.sleep(LOOK_TIME), if look => None,
            };
            match mail {
                Some(Mail::Place(ask, reply)) => self.enter(ask, reply),
                Some(Mail::End(end)) => {
                    if let Some(ledger) = self.ledgers.get_mut(&end.pool) {
                        ledger.end(&end);
                    }
                }
                None => {}
            }
            self.serve();
        }
    }

    fn enter(&mut self, ask: PlaceAsk, reply: oneshot::Sender<PlaceOutcome>) {
        let now = self.clock.now();
        let arrived = Tick(now.0.saturating_sub(ask.waited.as_micros() as u64));
        self.waiting.push(Waiting {
            ask,
            arrived,
            until: now + HOLD_TIME,
            reply,
        });
    }

    /// Places what fits, the oldest first; what can be in time goes before what cannot.
    fn serve(&mut self) {
        let now = self.clock.now();
        self.waiting.retain(|waiting| !waiting.reply.is_closed());
        self.waiting
            .sort_by_key(|waiting| (waiting.ask.late, waiting.arrived));
        let mut blocked = Vec::<String>::new();
        let mut left = Vec::new();
        for waiting in std::mem::take(&mut self.waiting) {
            let pool = &waiting.ask.pool;
            let placed = if blocked.contains(pool) {
                None
            } else {
                self.place(&waiting.ask, now)
            };
            match placed {
                Some(Placement { decode, prefill }) => {
                    let id = waiting.ask.id;
                    let outcome = PlaceOutcome::Placed { decode, prefill };
                    if let Err(outcome) = waiting.reply.send(outcome) {
                        log::debug!(id; "the asker has gone: {outcome:?}");
                    }
                }
                None if waiting.until <= now => {
                    if waiting.reply.send(PlaceOutcome::Wait).is_err() {
                        log::debug!(id = waiting.ask.id; "the asker has gone");
                    }
                }
                None => {
                    blocked.push(pool.clone());
                    left.push(waiting);
                }
            }
        }
        self.waiting = left;
    }

    fn place(&mut self, ask: &PlaceAsk, now: Tick) -> Option<Placement> {
        let fleet = self.board.fleet.load();
        let routing = self.board.routing.load();
        let pool = fleet.pools.find(&ask.pool);
        let pool = pool.and_then(|key| fleet.pools.get(key))?;
        let members = pool.members.iter();
        let engines = members
            .filter_map(|key| fleet.endpoints.get(*key))
            .filter(|engine| !engine.leaving && !engine.slot.traffic.is_avoided(now));
        let plan = routing.pools.get(&ask.pool);
        let memory = plan.map_or(0, |plan| plan.memory_tokens);
        let ledger = self.ledgers.entry(ask.pool.clone()).or_default();
        ledger.sync(engines, memory);
        ledger.place(ask, now)
    }
}
