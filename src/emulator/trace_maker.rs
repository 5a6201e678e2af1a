use {
    super::{Profile, ProfileKind, Scenario, Trace, TraceHeader, TraceLine, TraceRequest},
    crate::{board::Role, fake::EngineSettings},
    rand::{RngExt, SeedableRng, rngs::StdRng},
};

/// Share of the requests that a model answers.
const MODEL_SHARE: f64 = 0.8;

/// Prefixes that prompts share.
const PREFIXES: u32 = 12;

/// Share of a prompt that its shared prefix covers.
const SHARED: f64 = 0.4;

/// Share of a prompt that the hot prefix covers.
const HOT_SHARED: f64 = 0.8;

/// Times after which a leaving caller goes, in milliseconds.
const LEAVE_MS: (u64, u64) = (1, 1_500);

/// Draws a seeded trace of one scenario.
#[derive(Clone, Copy, Debug)]
pub struct TraceMaker {
    /// Scenario.
    pub scenario: Scenario,
    /// Profile.
    pub profile: Profile,
    /// Seed.
    pub seed: u64,
    /// Offered load as a share of what the pools can serve.
    pub load: f64,
    /// Time of arrivals in seconds.
    pub seconds: f64,
    /// Daemons.
    pub daemons: usize,
}

impl TraceMaker {
    /// Draws the trace; arrivals are Poisson.
    pub fn make(&self) -> Trace {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let [prefills, decodes, _] = self.profile.sizes();
        let length_ms = (self.seconds * 1_000.0) as u64;
        let mut lines = self.scenario.faults(length_ms, prefills);
        let peak = Self::capacity(self.profile) / MODEL_SHARE * self.load * self.scenario.peak();
        let mut at = 0.0;
        loop {
            at -= (1.0 - rng.random::<f64>()).ln() / peak;
            if at > self.seconds {
                break;
            }
            let shape = self.scenario.shape(at / self.seconds) / self.scenario.peak();
            if rng.random_bool(shape) {
                let number = lines.len();
                lines.push(TraceLine::Request(self.request(&mut rng, number, at)));
            }
        }
        Trace {
            header: self.header(decodes),
            lines,
        }
    }

    /// Model requests a second that the pools of `profile` serve: the lesser of what the decode
    /// pool and the prefill pool can, with every prompt computed whole.
    pub fn capacity(profile: Profile) -> f64 {
        Self::decode_capacity(profile).min(Self::prefill_capacity(profile))
    }

    /// Model requests a second that the decode pool serves with its memory or slots full.
    pub fn decode_capacity(profile: Profile) -> f64 {
        let engine = EngineSettings::builder(Role::Decode).build();
        let (prompt, output) = Self::means(profile);
        let piece = f64::from(engine.piece_tokens);
        let pieces = (prompt + output) / piece + 0.5;
        let batch = (f64::from(engine.pieces) / pieces.max(1.0)).min(f64::from(engine.slots));
        let step_us = engine.step_us as f64 + engine.run_us as f64 * batch;
        let rate = batch / (output * step_us / 1e6);
        rate * profile.sizes()[1] as f64
    }

    /// Model requests a second that the prefill pool serves.
    pub fn prefill_capacity(profile: Profile) -> f64 {
        let engine = EngineSettings::builder(Role::Prefill).build();
        let (prompt, _) = Self::means(profile);
        let steps = (prompt / f64::from(engine.chunk_tokens)).ceil();
        let steps_us = engine.step_us as f64 * steps;
        let time_us = engine.prefill_us as f64 + steps_us + engine.token_us as f64 * prompt;
        profile.sizes()[0] as f64 * 1e6 / time_us
    }

    /// Mean tokens of prompts and of answers.
    fn means(profile: Profile) -> (f64, f64) {
        let models = || {
            let kinds = profile.kinds().iter();
            kinds.filter_map(|kind| Some((f64::from(kind.share), kind.prompt?)))
        };
        let shares: f64 = models().map(|(share, _)| share).sum();
        let prompts = models().map(|(share, (least, most))| share * f64::from(least + most) / 2.0);
        let (least, most) = output(profile);
        (prompts.sum::<f64>() / shares, f64::from(least + most) / 2.0)
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

    fn request(&self, rng: &mut StdRng, number: usize, at: f64) -> TraceRequest {
        let branches = self.profile.branches();
        let branch = branches[rng.random_range(0..branches.len())];
        let model = rng.random_bool(MODEL_SHARE);
        let kinds = self.profile.kinds().iter();
        let kinds: Vec<_> = kinds.filter(|k| k.prompt.is_some() == model).collect();
        let kind = pick(rng, &kinds);
        let leave_ms = rng
            .random_bool(self.scenario.leaving())
            .then(|| rng.random_range(LEAVE_MS.0..LEAVE_MS.1));
        let request = TraceRequest {
            at_ms: (at * 1_000.0) as u64,
            branch: branch.to_owned(),
            kind: kind.kind.to_owned(),
            key: kind.once.then(|| format!("{:x}-{number}", self.seed)),
            leave_ms: leave_ms.filter(|_| !kind.once),
            ..TraceRequest::default()
        };
        match kind.prompt {
            Some(range) => self.prompt(rng, range, request),
            None => request,
        }
    }

    fn prompt(
        &self,
        rng: &mut StdRng,
        (least, most): (u32, u32),
        request: TraceRequest,
    ) -> TraceRequest {
        let least = match self.scenario {
            Scenario::LongHistories => u32::midpoint(least, most),
            _ => least,
        };
        let prompt_tokens = rng.random_range(least..=most);
        let hot = self.scenario == Scenario::HotPrefix && rng.random_bool(0.9);
        let shared = if hot { HOT_SHARED } else { SHARED };
        let group = if hot {
            0
        } else {
            rng.random_range(1..=PREFIXES)
        };
        let (fewest, greatest) = output(self.profile);
        TraceRequest {
            prefix: format!("{}-{group}", request.kind),
            prefix_tokens: (f64::from(prompt_tokens) * shared) as u32,
            prompt_tokens,
            output_tokens: rng.random_range(fewest..=greatest),
            ..request
        }
    }
}

/// Least and greatest tokens of an answer.
fn output(profile: Profile) -> (u32, u32) {
    match profile {
        Profile::Kovacsreti => (100, 300),
        Profile::TrinCymru => (80, 180),
    }
}

fn pick<'a>(rng: &mut StdRng, kinds: &[&'a ProfileKind]) -> &'a ProfileKind {
    let shares = kinds.iter().map(|kind| kind.share).sum::<u32>();
    let mut draw = rng.random_range(0..shares);
    for kind in kinds {
        if draw < kind.share {
            return kind;
        }
        draw -= kind.share;
    }
    kinds[0]
}
