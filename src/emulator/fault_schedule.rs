use {
    super::{
        FaultAction, FaultEvent, LoadItem, LoadPayload, Profile, Workload,
        site_options::FAST_DAEMONS,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::Duration,
};

/// Word in a prompt that crashes the engine which runs it.
pub(super) const POISON: &str = "poison-word";

/// Requests of a schedule, not counting repetitions.
const REQUESTS: u32 = 40;

/// Arrival rate of requests.
const RATE_PER_S: f64 = 60.0;

/// Share of the callers that disconnect before their response is complete.
const DISCONNECT_RATIO: f64 = 0.12;

/// Factor on the times after which callers disconnect, since the fakes of a fast site run faster
/// than real time.
const DISCONNECT_SCALE: f64 = 0.25;

/// Share of the requests with an idempotency key that are sent more than once.
const REPEAT_RATIO: f64 = 0.4;

/// Upper bound (inclusive) of the repetitions of one request.
const MAX_REPEATS: usize = 3;

/// Upper bound (exclusive) of the time between a request and its repetition.
const MAX_REPEAT_MS: u64 = 600;

/// Share of the schedules that contain a request which crashes engines.
const POISON_RATIO: f64 = 0.3;

/// Number of times that a request which crashes engines is sent.
const POISON_SENDS: u32 = 4;

/// Time between two sends of a request which crashes engines.
const POISON_INTERVAL: Duration = Duration::from_millis(150);

/// Upper bound (inclusive) of the faults of a schedule, not counting crashes of daemons.
const MAX_FAULTS: usize = 10;

/// Time since the start of the load within which faults begin.
const FAULT_WINDOW_MS: u64 = 900;

/// Upper bound (exclusive) of the time that a crashed daemon stays down.
const MAX_DOWN_MS: u64 = 700;

/// Requests of callers and the faults injected meanwhile, drawn from a seed.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultSchedule {
    /// Profile that gives the sheet, the endpoints and the load.
    pub profile: Profile,
    /// Seed of the schedule, the load and the fakes.
    pub seed: u64,
    /// Requests and their repetitions, in the order in which they are sent.
    pub sends: Vec<ScheduledSend>,
    /// Faults, in the order in which they begin.
    pub events: Vec<FaultEvent>,
}

/// One send of a request to one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledSend {
    /// Request to send, with its time.
    pub item: LoadItem,
    /// Index in `Site::daemons` of the daemon to send to; if it is down, the next running one is
    /// used.
    pub daemon: usize,
}

impl FaultSchedule {
    /// Draws a schedule; the same profile and seed give the same schedule.
    pub fn draw(profile: Profile, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut schedule = Self {
            profile,
            seed,
            sends: Vec::new(),
            events: Vec::new(),
        };
        schedule.draw_sends(&mut rng);
        schedule.draw_poison(&mut rng);
        schedule.draw_faults(&mut rng);
        schedule.draw_crashes(&mut rng);
        schedule.sends.sort_by_key(|send| send.item.at);
        schedule.events.sort_by_key(|event| event.at);
        schedule
    }

    /// Drops every fault whose flag is false; faults without a flag are kept.
    #[must_use]
    pub fn keep(mut self, flags: &[bool]) -> Self {
        let mut flags = flags.iter();
        self.events
            .retain(|_| flags.next().copied().unwrap_or(true));
        self
    }

    /// Draws the requests and the repetitions of those with an idempotency key.
    fn draw_sends(&mut self, rng: &mut StdRng) {
        let load = Workload {
            profile: self.profile,
            seed: self.seed,
            requests: REQUESTS,
            rate: RATE_PER_S,
            disconnect_ratio: DISCONNECT_RATIO,
        };
        for mut item in load.items() {
            item.disconnect_after = item
                .disconnect_after
                .map(|after| after.mul_f64(DISCONNECT_SCALE));
            if item.key().is_some() && rng.random_bool(REPEAT_RATIO) {
                self.add_repeats(rng, &item);
            }
            self.add_send(rng, item);
        }
    }

    /// Draws 1 to 3 repetitions of a request, about half of them at the time of the request itself.
    fn add_repeats(&mut self, rng: &mut StdRng, item: &LoadItem) {
        for _ in 0..rng.random_range(1..=MAX_REPEATS) {
            let delay_ms = if rng.random_bool(0.5) {
                0
            } else {
                rng.random_range(0..MAX_REPEAT_MS)
            };
            let repetition = LoadItem {
                at: item.at + Duration::from_millis(delay_ms),
                disconnect_after: None,
                ..item.clone()
            };
            self.add_send(rng, repetition);
        }
    }

    /// Draws whether the first completion is sent again with the word that crashes engines.
    fn draw_poison(&mut self, rng: &mut StdRng) {
        if !rng.random_bool(POISON_RATIO) {
            return;
        }
        let completion =
            |send: &&ScheduledSend| matches!(send.item.payload, LoadPayload::Completion { .. });
        let Some(send) = self.sends.iter().find(completion) else {
            return;
        };
        let mut item = LoadItem {
            disconnect_after: None,
            ..send.item.clone()
        };
        if let LoadPayload::Completion { prompt, .. } = &mut item.payload {
            prompt.push(' ');
            prompt.push_str(POISON);
        }
        for _ in 0..POISON_SENDS {
            self.add_send(rng, item.clone());
            item.at += POISON_INTERVAL;
        }
    }

    /// Adds `item`, sent to a drawn daemon.
    fn add_send(&mut self, rng: &mut StdRng, item: LoadItem) {
        let daemon = rng.random_range(0..FAST_DAEMONS);
        self.sends.push(ScheduledSend { item, daemon });
    }

    /// Draws the faults of engines, services and the platform.
    fn draw_faults(&mut self, rng: &mut StdRng) {
        let [prefills, decodes, services] = self.profile.sizes();
        for _ in 0..rng.random_range(1..=MAX_FAULTS) {
            let action = FaultAction::draw(rng, prefills + decodes, services);
            self.add_event(rng.random_range(0..FAULT_WINDOW_MS), action);
        }
    }

    /// Draws 0 to 2 crashes of daemons, each with a later start.
    fn draw_crashes(&mut self, rng: &mut StdRng) {
        for _ in 0..rng.random_range(0..3) {
            let daemon = rng.random_range(0..FAST_DAEMONS);
            let at = rng.random_range(0..FAULT_WINDOW_MS);
            let down_ms = rng.random_range(1..MAX_DOWN_MS);
            self.add_event(at, FaultAction::Crash(daemon));
            self.add_event(at + down_ms, FaultAction::Start(daemon));
        }
    }

    fn add_event(&mut self, at_ms: u64, action: FaultAction) {
        let at = Duration::from_millis(at_ms);
        self.events.push(FaultEvent { at, action });
    }
}
