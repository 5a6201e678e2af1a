use {
    super::{Profile, ProfileKind, Scenario, Trace, TraceHeader, TraceLine, TraceRequest},
    crate::{board::Role, fake::EngineSettings},
    rand::{RngExt, SeedableRng, rngs::StdRng},
};

/// Share of the requests that are completions; the others are calls to services.
const MODEL_RATIO: f64 = 0.8;

/// Number of shared prefixes per request kind, not counting the hot prefix.
const PREFIX_COUNT: u32 = 12;

/// Share of a prompt's tokens that its shared prefix covers.
const PREFIX_RATIO: f64 = 0.4;

/// Share of a prompt's tokens that the hot prefix covers.
const HOT_PREFIX_RATIO: f64 = 0.8;

/// Range (end exclusive) of the time after which a caller that disconnects early does so.
const DISCONNECT_RANGE_MS: (u64, u64) = (1, 1_500);

/// Generates a trace of one scenario from a seed.
#[derive(Clone, Copy, Debug)]
pub struct TraceMaker {
    /// Scenario that shapes the load and gives the faults.
    pub scenario: Scenario,
    /// Profile that gives the request kinds and the endpoints.
    pub profile: Profile,
    /// Seed of the trace and of the fakes that it is replayed against.
    pub seed: u64,
    /// Offered load as a share of the capacity of the pools.
    pub load: f64,
    /// Time over which requests arrive, in seconds.
    pub seconds: f64,
    /// Number of daemons.
    pub daemons: usize,
}

impl TraceMaker {
    /// Draws the trace. Arrivals are a Poisson process at the scenario's peak rate, thinned to its
    /// rate at each time; the same fields give the same trace.
    pub fn make(&self) -> Trace {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let [prefills, decodes, _] = self.profile.sizes();
        let length_ms = (self.seconds * 1_000.0) as u64;
        let mut lines = self.scenario.faults(length_ms, prefills);
        let peak_rate =
            Self::capacity(self.profile) / MODEL_RATIO * self.load * self.scenario.peak_factor();
        let mut at = 0.0;
        loop {
            at -= (1.0 - rng.random::<f64>()).ln() / peak_rate;
            if at > self.seconds {
                break;
            }
            let keep = self.scenario.load_factor(at / self.seconds) / self.scenario.peak_factor();
            if rng.random_bool(keep) {
                let number = lines.len();
                lines.push(TraceLine::Request(self.request(&mut rng, number, at)));
            }
        }
        Trace {
            header: self.header(decodes),
            lines,
        }
    }

    /// Model requests per second that the pools of `profile` can serve: the smaller one of the
    /// capacities of the decode pool and the prefill pool, with no prompt prefix reused.
    pub fn capacity(profile: Profile) -> f64 {
        Self::decode_capacity(profile).min(Self::prefill_capacity(profile))
    }

    /// Model requests per second that the decode pool serves when its memory or its slots are full.
    pub fn decode_capacity(profile: Profile) -> f64 {
        let engine = EngineSettings::builder(Role::Decode).build();
        let (prompt, output) = Self::mean_tokens(profile);
        let piece = f64::from(engine.piece_tokens);
        let pieces = (prompt + output) / piece + 0.5;
        let batch = (f64::from(engine.pieces) / pieces.max(1.0)).min(f64::from(engine.slots));
        let step_us = engine.step_us as f64 + engine.run_us as f64 * batch;
        let rate = batch / (output * step_us / 1e6);
        rate * profile.sizes()[1] as f64
    }

    /// Model requests per second that the prefill pool serves when every prompt is computed in
    /// full.
    pub fn prefill_capacity(profile: Profile) -> f64 {
        let engine = EngineSettings::builder(Role::Prefill).build();
        let (prompt, _) = Self::mean_tokens(profile);
        let steps = (prompt / f64::from(engine.chunk_tokens)).ceil();
        let steps_us = engine.step_us as f64 * steps;
        let time_us = engine.prefill_us as f64 + steps_us + engine.token_us as f64 * prompt;
        profile.sizes()[0] as f64 * 1e6 / time_us
    }

    /// Mean length of prompts and of completions in tokens.
    fn mean_tokens(profile: Profile) -> (f64, f64) {
        let weighted = || {
            let kinds = profile.kinds().iter();
            kinds.filter_map(|kind| Some((f64::from(kind.percent), kind.prompt_tokens?)))
        };
        let total: f64 = weighted().map(|(share, _)| share).sum();
        let prompts = weighted().map(|(share, (min, max))| share * f64::from(min + max) / 2.0);
        let (min, max) = output_range(profile);
        (prompts.sum::<f64>() / total, f64::from(min + max) / 2.0)
    }

    fn header(&self, decodes: usize) -> TraceHeader {
        TraceHeader {
            version: 1,
            name: format!("{}-{}", self.profile.name(), self.scenario.name()),
            profile: self.profile,
            daemons: self.daemons,
            scale: 1.0,
            seed: self.seed,
            outcomes: self.scenario.outcomes(self.load, decodes),
        }
    }

    /// Draws one request that arrives `at` seconds after the start.
    fn request(&self, rng: &mut StdRng, number: usize, at: f64) -> TraceRequest {
        let branches = self.profile.branches();
        let branch = branches[rng.random_range(0..branches.len())];
        let is_model = rng.random_bool(MODEL_RATIO);
        let kinds = self.profile.kinds().iter();
        let kinds: Vec<_> = kinds
            .filter(|kind| kind.prompt_tokens.is_some() == is_model)
            .collect();
        let kind = draw_kind(rng, &kinds);
        let leave_ms = rng
            .random_bool(self.scenario.disconnect_ratio())
            .then(|| rng.random_range(DISCONNECT_RANGE_MS.0..DISCONNECT_RANGE_MS.1));
        let request = TraceRequest {
            at_ms: (at * 1_000.0) as u64,
            branch: branch.to_owned(),
            kind: kind.kind.to_owned(),
            key: kind
                .at_most_once
                .then(|| format!("{:x}-{number}", self.seed)),
            leave_ms: leave_ms.filter(|_| !kind.at_most_once),
            ..TraceRequest::default()
        };
        match kind.prompt_tokens {
            Some(range) => self.add_prompt(rng, range, request),
            None => request,
        }
    }

    /// Draws the lengths and the shared prefix of a completion whose prompt has `min` to `max`
    /// tokens, and adds them to `request`.
    fn add_prompt(
        &self,
        rng: &mut StdRng,
        (min, max): (u32, u32),
        request: TraceRequest,
    ) -> TraceRequest {
        let min = match self.scenario {
            Scenario::LongHistories => u32::midpoint(min, max),
            _ => min,
        };
        let prompt_tokens = rng.random_range(min..=max);
        let hot = self.scenario == Scenario::HotPrefix && rng.random_bool(0.9);
        let prefix_ratio = if hot { HOT_PREFIX_RATIO } else { PREFIX_RATIO };
        let group = if hot {
            0
        } else {
            rng.random_range(1..=PREFIX_COUNT)
        };
        let (min_output, max_output) = output_range(self.profile);
        TraceRequest {
            prefix: format!("{}-{group}", request.kind),
            prefix_tokens: (f64::from(prompt_tokens) * prefix_ratio) as u32,
            prompt_tokens,
            output_tokens: rng.random_range(min_output..=max_output),
            ..request
        }
    }
}

/// Minimum and maximum length of a completion in tokens.
fn output_range(profile: Profile) -> (u32, u32) {
    match profile {
        Profile::Kovacsreti => (100, 300),
        Profile::TrinCymru => (80, 180),
    }
}

/// Draws one of `kinds`, weighted by their shares.
fn draw_kind<'a>(rng: &mut StdRng, kinds: &[&'a ProfileKind]) -> &'a ProfileKind {
    let total = kinds.iter().map(|kind| kind.percent).sum::<u32>();
    let mut draw = rng.random_range(0..total);
    for kind in kinds {
        if draw < kind.percent {
            return kind;
        }
        draw -= kind.percent;
    }
    kinds[0]
}
