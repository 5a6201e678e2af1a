use {
    super::bench_profile::{BenchProfile, PIECE_TOKENS},
    crate::{board::Tick, key::EndpointKey},
    rand::{Rng, RngExt, SeedableRng, rngs::StdRng},
    slotmap::new_key_type,
    std::time::Duration,
};

new_key_type! {
    /// Key of a request of the bench.
    pub(super) struct JobKey;
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// Waits for a place or is being prefilled.
    Queued,
    /// Its KV cache is computed and waits for the handover.
    Ready,
    /// Its KV cache is on the way.
    Moving,
    /// Its answer is being generated.
    Decoding,
    /// Its answer is whole.
    Done,
    /// It was given up.
    Dropped,
}

/// A request of the bench and what has become of it.
#[derive(Clone, Debug)]
pub(super) struct Job {
    /// When it arrives.
    pub(super) arrived: Tick,
    /// Entry host.
    pub(super) entry: u32,
    /// Branch.
    pub(super) branch: u32,
    /// Priority, 0 is the most urgent.
    pub(super) priority: u8,
    /// Prompt tokens.
    pub(super) prompt: u32,
    /// Prefix that the prompt starts with.
    pub(super) group: u32,
    /// Tokens of the prefix.
    pub(super) shared: u32,
    /// Output tokens.
    pub(super) output: u32,
    /// Number of the attempt; a message of an earlier one is stale.
    pub(super) attempt: u32,
    /// Prefill endpoint in use.
    pub(super) prefill: Option<EndpointKey>,
    /// Decode endpoint in use.
    pub(super) decode: Option<EndpointKey>,
    /// Decode endpoint granted.
    pub(super) decode_place: Option<EndpointKey>,
    /// How far it has come.
    pub(super) stage: Stage,
    /// Tokens computed by the current prefill.
    pub(super) computed: u32,
    /// Tokens generated.
    pub(super) tokens: u32,
    /// When the first token came.
    pub(super) first: Option<Tick>,
    /// When the last token came.
    pub(super) last: Tick,
}

impl Job {
    /// Pieces of decode memory.
    pub(super) fn pieces(&self) -> u32 {
        (self.prompt + self.output).div_ceil(PIECE_TOKENS)
    }
}

/// Shape of the offered load.
#[derive(Clone, Copy, Debug)]
pub(super) struct Offered {
    /// Mean requests a second.
    pub(super) rate: f64,
    /// Factor by which the rate is raised in a burst and lowered between bursts; 1 for none.
    pub(super) burst: f64,
    /// Length.
    pub(super) length: Duration,
}

/// Period of the bursts; each takes the first quarter of it.
const BURST_PERIOD: Duration = Duration::from_secs(40);

/// Draws the arrivals of a run.
pub(super) fn arrivals(profile: &BenchProfile, offered: &Offered, seed: u64) -> Vec<Job> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut jobs = Vec::new();
    let mut now = Tick::default();
    let end = now + offered.length;
    loop {
        let gap = exponential(&mut random) / offered.rate_at(now);
        now = now + Duration::from_secs_f64(gap);
        if now >= end {
            return jobs;
        }
        jobs.push(draw(profile, now, &mut random));
    }
}

impl Offered {
    fn rate_at(&self, now: Tick) -> f64 {
        let phase = now.0 % BURST_PERIOD.as_micros() as u64;
        let high = phase * 4 < BURST_PERIOD.as_micros() as u64;
        // A quarter of the time at `burst`, the rest so that the mean stays.
        let low = (4.0 - self.burst) / 3.0;
        self.rate * if high { self.burst } else { low }
    }
}

fn draw<R>(profile: &BenchProfile, now: Tick, random: &mut R) -> Job
where
    R: Rng,
{
    let prompt = profile.prompt * (profile.spread * normal(random)).exp();
    let prompt = prompt.clamp(64.0, 16_000.0) as u32;
    let output = (profile.output * exponential(random)).clamp(16.0, 800.0) as u32;
    let skewed = |count: u32, draw: f64| (f64::from(count) * draw * draw) as u32;
    Job {
        arrived: now,
        entry: random.random_range(0..super::bench_profile::HOSTS),
        branch: skewed(profile.branches, random.random()),
        priority: u8::from(random.random_bool(0.7)),
        prompt,
        group: skewed(profile.groups, random.random()),
        shared: (f64::from(prompt) * profile.shared) as u32,
        output,
        attempt: 0,
        prefill: None,
        decode: None,
        decode_place: None,
        stage: Stage::Queued,
        computed: 0,
        tokens: 0,
        first: None,
        last: now,
    }
}

/// Draws from the exponential distribution of mean 1.
fn exponential<R>(random: &mut R) -> f64
where
    R: Rng,
{
    let draw: f64 = random.random();
    -(1.0 - draw).ln()
}

/// Draws from the standard normal distribution.
fn normal<R>(random: &mut R) -> f64
where
    R: Rng,
{
    let radius = (2.0 * exponential(random)).sqrt();
    let angle: f64 = random.random();
    radius * (std::f64::consts::TAU * angle).cos()
}
