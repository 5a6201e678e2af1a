//! Daemons that share quotas, simulated in steps of simulated time: their messages, their list, and faults.

use {
    lentillead::{
        board::{Arena, Quota, QuotaHold, QuotaUnit},
        decide::{QuotaFleet, QuotaLimits, QuotaPool, QuotaReporter, REPORT_TIMEOUT},
        key::HostKey,
        port::{QuotaAnswer, QuotaReply, QuotaReport},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Length of a step.
pub const STEP: Duration = Duration::from_millis(10);

/// Quota of the organisation: a usual one.
pub const QUOTA: Quota = Quota {
    rate: 293_074,
    burst: 293_074,
    unit: QuotaUnit::Tokens { plain: 200 },
};

/// Number of the organisation.
const ORGANISATION: u64 = 4;

/// Cost of a stream request.
const STREAM_COST: u64 = 5_270;

/// Cost of a plain request.
const PLAIN_COST: u64 = 200;

/// Time for which a daemon does not call another one after a failed call.
const AVOID_TIME: Duration = Duration::from_secs(4);

/// Window and slack of the bound.
const WINDOW: Duration = Duration::from_secs(8);
const SLACK: f64 = 120_000.0;

/// Bound of the cost of a window.
pub fn bound() -> f64 {
    (QUOTA.rate as f64 * WINDOW.as_secs_f64() + QUOTA.burst as f64) * 1.1 + SLACK
}

/// Load of the organisation, for some time.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Demand relative to the rate of the quota.
    pub demand: f64,
    /// Part of the daemons that get requests at all.
    pub spread: f64,
    /// Part of the demand that consists of streams.
    pub streams: f64,
    /// Longest time from the admission of a request to its sending, in milliseconds.
    pub wait_ms: u64,
    /// Part of the requests that were sent and did not run.
    pub not_run: f64,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The daemon ends and starts again after some milliseconds.
    Crash { daemon: usize, down_ms: u64 },
    /// The daemon stands still for some milliseconds.
    Pause { daemon: usize, ms: u64 },
    /// All daemons up to this one cannot reach the others for some milliseconds.
    Cut { daemons: usize, ms: u64 },
    /// Messages take up to so many milliseconds, and this part of them (in percent) is lost.
    Slow {
        delay_ms: u64,
        lost_percent: u32,
        ms: u64,
    },
    /// So many daemons are added.
    Join { daemons: usize },
}

/// Result of a run.
#[derive(Debug, Default)]
pub struct Outcome {
    pub requests: u64,
    pub refused: u64,
    pub reports: u64,
    /// Cost of the requests that were sent and ran.
    pub used: u64,
    /// Most expensive window, relative to the bound.
    pub worst: f64,
}

/// A simulated site.
pub struct QuotaSite {
    now: Duration,
    rng: SmallRng,
    keys: Arena<HostKey, usize>,
    daemons: Vec<SimulatedDaemon>,
    messages: BTreeMap<(Duration, u64), Message>,
    message_number: u64,
    /// Start times of the listed daemons, and since when they are.
    list: Vec<(u64, Duration)>,
    cut: (usize, Duration),
    slow: (u64, u32, Duration),
    /// Time and cost of each request that was sent and ran.
    pub sent: Vec<(Duration, u64)>,
    pub outcome: Outcome,
    limits: BTreeMap<u64, QuotaLimits>,
}

struct SimulatedDaemon {
    key: HostKey,
    starts: u64,
    start: Duration,
    down_until: Duration,
    paused_until: Duration,
    list_lag: Duration,
    read_at: Duration,
    read: usize,
    fleet: QuotaFleet,
    reporter: QuotaReporter<u64>,
    pool: QuotaPool,
    avoided: BTreeMap<HostKey, Duration>,
    call: Option<(u64, Duration, HostKey)>,
    inbox: VecDeque<Message>,
    /// Requests that were admitted and will be sent.
    admitted: Vec<(Duration, QuotaHold)>,
    active: f64,
}

enum Message {
    Report(usize, usize, QuotaReport),
    Reply(usize, u64, Option<QuotaReply>),
}

impl QuotaSite {
    pub fn new(daemons: usize, seed: u64) -> Self {
        let limits = BTreeMap::from([(ORGANISATION, QuotaLimits::new(&QUOTA))]);
        let mut site = Self {
            now: Duration::from_secs(1_000),
            rng: SmallRng::seed_from_u64(seed),
            keys: Arena::default(),
            daemons: Vec::new(),
            messages: BTreeMap::new(),
            message_number: 0,
            list: Vec::new(),
            cut: (0, Duration::ZERO),
            slow: (0, 0, Duration::ZERO),
            sent: Vec::new(),
            outcome: Outcome::default(),
            limits,
        };
        for _ in 0..daemons {
            let delay = Duration::from_millis(site.rng.random_range(0..500));
            site.join(delay);
        }
        site
    }

    fn join(&mut self, delay: Duration) {
        let index = self.daemons.len();
        let key = self.keys.insert(&format!("h{index}"), index);
        let start = self.now + delay;
        let lag = Duration::from_millis(self.rng.random_range(100..4_000));
        let active = self.rng.random_range(0.0..1.0);
        let mut daemon = SimulatedDaemon {
            key,
            starts: 0,
            start,
            down_until: start,
            paused_until: Duration::ZERO,
            list_lag: lag,
            read_at: Duration::ZERO,
            read: 0,
            fleet: QuotaFleet::default(),
            reporter: QuotaReporter::new(0, 0, 0, start),
            pool: QuotaPool::new(0, start),
            avoided: BTreeMap::new(),
            call: None,
            inbox: VecDeque::new(),
            admitted: Vec::new(),
            active,
        };
        daemon.restart(index, start, &self.limits);
        self.daemons.push(daemon);
        self.list.push((start.as_millis() as u64, start));
    }

    pub fn fault(&mut self, fault: Fault) {
        let count = self.daemons.len();
        match fault {
            Fault::Crash { daemon, down_ms } => {
                let index = daemon % count;
                let start = self.now + Duration::from_millis(down_ms);
                self.daemons[index].restart(index, start, &self.limits);
                self.list[index].0 = start.as_millis() as u64;
            }
            Fault::Pause { daemon, ms } => {
                self.daemons[daemon % count].paused_until = self.now + Duration::from_millis(ms);
            }
            Fault::Cut { daemons, ms } => {
                self.cut = (daemons % count, self.now + Duration::from_millis(ms));
            }
            Fault::Slow {
                delay_ms,
                lost_percent,
                ms,
            } => self.slow = (delay_ms, lost_percent, self.now + Duration::from_millis(ms)),
            Fault::Join { daemons } => {
                for _ in 0..daemons {
                    let delay = Duration::from_millis(self.rng.random_range(0..500));
                    self.join(delay);
                }
            }
        }
    }

    /// Runs for `time` under `load`.
    pub fn run(&mut self, time: Duration, load: Load) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            for index in 0..self.daemons.len() {
                let daemon = &self.daemons[index];
                if self.now >= daemon.down_until && self.now >= daemon.paused_until {
                    self.step(index, load);
                }
            }
        }
    }

    /// Moves the messages that have arrived to the daemons, which may be paused.
    fn deliver(&mut self) {
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let message = entry.remove();
            let to = match &message {
                Message::Report(_, to, _) | Message::Reply(to, ..) => *to,
            };
            self.daemons[to].inbox.push_back(message);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let is_cut = self.now < self.cut.1 && (from < self.cut.0) != (to < self.cut.0);
        let is_slow = self.now < self.slow.2 && from != to;
        let lost = is_slow && self.rng.random_range(0..100) < self.slow.1;
        if is_cut || lost {
            return;
        }
        let most = if is_slow { self.slow.0.max(1) } else { 5 };
        let delay = if from == to {
            0
        } else {
            self.rng.random_range(0..most)
        };
        self.message_number += 1;
        let at = self.now + Duration::from_millis(delay);
        self.messages.insert((at, self.message_number), message);
    }

    fn step(&mut self, index: usize, load: Load) {
        self.read_list(index);
        // A daemon that resumes may see the time limit of a call or its reply first.
        if self.rng.random_range(0..2) == 0 {
            self.check_timeout(index);
        }
        while let Some(message) = self.daemons[index].inbox.pop_front() {
            match message {
                Message::Report(from, _, report) => {
                    let reply = self.daemons[index].pool.report(&report, self.now);
                    self.send(index, from, Message::Reply(from, report.sequence, reply));
                }
                Message::Reply(_, sequence, reply) => {
                    let now = self.now;
                    let daemon = &mut self.daemons[index];
                    if daemon.call.is_some_and(|(call, ..)| call == sequence) {
                        daemon.call = None;
                        let answers = match reply {
                            Some(reply) => daemon.reporter.reply(&reply, now),
                            None => daemon.reporter.fail(now),
                        };
                        self.answer(index, answers, load);
                    }
                }
            }
        }
        self.check_timeout(index);
        self.arrivals(index, load);
        self.report(index, load);
        self.send_requests(index, load);
    }

    fn read_list(&mut self, index: usize) {
        let now = self.now;
        let daemon = &mut self.daemons[index];
        let lag = if now < daemon.start + Duration::from_secs(5) {
            daemon.list_lag.min(Duration::from_millis(400))
        } else {
            daemon.list_lag
        };
        if now >= daemon.start + Duration::from_millis(100) && now >= daemon.read_at + lag {
            daemon.read_at = now;
            // What is read was current some time before.
            let listed = self.list.iter().filter(|(_, since)| *since <= now);
            let starts: Vec<_> = listed.map(|(start, _)| *start).collect();
            daemon.read = starts.len();
            let own = daemon.start.as_millis() as u64;
            daemon.fleet.observe(now, own, starts);
        }
        let daemons = daemon.fleet.daemons(now);
        let settles = daemon.fleet.settles_at();
        daemon.reporter.set_daemons(daemons, settles, now);
    }

    fn check_timeout(&mut self, index: usize) {
        let now = self.now;
        let daemon = &mut self.daemons[index];
        if let Some((_, sent, host)) = daemon.call
            && now >= sent + REPORT_TIMEOUT
        {
            daemon.call = None;
            daemon.avoided.insert(host, now + AVOID_TIME);
            let answers = daemon.reporter.fail(now);
            self.answer(index, answers, LATE);
        }
    }

    fn arrivals(&mut self, index: usize, load: Load) {
        let count = self.daemons.len() as f64;
        if self.daemons[index].active > load.spread {
            return;
        }
        let per_step = QUOTA.rate as f64 * load.demand * STEP.as_secs_f64() / (count * load.spread);
        for (cost, part) in [
            (STREAM_COST, load.streams),
            (PLAIN_COST, 1.0 - load.streams),
        ] {
            let mut expected = per_step * part / cost as f64;
            while expected > 0.0 {
                if self.rng.random_range(0.0..1.0) < expected {
                    self.outcome.requests += 1;
                    self.admit(index, cost, load);
                }
                expected -= 1.0;
            }
        }
    }

    /// Reserves credit as the path of a request does.
    fn admit(&mut self, index: usize, cost: u64, load: Load) {
        let now = self.now;
        let daemon = &mut self.daemons[index];
        let (_, credit) = daemon.reporter.credits().next().unwrap();
        credit.count_request(cost);
        if let Some(hold) = credit.reserve(cost, now) {
            self.admitted(index, hold, load);
            return;
        }
        let answer = daemon.reporter.ask(ORGANISATION, cost, cost, now);
        self.answer(index, answer.into_iter().collect(), load);
    }

    fn admitted(&mut self, index: usize, hold: QuotaHold, load: Load) {
        let wait = self.rng.random_range(0..=load.wait_ms);
        let at = self.now + Duration::from_millis(wait);
        self.daemons[index].admitted.push((at, hold));
    }

    fn answer(&mut self, index: usize, answers: Vec<(u64, QuotaAnswer)>, load: Load) {
        for (_, answer) in answers {
            match answer {
                QuotaAnswer::Granted(hold) => self.admitted(index, hold, load),
                QuotaAnswer::Refused(_) | QuotaAnswer::TooLarge => self.outcome.refused += 1,
                QuotaAnswer::Unlimited => panic!("the organisation has a quota"),
            }
        }
    }

    fn report(&mut self, index: usize, load: Load) {
        let now = self.now;
        let daemon = &mut self.daemons[index];
        if daemon.call.is_some() {
            return;
        }
        let is_due = daemon.reporter.due().is_some_and(|due| due <= now);
        if !is_due && !daemon.reporter.is_waiting(now) {
            return;
        }
        let mut ranked: Vec<_> = (0..daemon.read)
            .map(|other| (self.list[other].0, other))
            .collect();
        ranked.sort_unstable();
        let ranked = ranked.iter().map(|(_, other)| self.daemons[*other].key);
        let keys: Vec<_> = ranked.collect();
        let daemon = &mut self.daemons[index];
        let avoided = &daemon.avoided;
        let keys: Vec<_> = keys
            .into_iter()
            .filter(|key| avoided.get(key).is_none_or(|until| *until <= now))
            .collect();
        if let Some((host, report)) = daemon.reporter.next_report(&keys, now) {
            daemon.call = Some((report.sequence, now, host));
            self.outcome.reports += 1;
            let to = *self.keys.get(host).unwrap();
            self.send(index, to, Message::Report(index, to, report));
        } else if daemon.reporter.is_waiting(now) {
            let answers = daemon.reporter.answer_alone(now);
            self.answer(index, answers, load);
        }
    }

    fn send_requests(&mut self, index: usize, load: Load) {
        let now = self.now;
        let admitted = std::mem::take(&mut self.daemons[index].admitted);
        let (due, later): (Vec<_>, Vec<_>) = admitted.into_iter().partition(|(at, _)| *at <= now);
        self.daemons[index].admitted = later;
        for (_, hold) in due {
            let cost = hold.cost();
            if !hold.spend(now) {
                // The credit has expired: the request needs credit anew.
                drop(hold);
                self.admit(index, cost, load);
            } else if self.rng.random_range(0.0..1.0) < load.not_run {
                hold.refund();
            } else {
                self.sent.push((now, cost));
                self.outcome.used += cost;
            }
        }
    }

    /// Ends the run and compares each window with the bound.
    pub fn finish(&mut self) -> &Outcome {
        let mut window = VecDeque::new();
        let (mut sum, mut most) = (0, 0);
        for (at, cost) in &self.sent {
            window.push_back((*at, *cost));
            sum += cost;
            while window
                .front()
                .is_some_and(|(first, _)| *first + WINDOW <= *at)
            {
                sum -= window.pop_front().map_or(0, |(_, cost)| cost);
            }
            most = most.max(sum);
        }
        self.outcome.worst = most as f64 / bound();
        &self.outcome
    }

    /// Starts to count anew.
    pub fn reset(&mut self) -> Outcome {
        std::mem::take(&mut self.outcome)
    }
}

/// Load for requests that are answered outside of a step's arrivals.
const LATE: Load = Load {
    demand: 0.0,
    spread: 1.0,
    streams: 0.0,
    wait_ms: 100,
    not_run: 0.0,
};

impl SimulatedDaemon {
    /// Starts the daemon anew at `start`, without any state.
    fn restart(&mut self, index: usize, start: Duration, limits: &BTreeMap<u64, QuotaLimits>) {
        self.starts += 1;
        self.start = start;
        self.down_until = start;
        self.read_at = Duration::ZERO;
        self.read = 0;
        self.fleet = QuotaFleet::default();
        let sequence = start.as_micros() as u64;
        self.reporter = QuotaReporter::new(0, index as u64, sequence, start);
        let answers = self.reporter.set_limits(limits, start);
        assert!(answers.is_empty());
        self.pool = QuotaPool::new(sequence + index as u64, start);
        self.pool.set_limits(limits, start);
        self.avoided.clear();
        self.call = None;
        self.inbox.clear();
        self.admitted.clear();
    }
}
