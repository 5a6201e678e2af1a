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

/// A grant at an engine of the bench.
#[derive(Clone, Copy, Debug)]
pub(super) struct BenchGrant {
    /// Request.
    pub(super) job: JobKey,
    /// Pieces.
    pub(super) pieces: u32,
    /// When it was given.
    pub(super) since: Tick,
    /// Predicted time to compute the prompt; zero once it is computed.
    pub(super) work: Duration,
}

/// What an owner of the bench knows of an engine.
#[derive(Clone, Debug)]
pub(super) struct BenchView {
    /// Role.
    pub(super) role: Role,
    /// Owner.
    pub(super) owner: u32,
    /// Grants.
    pub(super) grants: Vec<BenchGrant>,
    /// Learned service time.
    pub(super) fit: ServiceFit,
    /// Failure record.
    pub(super) outlier: Outlier,
    /// Prefixes believed to be cached.
    pub(super) cache: HashSet<u32>,
    /// When a prompt was last computed.
    pub(super) ended: Tick,
}

impl BenchView {
    /// Starts with nothing learned.
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

    /// Pieces not granted.
    pub(super) fn free(&self) -> u32 {
        let held: u32 = self.grants.iter().map(|grant| grant.pieces).sum();
        PIECES.saturating_sub(held)
    }

    /// Tokens of the prompt believed to be cached.
    pub(super) fn cached(&self, job: &Job) -> u32 {
        if self.cache.contains(&job.group) {
            job.shared
        } else {
            0
        }
    }

    /// Describes the engine to the choice.
    pub(super) fn place(&self, endpoint: EndpointKey, job: &Job, now: Tick) -> Option<GrantOption> {
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

    /// Removes the grant of a request.
    pub(super) fn take_grant(&mut self, job: JobKey) -> Option<BenchGrant> {
        let index = self.grants.iter().position(|grant| grant.job == job)?;
        Some(self.grants.swap_remove(index))
    }
}
