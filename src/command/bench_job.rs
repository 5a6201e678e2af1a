use {
    super::bench_profile::{BenchProfile, PIECE_TOKENS},
    crate::{board::Tick, key::EndpointKey},
    rand::{Rng, RngExt, SeedableRng, rngs::StdRng},
    slotmap::new_key_type,
    std::time::Duration,
};

new_key_type! {
    /// Key of a simulated request.
    pub(super) struct JobKey;
}

/// Progress of a simulated request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// It waits for a grant or is being prefilled.
    Queued,
    /// Its prompt is prefilled and its KV cache waits for the handover.
    Prefilled,
    /// Its KV cache is being transferred.
    Transferring,
    /// Its response is being generated.
    Decoding,
    /// Its response is complete.
    Done,
    /// It was abandoned, since it did not start in time.
    Dropped,
}

/// A simulated request and its progress.
#[derive(Clone, Debug)]
pub(super) struct Job {
    /// Time of its arrival.
    pub(super) arrived: Tick,
    /// Index of the host at which it arrives.
    pub(super) entry: u32,
    /// Number of the branch that sends it.
    pub(super) branch: u32,
    /// Priority; 0 is the most urgent.
    pub(super) priority: u8,
    /// Length of the prompt in tokens, prefix included.
    pub(super) prompt: u32,
    /// Number of the prefix that the prompt starts with.
    pub(super) prefix: u32,
    /// Length of the prefix in tokens.
    pub(super) prefix_tokens: u32,
    /// Length of the output in tokens.
    pub(super) output: u32,
    /// Number of the present attempt; events of earlier attempts are ignored.
    pub(super) attempt: u32,
    /// Prefill endpoint of the present attempt.
    pub(super) prefill: Option<EndpointKey>,
    /// Decode endpoint of the present attempt, from the start of the handover on.
    pub(super) decode: Option<EndpointKey>,
    /// Decode endpoint that an owner has granted.
    pub(super) granted_decode: Option<EndpointKey>,
    /// Progress of the present attempt.
    pub(super) stage: Stage,
    /// Prompt tokens computed by the present attempt; 0 once the first output token is generated.
    pub(super) computed: u32,
    /// Output tokens generated.
    pub(super) tokens: u32,
    /// Time of the first output token.
    pub(super) first: Option<Tick>,
    /// Time of the latest output token.
    pub(super) last: Tick,
}

impl Job {
    /// Pieces of decode engine memory that the prompt and the output need.
    pub(super) fn pieces(&self) -> u32 {
        (self.prompt + self.output).div_ceil(PIECE_TOKENS)
    }
}

/// Arrival process of a run.
#[derive(Clone, Copy, Debug)]
pub(super) struct OfferedLoad {
    /// Mean rate in requests per second.
    pub(super) rate: f64,
    /// Ratio of the rate during a burst to the mean rate; 1 for no bursts.
    pub(super) burst: f64,
    /// Period of arrivals.
    pub(super) length: Duration,
}

/// Time between the starts of two bursts; a burst lasts for the first quarter of it.
const BURST_PERIOD: Duration = Duration::from_secs(40);

/// Draws the requests of a run, in the order of their arrival.
pub(super) fn arrivals(profile: &BenchProfile, offered: &OfferedLoad, seed: u64) -> Vec<Job> {
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

impl OfferedLoad {
    fn rate_at(&self, now: Tick) -> f64 {
        let phase = now.0 % BURST_PERIOD.as_micros() as u64;
        let high = phase * 4 < BURST_PERIOD.as_micros() as u64;
        // A quarter of the time has the factor `burst`; the factor of the rest keeps the mean rate.
        let low = (4.0 - self.burst) / 3.0;
        self.rate * if high { self.burst } else { low }
    }
}

/// Draws the sizes, prefix and branch of a request that arrives at `now`. A prompt has 64 to 16,000
/// tokens and an output 16 to 800; 70 % of the requests have priority 1, the others 0.
fn draw<R>(profile: &BenchProfile, now: Tick, random: &mut R) -> Job
where
    R: Rng,
{
    let prompt = profile.prompt * (profile.log_deviation * normal(random)).exp();
    let prompt = prompt.clamp(64.0, 16_000.0) as u32;
    let output = (profile.output * exponential(random)).clamp(16.0, 800.0) as u32;
    // The square makes low numbers more frequent: the lowest quarter gets half of the draws.
    let skewed = |count: u32, draw: f64| (f64::from(count) * draw * draw) as u32;
    Job {
        arrived: now,
        entry: random.random_range(0..super::bench_profile::HOSTS),
        branch: skewed(profile.branches, random.random()),
        priority: u8::from(random.random_bool(0.7)),
        prompt,
        prefix: skewed(profile.prefixes, random.random()),
        prefix_tokens: (f64::from(prompt) * profile.prefix_share) as u32,
        output,
        attempt: 0,
        prefill: None,
        decode: None,
        granted_decode: None,
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
