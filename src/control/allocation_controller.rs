use {
    super::{AllocationHandle, allocation_handle::AllocationMessage, crash_counter::CrashCounter},
    crate::{
        board::{Blackboard, Endpoint, Role, Tick},
        decide::{EngineLimits, Ledger, Placement, PlacementTurns, WaitBudget, WaitingPlacement},
        port::{
            CallEnd, CallVerdict, Clock, PlacementEnd, PlacementOutcome, PlacementReply,
            PlacementRequest, PlacerHandover, RefusalUpdate, ReportedCrash, RunEnd,
        },
    },
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
    tokio::sync::{mpsc, oneshot},
};

/// Longest time for which a request is held here before the requester has to send it again.
const MAX_HOLD_TIME: Duration = Duration::from_millis(100);

/// Interval at which waiting requests are tried again although no placement has ended.
const RETRY_INTERVAL: Duration = Duration::from_millis(30);

/// Time for which an engine gets no requests after a daemon has reported it as unreachable.
const UNREACHABLE_TIME: Duration = Duration::from_millis(700);

/// Messages that may wait for the controller; further ones are refused.
const MAILBOX_CAPACITY: usize = 1_024;

/// Chooses the engines for the streams of the pools that this daemon places.
///
/// It alone holds the ledgers of these pools; other daemons send it their requests.
#[derive(Debug)]
pub struct AllocationController<C> {
    board: Blackboard,
    clock: C,
    mailbox: mpsc::Receiver<AllocationMessage>,
    ledgers: HashMap<String, Ledger>,
    waiting: Vec<WaitingRequest>,
    turns: PlacementTurns,
    unreachable: HashMap<String, Tick>,
    limits: EngineLimits,
    crashes: CrashCounter,
}

/// A placement request that waits for free engines.
#[derive(Debug)]
struct WaitingRequest {
    request: PlacementRequest,
    arrived: Tick,
    until: Tick,
    reply: oneshot::Sender<PlacementReply>,
}

impl WaitingPlacement for WaitingRequest {
    fn request(&self) -> &PlacementRequest {
        &self.request
    }

    fn arrived(&self) -> Tick {
        self.arrived
    }
}

impl<C> AllocationController<C>
where
    C: Clock,
{
    /// Creates the controller and its handle.
    pub fn new(board: Blackboard, clock: C) -> (Self, AllocationHandle) {
        let (sender, mailbox) = mpsc::channel(MAILBOX_CAPACITY);
        let (crashes, refusals) = CrashCounter::new();
        let handle = AllocationHandle {
            board: board.clone(),
            mailbox: sender,
            refusals,
        };
        let controller = Self {
            board,
            clock,
            mailbox,
            ledgers: HashMap::new(),
            waiting: Vec::new(),
            turns: PlacementTurns::default(),
            unreachable: HashMap::new(),
            limits: EngineLimits::default(),
            crashes,
        };
        (controller, handle)
    }

    /// Runs until every handle has been dropped.
    pub async fn run(mut self) {
        loop {
            let has_waiting = !self.waiting.is_empty();
            let message = tokio::select! {
                message = self.mailbox.recv() => match message {
                    Some(message) => Some(message),
                    None => return,
                },
                () = self.clock.sleep(RETRY_INTERVAL), if has_waiting => None,
            };
            match message {
                Some(AllocationMessage::Place(request, reply)) => self.enqueue(request, reply),
                Some(AllocationMessage::Adopt(handover)) => self.adopt(&handover),
                Some(AllocationMessage::End(end)) => self.end(&end),
                Some(AllocationMessage::Refuse(update)) => self.refuse(&update),
                Some(AllocationMessage::EndCall(end, reply)) => {
                    // A requester that has left needs no verdict.
                    let _ = reply.send(self.end_call(&end));
                }
                None => {}
            }
            self.place_waiting();
        }
    }

    /// Refuses what another daemon refuses, and no longer what it has cleared.
    fn refuse(&mut self, update: &RefusalUpdate) {
        let now = self.clock.now();
        for pool in &update.pools {
            self.crashes.merge(&pool.refused, &pool.cleared, now);
        }
    }

    /// Enters placements that another daemon has made, and takes over the crashes that it saw and what it
    /// refuses.
    fn adopt(&mut self, handover: &PlacerHandover) {
        let now = self.clock.now();
        for placement in &handover.placements {
            self.ledger(&placement.request.pool, now)
                .add_remote(placement, now);
        }
        self.crashes.adopt(&handover.pool, &handover.refused, now);
        for crash in &handover.crashes {
            self.crashes.record_crash(&handover.pool, crash, now);
        }
        log::info!(
            runs = handover.placements.len(),
            crashes = handover.crashes.len(),
            refused = handover.refused.len();
            "placements taken over from another daemon"
        );
    }

    /// Releases a placement and records how its run ended.
    fn end(&mut self, end: &PlacementEnd) {
        let now = self.clock.now();
        self.record_end(&end.pool, end.run, &end.crash(), now);
        if let Some(ledger) = self.ledgers.get_mut(&end.pool) {
            ledger.end(end, now);
        }
    }

    /// Records how a call at a plain service ended, and returns what that means for calls like it.
    fn end_call(&mut self, end: &CallEnd) -> CallVerdict {
        let now = self.clock.now();
        if end.run == RunEnd::Crashed {
            // Nobody asks before a call is sent: one that is refused came from a daemon that did not know
            // so, or after the time was over.
            self.crashes.record_placement(&end.causes, now);
        }
        self.record_end(&end.pool, end.run, &end.crash(), now);
        CallVerdict {
            suspect: self.crashes.is_suspect(&end.causes),
            refused: self.crashes.refused().list(now),
        }
    }

    /// Records what the end of a run tells of what crashes endpoints; `crash` holds, if it is one.
    fn record_end(&mut self, pool: &str, run: RunEnd, crash: &ReportedCrash, now: Tick) {
        match run {
            RunEnd::Unknown => self.crashes.record_unknown(&crash.causes, now),
            RunEnd::Answered => self.crashes.record_answer(pool, &crash.causes, now),
            RunEnd::Crashed => self.crashes.record_crash(pool, crash, now),
        }
    }

    /// Queues a request and marks the engines that its sender cannot reach.
    fn enqueue(&mut self, request: PlacementRequest, reply: oneshot::Sender<PlacementReply>) {
        let now = self.clock.now();
        for name in &request.unreachable {
            self.unreachable
                .insert(name.clone(), now + UNREACHABLE_TIME);
        }
        self.limits.merge(&request.limits, now);
        let arrived = now.before(request.waited);
        self.waiting.push(WaitingRequest {
            request,
            arrived,
            until: now + MAX_HOLD_TIME,
            reply,
        });
    }

    /// Places the waiting requests that fit, in the order of `PlacementTurns`.
    ///
    /// A request that does not fit keeps the later ones of its pool waiting, until it has been held
    /// for `MAX_HOLD_TIME` and its requester has to send it again.
    fn place_waiting(&mut self) {
        let now = self.clock.now();
        if self.board.health.load().stopping() {
            // The ledgers are lost when this daemon stops, so it makes no further placements.
            for waiting in std::mem::take(&mut self.waiting) {
                self.reply(waiting, PlacementOutcome::Unavailable, now);
            }
            return;
        }
        self.waiting.retain(|waiting| !waiting.reply.is_closed());
        let mut queue = std::mem::take(&mut self.waiting);
        self.turns.order(&mut queue, &self.ledgers, now);
        let mut queue = VecDeque::from(queue);
        let mut blocked = Vec::<String>::new();
        let mut still_waiting = Vec::new();
        while let Some(waiting) = queue.pop_front() {
            let refused = self.crashes.refused();
            if let Some(left) = refused.remaining(&waiting.request.causes, now) {
                self.reply(waiting, PlacementOutcome::Refused(left), now);
                continue;
            }
            let pool = &waiting.request.pool;
            let placed = if blocked.contains(pool) {
                None
            } else {
                self.place(&waiting.request, now)
            };
            match placed {
                Some(placement) => {
                    if self.turns.record(&waiting, queue.iter(), now) {
                        let queue = queue.make_contiguous();
                        self.turns.order(queue, &self.ledgers, now);
                    }
                    Self::log_placement(&waiting, &placement, now);
                    let Placement {
                        decode, prefill, ..
                    } = placement;
                    let suspect = self.crashes.is_suspect(&waiting.request.causes);
                    self.crashes.record_placement(&waiting.request.causes, now);
                    let outcome = PlacementOutcome::Placed {
                        decode,
                        prefill,
                        suspect,
                    };
                    self.reply(waiting, outcome, now);
                }
                None if let Some(wait) = self.limited(&waiting, now) => {
                    self.reply(waiting, PlacementOutcome::Limited(wait), now);
                }
                None if waiting.until <= now => {
                    let others = queue.len() + still_waiting.len();
                    self.log_wait(&waiting, others, now);
                    self.reply(waiting, PlacementOutcome::Wait, now);
                }
                None => {
                    blocked.push(pool.clone());
                    still_waiting.push(waiting);
                }
            }
        }
        self.waiting = still_waiting;
    }

    /// Sends the outcome of a request to its requester, with the causes that are refused.
    fn reply(&self, waiting: WaitingRequest, outcome: PlacementOutcome, now: Tick) {
        let reply = PlacementReply {
            outcome,
            refused: self.crashes.refused().list(now),
        };
        if let Err(reply) = waiting.reply.send(reply) {
            let id = waiting.request.id;
            log::debug!(id; "requester has left; outcome not sent: {:?}", reply.outcome);
        }
    }

    /// Logs the state of the pool that keeps a request waiting beside `others`.
    fn log_wait(&self, waiting: &WaitingRequest, others: usize, now: Tick) {
        let ledger = self.ledgers.get(&waiting.request.pool);
        let Some(pressure) = ledger.map(|ledger| ledger.pressure(now)) else {
            return;
        };
        log::info!(
            place = waiting.request.id,
            pool = waiting.request.pool.as_str(),
            priority = waiting.request.priority,
            waited_ms = (now - waiting.arrived).as_millis() as u64,
            readers = pressure.prefill_engines,
            decoders = pressure.decode_engines,
            least_fill = pressure.min_fill,
            waiting = others;
            "no engine is free; requester has to retry"
        );
    }

    /// Logs a placement with the figures that decided it.
    fn log_placement(waiting: &WaitingRequest, placement: &Placement, now: Tick) {
        let figures = &placement.figures;
        log::info!(
            place = waiting.request.id,
            pool = waiting.request.pool.as_str(),
            decode = placement.decode.as_str(),
            prefill = placement.prefill.as_deref().unwrap_or("in place"),
            priority = waiting.request.priority,
            waited_ms = (now - waiting.arrived).as_millis() as u64,
            line_ms = figures.queue_time.map(|time| time.as_millis() as u64),
            peak = figures.peak,
            reading = figures.prefill_rate,
            writing = figures.decode_rate;
            "placed"
        );
    }

    /// Chooses engines for a request; `None` if nothing fits at present.
    fn place(&mut self, request: &PlacementRequest, now: Tick) -> Option<Placement> {
        let placement = self.ledger(&request.pool, now).place(request, now)?;
        let engines = std::iter::once(&placement.decode).chain(&placement.prefill);
        for engine in engines {
            self.limits.record_request(engine, now);
        }
        Some(placement)
    }

    /// Returns the time until the first decode engine of the pool takes a request again, if the limits
    /// that all of them stated keep `waiting` for longer than it can wait.
    fn limited(&self, waiting: &WaitingRequest, now: Tick) -> Option<Duration> {
        let request = &waiting.request;
        let fleet = self.board.fleet.load();
        let pool = fleet.pools.get(fleet.pools.find(&request.pool)?)?;
        let engines = pool.members.iter();
        let engines = engines.filter_map(|key| fleet.endpoints.get(*key));
        let decoders =
            engines.filter(|engine| engine.role == Role::Decode && self.is_available(engine, now));
        let wait = decoders.map(|engine| self.limit_wait(engine, now)).min()?;
        let budget = WaitBudget::of(request.target).placement;
        (now - waiting.arrived + wait > budget && !wait.is_zero()).then_some(wait)
    }

    /// Returns the time until `engine` takes a request again by the limit that it stated; zero if it
    /// does now.
    fn limit_wait(&self, engine: &Endpoint, now: Tick) -> Duration {
        let incarnation = engine.counters.traffic.incarnation();
        self.limits.wait(&engine.name, incarnation, now)
    }

    /// Returns whether `engine` may get requests but for its limit.
    fn is_available(&self, engine: &Endpoint, now: Tick) -> bool {
        let unreachable = self.unreachable.get(&engine.name);
        let traffic = &engine.counters.traffic;
        let leaves = engine.draining || traffic.is_leaving();
        !leaves && !traffic.is_avoided(now) && unreachable.is_none_or(|until| *until <= now)
    }

    /// Returns the ledger of a pool, brought up to date with the engines in the fleet.
    fn ledger(&mut self, pool: &str, now: Tick) -> &mut Ledger {
        let fleet = self.board.fleet.snapshot();
        let routing = self.board.routing.load();
        let found = fleet.pools.find(pool).and_then(|key| fleet.pools.get(key));
        let engines = found
            .into_iter()
            .flat_map(|pool| &pool.members)
            .filter_map(|key| fleet.endpoints.get(*key));
        let engines: Vec<_> = engines
            .map(|engine| {
                let usable = self.is_available(engine, now);
                (engine, usable && self.limit_wait(engine, now).is_zero())
            })
            .collect();
        let scarce = engines.iter().map(|(engine, _)| &engine.name);
        let scarce = scarce.filter(|name| self.limits.is_scarce(name, now));
        let scarce = scarce.cloned().collect();
        let plan = routing.pools.get(pool);
        let memory = plan.map_or(0, |plan| plan.memory_tokens);
        let ledger = self.ledgers.entry(pool.to_owned()).or_default();
        ledger.sync(engines.into_iter(), memory);
        ledger.set_scarce(scarce);
        ledger
    }
}
