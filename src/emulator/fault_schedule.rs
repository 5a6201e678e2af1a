use {
    super::{FaultAction, FaultEvent, LoadAsk, LoadItem, Profile, Workload, site_options::DAEMONS},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::Duration,
};

/// Word in a prompt that kills the engine which runs it.
pub(super) const POISON: &str = "poison-word";

/// Requests of a schedule before repetitions.
const REQUESTS: u32 = 40;

/// Requests a second.
const RATE: f64 = 60.0;

/// Share of callers that go away early.
const LEAVING: f64 = 0.12;

/// Factor on the times after which callers go away, as the stand-ins run faster than life.
const LEAVE_SCALE: f64 = 0.25;

/// Share of the keyed requests that are sent more than once.
const REPEATED: f64 = 0.4;

/// Most repetitions of one request.
const REPEATS: usize = 3;

/// Longest time between a request and its repetition in milliseconds.
const REPEAT_MS: u64 = 600;

/// Share of the schedules with a request that crashes engines.
const POISONED: f64 = 0.3;

/// Times that a poisoned request is sent, and the time between them.
const POISON_SENDS: u32 = 4;
const POISON_PAUSE: Duration = Duration::from_millis(150);

/// Most faults, not counting crashes of daemons.
const FAULTS: usize = 10;

/// Time in which faults begin, in milliseconds.
const FAULT_MS: u64 = 900;

/// Longest time that a crashed daemon stays away, in milliseconds.
const AWAY_MS: u64 = 700;

/// Requests of callers and the faults that meet them, drawn from a seed.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultSchedule {
    /// Whose sheet, endpoints and load.
    pub profile: Profile,
    /// Seed.
    pub seed: u64,
    /// Requests and repetitions in order of time.
    pub sends: Vec<FaultSend>,
    /// Faults in order of time.
    pub events: Vec<FaultEvent>,
}

/// One request on its way to one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultSend {
    /// The request.
    pub item: LoadItem,
    /// Daemon that gets it; the next running one if it is down.
    pub daemon: usize,
}

impl FaultSchedule {
    /// Draws a schedule; the same seed gives the same schedule.
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

    /// Drops every fault whose flag is false; those beyond the flags stay.
    #[must_use]
    pub fn keep(mut self, flags: &[bool]) -> Self {
        let mut flags = flags.iter();
        self.events
            .retain(|_| flags.next().copied().unwrap_or(true));
        self
    }

    fn draw_sends(&mut self, rng: &mut StdRng) {
        let load = Workload {
            profile: self.profile,
            seed: self.seed,
            requests: REQUESTS,
            rate: RATE,
            leaving: LEAVING,
        };
        for mut item in load.items() {
            item.leave = item.leave.map(|leave| leave.mul_f64(LEAVE_SCALE));
            if item.key().is_some() && rng.random_bool(REPEATED) {
                self.repeat(rng, &item);
            }
            self.send(rng, item);
        }
    }

    /// Sends a request again, some of the repetitions at the same time.
    fn repeat(&mut self, rng: &mut StdRng, item: &LoadItem) {
        for _ in 0..rng.random_range(1..=REPEATS) {
            let later = if rng.random_bool(0.5) {
                0
            } else {
                rng.random_range(0..REPEAT_MS)
            };
            let again = LoadItem {
                at: item.at + Duration::from_millis(later),
                leave: None,
                ..item.clone()
            };
            self.send(rng, again);
        }
    }

    fn draw_poison(&mut self, rng: &mut StdRng) {
        if !rng.random_bool(POISONED) {
            return;
        }
        let completion = |send: &&FaultSend| matches!(send.item.ask, LoadAsk::Completion { .. });
        let Some(send) = self.sends.iter().find(completion) else {
            return;
        };
        let mut item = LoadItem {
            leave: None,
            ..send.item.clone()
        };
        if let LoadAsk::Completion { prompt, .. } = &mut item.ask {
            prompt.push(' ');
            prompt.push_str(POISON);
        }
        for _ in 0..POISON_SENDS {
            self.send(rng, item.clone());
            item.at += POISON_PAUSE;
        }
    }

    fn send(&mut self, rng: &mut StdRng, item: LoadItem) {
        let daemon = rng.random_range(0..DAEMONS);
        self.sends.push(FaultSend { item, daemon });
    }

    fn draw_faults(&mut self, rng: &mut StdRng) {
        let [prefills, decodes, services] = self.profile.sizes();
        for _ in 0..rng.random_range(1..=FAULTS) {
            let action = FaultAction::draw(rng, prefills + decodes, services);
            self.event(rng.random_range(0..FAULT_MS), action);
        }
    }

    fn draw_crashes(&mut self, rng: &mut StdRng) {
        for _ in 0..rng.random_range(0..3) {
            let daemon = rng.random_range(0..DAEMONS);
            let at = rng.random_range(0..FAULT_MS);
            let away = rng.random_range(1..AWAY_MS);
            self.event(at, FaultAction::Crash(daemon));
            self.event(at + away, FaultAction::Start(daemon));
        }
    }

    fn event(&mut self, at_ms: u64, action: FaultAction) {
        let at = Duration::from_millis(at_ms);
        self.events.push(FaultEvent { at, action });
    }
}
