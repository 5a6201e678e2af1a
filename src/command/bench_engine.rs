use {
    super::{
        bench_job::JobKey,
        bench_profile::{CACHED_GROUPS, LINK_RATE, STEP_REQUEST, STEP_START},
    },
    crate::board::{Role, Tick},
    std::{collections::VecDeque, time::Duration},
};

/// Model of one engine.
#[derive(Clone, Debug)]
pub(super) struct BenchEngine {
    /// What it does.
    pub(super) role: Role,
    /// Host that owns it.
    pub(super) owner: u32,
    /// Whether it takes every request and breaks it.
    pub(super) broken: bool,
    /// Prompts in order; the first one is being computed.
    pub(super) queue: VecDeque<JobKey>,
    /// Prefixes cached, the least recently used first.
    pub(super) cache: VecDeque<u32>,
    /// Handovers that leave this engine.
    pub(super) link: Link,
    /// Pieces in use.
    pub(super) used: u32,
    /// Attempts that hold memory, their KV cache still on the way or their batch running.
    pub(super) held: u32,
    /// Batch.
    pub(super) batch: Vec<JobKey>,
    /// Number of the batch's next step; a step with another number is void.
    pub(super) steps: u64,
    /// Whether a step is running.
    pub(super) stepping: bool,
}

/// Load of an engine at the time of a report.
#[derive(Clone, Debug, Default)]
pub(super) struct BenchReport {
    /// Prompts waiting or running, or attempts that hold memory.
    pub(super) load: u32,
    /// Prefixes cached.
    pub(super) cache: Vec<u32>,
}

impl BenchEngine {
    /// Creates an idle engine.
    pub(super) fn new(role: Role, owner: u32) -> Self {
        Self {
            role,
            owner,
            broken: false,
            queue: VecDeque::new(),
            cache: VecDeque::new(),
            link: Link::default(),
            used: 0,
            held: 0,
            batch: Vec::new(),
            steps: 0,
            stepping: false,
        }
    }

    /// Uses a prefix and returns whether it was cached.
    pub(super) fn touch(&mut self, group: u32) -> bool {
        let found = self.cache.iter().position(|cached| *cached == group);
        if let Some(index) = found {
            self.cache.remove(index);
        }
        self.cache.push_back(group);
        if self.cache.len() > CACHED_GROUPS {
            self.cache.pop_front();
        }
        found.is_some()
    }

    /// Duration of a step of the present batch.
    pub(super) fn step_time(&self) -> Duration {
        STEP_START + STEP_REQUEST * self.batch.len() as u32
    }

    /// Reports the load.
    pub(super) fn report(&self) -> BenchReport {
        BenchReport {
            load: self.queue.len() as u32 + self.held,
            cache: self.cache.iter().copied().collect(),
        }
    }
}

/// Link of a prefill engine, shared equally by the handovers that use it.
#[derive(Clone, Debug)]
pub(super) struct Link {
    /// Tokens of KV cache a second; 0 while it is stalled.
    pub(super) rate: f64,
    /// Handovers with the tokens left.
    pub(super) active: Vec<(JobKey, f64)>,
    /// When `active` was last brought up to date.
    pub(super) updated: Tick,
    /// Number of changes; an end predicted before the last one is void.
    pub(super) version: u64,
}

impl Default for Link {
    fn default() -> Self {
        Self {
            rate: LINK_RATE,
            active: Vec::new(),
            updated: Tick::default(),
            version: 0,
        }
    }
}

impl Link {
    /// Moves every handover on to `now`.
    pub(super) fn advance(&mut self, now: Tick) {
        let share = self.rate / self.active.len().max(1) as f64;
        let moved = share * now.since(self.updated).as_secs_f64();
        for (_, left) in &mut self.active {
            *left -= moved;
        }
        self.updated = now;
        self.version += 1;
    }

    /// Time until the next handover ends.
    pub(super) fn next_end(&self) -> Option<Duration> {
        if self.rate <= 0.0 {
            return None;
        }
        let left = self.active.iter().map(|(_, left)| *left);
        let least = left.min_by(f64::total_cmp)?;
        let share = self.rate / self.active.len() as f64;
        Some(Duration::from_secs_f64(least.max(0.0) / share) + Duration::from_micros(1))
    }

    /// Removes the handovers that have ended.
    pub(super) fn take_ended(&mut self) -> Vec<JobKey> {
        let (ended, active) = self.active.drain(..).partition(|(_, left)| *left <= 1e-3);
        self.active = active;
        let ended: Vec<(JobKey, f64)> = ended;
        ended.into_iter().map(|(job, _)| job).collect()
    }
}
