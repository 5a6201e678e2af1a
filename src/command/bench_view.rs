use {
    super::{
        bench_job::{Job, JobKey},
        bench_profile::PIECES,
    },
    crate::{
        board::{Role, Tick},
        decide::{EndpointLoad, GrantOption, Outlier, ServiceFit},
        key::EndpointKey,
    },
    std::{collections::HashSet, time::Duration},
};

/// A grant at a simulated engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct BenchGrant {
    /// Request that holds the grant.
    pub(super) job: JobKey,
    /// Pieces of engine memory granted.
    pub(super) pieces: u32,
    /// Time of the grant.
    pub(super) since: Tick,
    /// Predicted time to prefill the prompt; zero once it is prefilled.
    pub(super) work: Duration,
}

/// State of a simulated engine as its owner knows it.
#[derive(Clone, Debug)]
pub(super) struct BenchView {
    /// Whether the engine prefills or decodes.
    pub(super) role: Role,
    /// Index of the host that owns the engine.
    pub(super) owner: u32,
    /// Grants in force.
    pub(super) grants: Vec<BenchGrant>,
    /// Fit of the service time, from measured prefills or decode steps.
    pub(super) fit: ServiceFit,
    /// Outlier detection by recorded successes and failures.
    pub(super) outlier: Outlier,
    /// Prefixes that are probably cached.
    pub(super) cache: HashSet<u32>,
    /// Time at which the latest prefill ended.
    pub(super) ended: Tick,
}

impl BenchView {
    /// Creates the view of an engine of which nothing has been measured.
    pub(super) fn new(role: Role, owner: u32) -> Self {
        let fit = match role {
            Role::Prefill => ServiceFit::prefill(),
            Role::Decode | Role::Service => ServiceFit::decode(),
        };
        Self {
            role,
            owner,
            grants: Vec::new(),
            fit,
            outlier: Outlier::default(),
            cache: HashSet::new(),
            ended: Tick::default(),
        }
    }

    /// Pieces of engine memory that are not granted.
    pub(super) fn free(&self) -> u32 {
        let held: u32 = self.grants.iter().map(|grant| grant.pieces).sum();
        PIECES.saturating_sub(held)
    }

    /// Tokens of the prompt that are probably cached.
    pub(super) fn cached(&self, job: &Job) -> u32 {
        if self.cache.contains(&job.prefix) {
            job.prefix_tokens
        } else {
            0
        }
    }

    /// Describes the engine as an option for `job`; `None` if it cannot be chosen.
    pub(super) fn grant_option(
        &self,
        endpoint: EndpointKey,
        job: &Job,
        now: Tick,
    ) -> Option<GrantOption> {
        let computing = self.grants.iter().filter(|grant| !grant.work.is_zero());
        let waiting = computing.clone().count() as u32;
        let total: Duration = computing.clone().map(|grant| grant.work).sum();
        let start = computing.map(|grant| grant.since.max(self.ended)).min();
        let passed = start.map_or(Duration::ZERO, |start| now.since(start));
        let running = self.grants.len() as u32;
        let load = EndpointLoad {
            endpoint,
            role: self.role,
            free: self.free(),
            running,
            computing: waiting,
            exporting: running - waiting,
            backlog: total.saturating_sub(passed),
            cached: self.cached(job),
            standing: self.outlier.standing(now),
            service_fit: self.fit,
        };
        load.grant_option(job.prompt)
    }

    /// Removes and returns the grant of a request, if it has one.
    pub(super) fn remove_grant(&mut self, job: JobKey) -> Option<BenchGrant> {
        let index = self.grants.iter().position(|grant| grant.job == job)?;
        Some(self.grants.swap_remove(index))
    }
}
