use {
    crate::{
        board::{Blackboard, Tick},
        decide::{CrashRecord, Ledger, Placement},
        port::{Clock, PeerCall, PeerReply, PlaceAsk, PlaceEnd, PlaceOutcome, PlaceRun},
    },
    std::{collections::HashMap, time::Duration},
    tokio::sync::{mpsc, oneshot},
};

/// Longest time for which an ask waits before it is to be sent again.
const HOLD_TIME: Duration = Duration::from_millis(100);

/// Time after which waiting requests are looked at again though nothing ended.
const LOOK_TIME: Duration = Duration::from_millis(30);

/// Time for which an engine gets nothing after a daemon could not reach it.
const DOUBT_TIME: Duration = Duration::from_millis(700);

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
    doubts: HashMap<String, Tick>,
    crashes: CrashRecord,
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
    Adopt(Vec<PlaceRun>),
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
    /// Answers a call of another daemon, or of this one.
    pub async fn answer(&self, call: PeerCall) -> PeerReply {
        match call {
            PeerCall::Place(ask) => PeerReply::Place(self.place(ask).await),
            PeerCall::PlaceRuns(runs) => {
                self.adopt(runs);
                PeerReply::Done
            }
            PeerCall::PlaceEnd(end) => {
                self.end(end);
                PeerReply::Done
            }
            _ => PeerReply::Failed("this daemon serves no sheet".to_owned()),
        }
    }

    /// Asks for places.
    pub async fn place(&self, ask: PlaceAsk) -> PlaceOutcome {
        let (reply, outcome) = oneshot::channel();
        if self.mail.try_send(Mail::Place(ask, reply)).is_err() {
            log::warn!("the allocation controller is behind; an ask was not taken");
            return PlaceOutcome::Absent;
        }
        outcome.await.unwrap_or(PlaceOutcome::Absent)
    }

    /// Takes over requests that were placed elsewhere.
    pub fn adopt(&self, runs: Vec<PlaceRun>) {
        if self.mail.try_send(Mail::Adopt(runs)).is_err() {
            log::warn!("the allocation controller is behind; placed requests are not known");
        }
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
            doubts: HashMap::new(),
            crashes: CrashRecord::default(),
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
                Some(Mail::Adopt(runs)) => self.adopt(&runs),
                Some(Mail::End(end)) => {
                    if let Some(print) = end.crashed {
                        self.crashes.strike(print, self.clock.now());
                        log::info!(id = end.id, print; "an engine broke off before any event");
                    }
                    let now = self.clock.now();
                    if let Some(ledger) = self.ledgers.get_mut(&end.pool) {
                        ledger.end(&end, now);
                    }
                }
                None => {}
            }
            self.serve();
        }
    }

    fn adopt(&mut self, runs: &[PlaceRun]) {
        let now = self.clock.now();
        for run in runs {
            self.ledger(&run.ask.pool, now).adopt(run, now);
        }
        log::info!(runs = runs.len(); "placed requests taken over");
    }

    fn enter(&mut self, ask: PlaceAsk, reply: oneshot::Sender<PlaceOutcome>) {
        let now = self.clock.now();
        for name in &ask.silent {
            self.doubts.insert(name.clone(), now + DOUBT_TIME);
        }
        let arrived = now.before(ask.waited);
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
        if self.board.health.load().stopping() {
            // Nobody keeps the plan once this daemon has gone.
            for waiting in self.waiting.drain(..) {
                if waiting.reply.send(PlaceOutcome::Absent).is_err() {
                    log::debug!(id = waiting.ask.id; "the asker has gone");
                }
            }
            return;
        }
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
                Some(placement) => {
                    let id = waiting.ask.id;
                    Self::note(&waiting, &placement, now);
                    let Placement {
                        decode, prefill, ..
                    } = placement;
                    let suspect = self.crashes.is_suspect(waiting.ask.print);
                    let outcome = PlaceOutcome::Placed {
                        decode,
                        prefill,
                        suspect,
                    };
                    if let Err(outcome) = waiting.reply.send(outcome) {
                        log::debug!(id; "the asker has gone: {outcome:?}");
                    }
                }
                None if waiting.until <= now => {
                    self.note_wait(&waiting, now);
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

    /// Logs why a request goes on waiting.
    fn note_wait(&self, waiting: &Waiting, now: Tick) {
        let ledger = self.ledgers.get(&waiting.ask.pool);
        let Some(pressure) = ledger.map(|ledger| ledger.pressure(now)) else {
            return;
        };
        log::info!(
            place = waiting.ask.id,
            pool = waiting.ask.pool.as_str(),
            waited_ms = (now - waiting.arrived).as_millis() as u64,
            readers = pressure.readers,
            decoders = pressure.decoders,
            least_fill = pressure.fill,
            waiting = self.waiting.len();
            "no place yet"
        );
    }

    /// Logs what decided about a placement.
    fn note(waiting: &Waiting, placement: &Placement, now: Tick) {
        let figures = &placement.figures;
        log::info!(
            place = waiting.ask.id,
            pool = waiting.ask.pool.as_str(),
            decode = placement.decode.as_str(),
            prefill = placement.prefill.as_deref().unwrap_or("in place"),
            waited_ms = (now - waiting.arrived).as_millis() as u64,
            line_ms = figures.line.map(|line| line.as_millis() as u64),
            peak = figures.peak,
            reading = figures.reading,
            writing = figures.writing;
            "placed"
        );
    }

    fn place(&mut self, ask: &PlaceAsk, now: Tick) -> Option<Placement> {
        self.ledger(&ask.pool, now).place(ask, now)
    }

    /// The ledger of a pool with the engines that it has now.
    fn ledger(&mut self, pool: &str, now: Tick) -> &mut Ledger {
        let doubts = &self.doubts;
        let fleet = self.board.fleet.load();
        let routing = self.board.routing.load();
        let members = fleet.pools.find(pool).and_then(|key| fleet.pools.get(key));
        let engines = members
            .into_iter()
            .flat_map(|pool| &pool.members)
            .filter_map(|key| fleet.endpoints.get(*key))
            .map(|engine| {
                let doubted = doubts.get(&engine.name).is_some_and(|until| *until > now);
                let avoided = engine.slot.traffic.is_avoided(now);
                (engine, !engine.leaving && !avoided && !doubted)
            });
        let plan = routing.pools.get(pool);
        let memory = plan.map_or(0, |plan| plan.memory_tokens);
        let ledger = self.ledgers.entry(pool.to_owned()).or_default();
        ledger.sync(engines, memory);
        ledger
    }
}
