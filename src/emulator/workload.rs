use {
    super::{LoadAsk, LoadItem, Profile, ProfileKind},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::Duration,
};

/// Tokens that all prompts of a branch start with.
const SHARED_TOKENS: u32 = 64;

/// Least and greatest tokens of an answer.
const ANSWER_TOKENS: (u32, u32) = (16, 96);

/// Words that prompts are made of.
const WORDS: u32 = 20_000;

/// Seeded load of one profile with Poisson arrivals.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// Profile.
    pub profile: Profile,
    /// Seed.
    pub seed: u64,
    /// Requests.
    pub requests: u32,
    /// Requests a second.
    pub rate: f64,
    /// Share of callers that go away early, from 0 to 1.
    pub leaving: f64,
}

impl Workload {
    /// Draws the requests in order of arrival.
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

    fn item(&self, rng: &mut StdRng, number: u32, at: Duration) -> LoadItem {
        let branches = self.profile.branches();
        let branch = branches[rng.random_range(0..branches.len())];
        let kind = pick(self.profile.kinds(), rng.random_range(0..100));
        let leave = rng
            .random_bool(self.leaving)
            .then(|| Duration::from_millis(rng.random_range(1..400)));
        LoadItem {
            at,
            branch: branch.to_owned(),
            kind: kind.kind.to_owned(),
            ask: self.ask(rng, kind, branch, number),
            leave,
        }
    }

    fn ask(&self, rng: &mut StdRng, kind: &ProfileKind, branch: &str, number: u32) -> LoadAsk {
        match kind.prompt {
            Some((least, most)) => {
                let own = rng.random_range(least..=most);
                let answer = rng.random_range(ANSWER_TOKENS.0..=ANSWER_TOKENS.1);
                LoadAsk::Completion {
                    prompt: prompt(rng, branch, own, answer),
                    max_tokens: answer,
                }
            }
            None => LoadAsk::Service {
                path: format!("/{}/{number}", kind.kind),
                body: format!("{{\"number\":{number}}}"),
                key: kind.once.then(|| format!("{:x}-{number}", self.seed)),
            },
        }
    }
}

fn pick(kinds: &'static [ProfileKind], mut draw: u32) -> &'static ProfileKind {
    for kind in kinds {
        if draw < kind.share {
            return kind;
        }
        draw -= kind.share;
    }
    &kinds[0]
}

fn prompt(rng: &mut StdRng, branch: &str, own: u32, answer: u32) -> String {
    let shared = (0..SHARED_TOKENS).map(|index| format!("{branch}{index}"));
    let words: Vec<_> = (0..own)
        .map(|_| format!("w{}", rng.random_range(0..WORDS)))
        .collect();
    let shared: Vec<_> = shared.collect();
    format!(
        "{} {} answer-tokens={answer}",
        shared.join(" "),
        words.join(" ")
    )
}
