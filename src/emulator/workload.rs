use {
    super::{LoadItem, LoadPayload, Profile, ProfileKind},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::Duration,
};

/// Length of the prefix that all prompts of a branch share.
const PREFIX_TOKENS: u32 = 64;

/// Minimum and maximum length of a completion.
const OUTPUT_TOKENS: (u32, u32) = (16, 96);

/// Number of different words that the rest of a prompt is drawn from.
const VOCABULARY_SIZE: u32 = 20_000;

/// Load of one profile with Poisson arrivals, drawn from a seed.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// Profile that gives the request kinds and the branches.
    pub profile: Profile,
    /// Seed; the same fields give the same requests.
    pub seed: u64,
    /// Number of requests.
    pub requests: u32,
    /// Mean number of requests per second.
    pub rate: f64,
    /// Share of the callers that disconnect early, from 0 to 1.
    pub disconnect_ratio: f64,
}

impl Workload {
    /// Draws the requests, in the order of their arrival.
    pub fn items(&self) -> Vec<LoadItem> {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let mut at = 0.0;
        (0..self.requests)
            .map(|number| {
                at -= (1.0 - rng.random::<f64>()).ln() / self.rate;
                self.item(&mut rng, number, Duration::from_secs_f64(at))
            })
            .collect()
    }

    /// Draws the request with this number.
    fn item(&self, rng: &mut StdRng, number: u32, at: Duration) -> LoadItem {
        let branches = self.profile.branches();
        let branch = branches[rng.random_range(0..branches.len())];
        let kind = kind_at(self.profile.kinds(), rng.random_range(0..100));
        let disconnect_after = rng
            .random_bool(self.disconnect_ratio)
            .then(|| Duration::from_millis(rng.random_range(1..400)));
        LoadItem {
            at,
            branch: branch.to_owned(),
            kind: kind.kind.to_owned(),
            payload: self.payload(rng, kind, branch, number),
            disconnect_after,
        }
    }

    /// Draws the content of a request of `kind`.
    fn payload(
        &self,
        rng: &mut StdRng,
        kind: &ProfileKind,
        branch: &str,
        number: u32,
    ) -> LoadPayload {
        match kind.prompt_tokens {
            Some((min, max)) => {
                let unique = rng.random_range(min..=max);
                let output = rng.random_range(OUTPUT_TOKENS.0..=OUTPUT_TOKENS.1);
                LoadPayload::Completion {
                    prompt: prompt(rng, branch, unique, output),
                    max_tokens: output,
                }
            }
            None => LoadPayload::Service {
                path: format!("/{}/{number}", kind.kind),
                body: format!("{{\"number\":{number}}}"),
                key: kind
                    .at_most_once
                    .then(|| format!("{:x}-{number}", self.seed)),
            },
        }
    }
}

/// Returns the kind whose share of 100 covers `draw`.
fn kind_at(kinds: &'static [ProfileKind], mut draw: u32) -> &'static ProfileKind {
    for kind in kinds {
        if draw < kind.percent {
            return kind;
        }
        draw -= kind.percent;
    }
    &kinds[0]
}

/// Draws a prompt: the shared prefix, `unique` further words and the length of the completion.
fn prompt(rng: &mut StdRng, branch: &str, unique: u32, output: u32) -> String {
    let shared = (0..PREFIX_TOKENS).map(|index| format!("{branch}{index}"));
    let words: Vec<_> = (0..unique)
        .map(|_| format!("w{}", rng.random_range(0..VOCABULARY_SIZE)))
        .collect();
    let shared: Vec<_> = shared.collect();
    format!(
        "{} {} answer-tokens={output}",
        shared.join(" "),
        words.join(" ")
    )
}
