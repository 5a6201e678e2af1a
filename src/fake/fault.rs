use {
    rand::{RngExt, SeedableRng, rngs::StdRng},
    serde::{Deserialize, Serialize},
};

/// Kind of fault that a fake engine or service injects.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Refuses a request before it runs.
    Refuse,
    /// Dies while a request runs: connections drop, and an engine loses all state.
    Die,
    /// Stalls a KV transfer for `ms` at its first part.
    StallTransfer,
    /// Stalls generation for `ms` once `after` tokens are generated.
    StallTokens,
    /// Ends a stream without its final chunk once `after` tokens were sent.
    Truncate,
    /// Breaks the connection of a stream once `after` tokens were sent.
    Break,
    /// Sends one chunk twice.
    Repeat,
    /// Sends a chunk of another attempt within the stream.
    Cross,
    /// Sends one chunk after its successor.
    Late,
    /// Engine: one step takes 10 times as long. Service: a call takes `ms` longer.
    Slow,
    /// Performs a cancel, or runs a call, but breaks the connection instead of responding.
    LoseAnswer,
    /// Breaks the connection of a cancel before it takes effect.
    LoseCancel,
}

/// Fault in force: it hits the next calls for certain, or any call with a probability.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Number of following calls that it hits for certain.
    #[serde(default)]
    pub next: u32,
    /// Probability of hitting each call after these, from 0 to 1.
    #[serde(default)]
    pub chance: f64,
    /// Duration in milliseconds, for kinds that have one.
    #[serde(default)]
    pub ms: u64,
    /// Number of tokens before it takes effect, for kinds that act on a stream.
    #[serde(default)]
    pub after: u32,
}

/// Faults in force and the seeded generator that draws them.
#[derive(Debug)]
pub(super) struct FaultPlan {
    faults: Vec<Fault>,
    random: StdRng,
}

impl Fault {
    /// Creates a fault that hits the next `next` calls.
    pub fn next(kind: FaultKind, next: u32) -> Self {
        Self {
            kind,
            next,
            chance: 0.0,
            ms: 0,
            after: 0,
        }
    }

    /// Creates a fault that hits any call with probability `chance`.
    pub fn chance(kind: FaultKind, chance: f64) -> Self {
        Self {
            chance,
            ..Self::next(kind, 0)
        }
    }

    /// Sets the duration in milliseconds.
    #[must_use]
    pub fn lasting(self, ms: u64) -> Self {
        Self { ms, ..self }
    }

    /// Sets the number of tokens before the fault takes effect.
    #[must_use]
    pub fn after(self, after: u32) -> Self {
        Self { after, ..self }
    }
}

impl FaultPlan {
    pub(super) fn new(faults: Vec<Fault>, seed: u64) -> Self {
        Self {
            faults,
            random: StdRng::seed_from_u64(seed),
        }
    }

    pub(super) fn add(&mut self, fault: Fault) {
        self.faults.push(fault);
    }

    pub(super) fn clear(&mut self) {
        self.faults.clear();
    }

    /// Draws whether a fault of `kind` hits the current call, and returns it if so.
    pub(super) fn draw(&mut self, kind: FaultKind) -> Option<Fault> {
        let random = &mut self.random;
        let hit = |fault: &&mut Fault| {
            let certain = fault.kind == kind && fault.next > 0;
            certain || fault.kind == kind && random.random_bool(fault.chance.clamp(0.0, 1.0))
        };
        let fault = self.faults.iter_mut().find(hit)?;
        fault.next = fault.next.saturating_sub(1);
        Some(fault.clone())
    }

    /// Draws whether an event of probability `chance` happens.
    pub(super) fn happens(&mut self, chance: f64) -> bool {
        self.random.random_bool(chance.clamp(0.0, 1.0))
    }
}
