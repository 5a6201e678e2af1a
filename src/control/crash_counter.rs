use {
    crate::{
        board::{PoolRefusals, Refusals, Section, Tick, Writer, section},
        decide::{Crash, CrashRecord, RefusedCauses},
        key::CauseKey,
        port::ReportedCrash,
    },
    std::time::Duration,
};

/// Most cleared causes of a pool that other daemons are notified of.
const MAX_CLEARED: usize = 64;

/// Counts the crashes that are reported to this daemon, and publishes each decision to refuse a cause.
#[derive(Debug)]
pub(super) struct CrashCounter {
    record: CrashRecord,
    writer: Writer<Refusals>,
}

impl CrashCounter {
    /// Creates the counter, and the section that it writes.
    pub(super) fn new() -> (Self, Section<Refusals>) {
        let (writer, refusals) = section(Refusals::default());
        let record = CrashRecord::default();
        (Self { record, writer }, refusals)
    }

    /// Records that `endpoint` broke off a run of `causes` that took `ran_for`.
    pub(super) fn record_crash(&mut self, pool: &str, crash: &ReportedCrash, now: Tick) {
        let ended = now.before(crash.age);
        let crashed = Crash {
            engine: crash.endpoint.clone(),
            started: ended.before(crash.ran_for),
            ended,
        };
        let refused = self.record.record_crash(&crash.causes, &crashed, now);
        log::info!(
            pool,
            endpoint = crash.endpoint.as_str(),
            crashes = self.counts(&crash.causes),
            age_ms = crash.age.as_millis() as u64;
            "endpoint broke off early in a response; crash recorded"
        );
        if !refused.is_empty() {
            log::warn!(
                pool,
                causes = cause_list(&refused);
                "several endpoints crashed under the same cause; requests with it are refused"
            );
            self.publish(pool, &[], now);
        }
    }

    /// Records that a request with `causes` was answered.
    pub(super) fn record_answer(&mut self, pool: &str, causes: &[CauseKey], now: Tick) {
        let cleared = self.record.record_answer(causes, now);
        if !cleared.is_empty() {
            log::info!(
                pool,
                causes = cause_list(&cleared);
                "a request with a refused cause was answered; it is no longer refused"
            );
            self.publish(pool, &cleared, now);
            self.publish_cleared(&cleared, now);
        }
    }

    /// Records that the end of a request with `causes` says nothing about what crashes endpoints.
    pub(super) fn record_unknown(&mut self, causes: &[CauseKey], now: Tick) {
        self.record.record_unknown(causes, now);
    }

    /// Records that a request with `causes` goes to an endpoint.
    pub(super) fn record_placement(&mut self, causes: &[CauseKey], now: Tick) {
        self.record.record_placement(causes, now);
    }

    /// Takes over what another daemon decided.
    pub(super) fn merge(
        &mut self,
        refused: &[(CauseKey, Duration)],
        cleared: &[CauseKey],
        now: Tick,
    ) {
        self.record.merge(refused, now);
        self.record.clear(cleared);
        self.publish_cleared(cleared, now);
        let published = self.writer.load();
        let is_refused = |cause: &CauseKey| refused.iter().any(|(refused, _)| refused == cause);
        let mut states = published.pools.values();
        if states.any(|state| state.cleared.iter().any(is_refused)) {
            drop(published);
            // What was cleared before must not end the new refusal. No daemon needs to be notified of that.
            let mut next = Refusals::clone(&self.writer.load());
            for state in next.pools.values_mut() {
                state.cleared.retain(|cause| !is_refused(cause));
            }
            self.writer.publish(next);
        }
    }

    /// Takes over what the daemons of `pool` refuse that this one is to decide on from now on, and notifies
    /// those that start later.
    pub(super) fn adopt(&mut self, pool: &str, refused: &[(CauseKey, Duration)], now: Tick) {
        self.record.merge(refused, now);
        let published = self.writer.load();
        let known = |cause| published.remaining(pool, &[cause], now).is_some();
        let is_new = refused.iter().any(|(cause, _)| !known(*cause));
        drop(published);
        if is_new {
            self.publish(pool, &[], now);
        }
    }

    /// Publishes that `cleared` are no longer refused for the pools in which they were.
    fn publish_cleared(&mut self, cleared: &[CauseKey], now: Tick) {
        let published = self.writer.load();
        let is_cleared = |state: &PoolRefusals| {
            let mut causes = state.refused.iter().map(|(cause, _)| cause);
            causes.any(|cause| cleared.contains(cause))
        };
        let pools = published.pools.iter();
        let outdated = pools.filter(|(_, state)| is_cleared(state));
        let outdated: Vec<_> = outdated.map(|(pool, _)| pool.clone()).collect();
        drop(published);
        for pool in outdated {
            self.publish(&pool, cleared, now);
        }
    }

    /// Whether a request with `causes` is not retried.
    pub(super) fn is_suspect(&self, causes: &[CauseKey]) -> bool {
        self.record.is_suspect(causes)
    }

    /// Returns the causes that are refused.
    pub(super) fn refused(&self) -> &RefusedCauses {
        self.record.refused()
    }

    /// Publishes the causes that are refused, and adds `cleared` to those that no longer are.
    fn publish(&mut self, pool: &str, cleared: &[CauseKey], now: Tick) {
        let mut next = Refusals::clone(&self.writer.load());
        next.version += 1;
        let state = next.pools.entry(pool.to_owned()).or_default();
        let refused = self.record.refused().list(now);
        update(state, &refused, cleared, now);
        self.writer.publish(next);
    }

    /// Returns `causes` as text, each with the number of its crashes that count.
    fn counts(&self, causes: &[CauseKey]) -> String {
        let counts = causes
            .iter()
            .map(|cause| format!("{cause}={}", self.record.count(*cause)));
        counts.collect::<Vec<_>>().join(",")
    }
}

/// Replaces the causes that are refused, and adds `cleared` to those that no longer are.
fn update(
    state: &mut PoolRefusals,
    refused: &[(CauseKey, Duration)],
    cleared: &[CauseKey],
    now: Tick,
) {
    state.refused = refused
        .iter()
        .map(|(cause, left)| (*cause, now + *left))
        .collect();
    state.cleared.extend(cleared);
    let is_refused = |cause: &CauseKey| refused.iter().any(|(refused, _)| refused == cause);
    state.cleared.retain(|cause| !is_refused(cause));
    let surplus = state.cleared.len().saturating_sub(MAX_CLEARED);
    state.cleared.drain(..surplus);
}

fn cause_list(causes: &[CauseKey]) -> String {
    let keys = causes.iter().map(CauseKey::to_string);
    keys.collect::<Vec<_>>().join(",")
}
