use {
    rand::{RngExt, SeedableRng, rngs::StdRng},
    serde::{Deserialize, Serialize},
};

/// What a stand-in does wrong.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Refuses a call before it runs.
    Refuse,
    /// Dies while it runs an attempt: connections drop, all state is lost.
    Die,
    /// Stops a KV transfer for `ms` after its first part.
    StallTransfer,
    /// Stops generation for `ms` once `after` tokens are there.
    StallTokens,
    /// Ends a stream without its final chunk once `after` tokens were sent.
    Truncate,
    /// Breaks the connection of a stream once `after` tokens were sent.
    Break,
    /// Sends one chunk twice.
    Repeat,
    /// Sends a chunk of another attempt in between.
    Cross,
    /// Sends one chunk after its successor.
    Late,
    /// Engine: one step takes ten times as long. Service: a call takes `ms` longer.
    Slow,
    /// Cancels, or runs a call, but breaks the connection instead of answering.
    LoseAnswer,
    /// Loses a cancel before it takes effect.
    LoseCancel,
}

/// A fault in force: for the next calls, or with a probability.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// Number of calls that it hits for certain.
    #[serde(default)]
    pub next: u32,
    /// Probability of hitting any other call, from 0 to 1.
    #[serde(default)]
    pub chance: f64,
    /// Duration in milliseconds, where the kind has one.
    #[serde(default)]
    pub ms: u64,
    /// Tokens before it takes effect, where the kind has such a point.
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
    /// A fault of the next `next` calls.
    pub fn next(kind: FaultKind, next: u32) -> Self {
        Self {
            kind,
            next,
            chance: 0.0,
            ms: 0,
            after: 0,
        }
    }

    /// A fault that hits any call with probability `chance`.
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

    /// Draws whether a fault of `kind` hits the call at hand.
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

    /// Draws an event of probability `chance`.
    pub(super) fn happens(&mut self, chance: f64) -> bool {
        self.random.random_bool(chance.clamp(0.0, 1.0))
    }
}
