use {
    super::QuotaLimits,
    crate::port::{QuotaGrant, QuotaNeed, QuotaReply, QuotaReport, QuotaStamp},
    std::{collections::BTreeMap, time::Duration},
};

/// Time for which granted credit is valid, from when the request for it was sent.
pub const CREDIT_TERM: Duration = Duration::from_secs(2);

/// Longest term for which a share may be handed over.
const MAX_TERM: Duration = Duration::from_secs(10);

/// Time for which a refused request keeps smaller ones from taking the credit that it waits for.
const LEVEL_TIME: Duration = Duration::from_secs(1);

/// Part of the bucket that one report may take for requests that are only expected.
const EXPECTED_PART: f64 = 0.25;

/// Part of the ceiling that is kept for requests that wait.
const WAITING_PART: f64 = 0.25;

/// Longest wait stated to refused requests.
const MAX_WAIT: Duration = Duration::from_secs(8);

/// Wait stated while no share is handed over.
const EMPTY_WAIT: Duration = Duration::from_secs(1);

/// Time after which a sender that reports no more is forgotten.
const FORGET_TIME: Duration = Duration::from_secs(30);

/// Interval at which the use of an organisation is averaged.
const USE_INTERVAL: Duration = Duration::from_secs(2);

/// Credit of the organisations of one shard, pooled from the shares that daemons handed over.
///
/// It grants no more than these shares amount to. Times are since the boot of the host.
#[derive(Clone, Debug)]
pub struct QuotaPool {
    run: u64,
    settled_at: Duration,
    /// Sum of the parts of the rate that were handed over, integrated over time, in seconds.
    share_seconds: f64,
    /// Part of the quotas that is handed over.
    part: f64,
    senders: BTreeMap<u64, Sender>,
    organisations: BTreeMap<u64, PooledCredit>,
}

/// A daemon that reports to this accountant.
#[derive(Clone, Copy, Debug, Default)]
struct Sender {
    /// Part of each quota that it handed over.
    part: f64,
    /// Until when the part counts here.
    until: Duration,
    sequence: u64,
    heard_at: Duration,
}

/// Pooled credit of one organisation.
#[derive(Clone, Debug)]
struct PooledCredit {
    limits: QuotaLimits,
    /// Credit to grant.
    level: f64,
    /// Value of `share_seconds` up to which the level has been filled.
    filled_to: f64,
    /// Credit that daemons hold, and until when.
    outstanding: BTreeMap<u64, (u64, Duration)>,
    /// Credit that a refused request waits for, and until when smaller ones leave it alone.
    awaited: (u64, Duration),
    /// When the credit of all refused requests will be there.
    backlog_until: Duration,
    /// Use since `use_since`, and the average per second before.
    used: u64,
    use_since: Duration,
    use_rate: f64,
}

/// Use of an organisation's quota, as the accountant knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaUse {
    /// Hash of the organisation's name.
    pub organisation: u64,
    /// Cost of its requests per second at all daemons together.
    pub rate: f64,
    /// Credit that can be granted at once.
    pub level: f64,
    /// Part of the quota that daemons have handed over.
    pub part: f64,
}

impl QuotaPool {
    /// Creates an empty pool at `now`; `run` tells it from the pools of earlier runs.
    pub fn new(run: u64, now: Duration) -> Self {
        Self {
            run,
            settled_at: now,
            share_seconds: 0.0,
            part: 0.0,
            senders: BTreeMap::new(),
            organisations: BTreeMap::new(),
        }
    }

    /// Replaces the limits of all organisations at `now`; one that is new begins without credit.
    pub fn set_limits(&mut self, limits: &BTreeMap<u64, QuotaLimits>, now: Duration) {
        self.settle(now);
        self.fill_all(now);
        self.organisations
            .retain(|organisation, _| limits.contains_key(organisation));
        for (organisation, limits) in limits {
            let seconds = self.share_seconds;
            self.organisations
                .entry(*organisation)
                .and_modify(|credit| credit.limits = *limits)
                .or_insert_with(|| PooledCredit::new(*limits, seconds, now));
        }
        self.fill_all(now);
    }

    /// Handles `report` at `now`.
    ///
    /// Returns `None` if a later report of the same sender was handled before.
    pub fn report(&mut self, report: &QuotaReport, now: Duration) -> Option<QuotaReply> {
        self.settle(now);
        let known = self.senders.get(&report.sender).copied();
        if known.is_some_and(|known| known.sequence >= report.sequence) {
            return None;
        }
        let (part, until) = self.handed_over(report, now).unwrap_or_default();
        let known = known.unwrap_or_default();
        // A report that hands over nothing leaves what was handed over before.
        let sender = Sender {
            part: if part > 0.0 { part } else { known.part },
            until: known.until.max(until),
            sequence: report.sequence,
            heard_at: now,
        };
        self.senders.insert(report.sender, sender);
        self.count_parts(now);
        let needs = report.needs.iter();
        let grants = needs
            .filter_map(|need| self.grant(report.sender, need, now))
            .collect();
        let stamp = QuotaStamp {
            run: self.run,
            time: now.as_micros() as u64,
        };
        Some(QuotaReply { stamp, grants })
    }

    /// Returns the use of each organisation at `now`.
    pub fn uses(&mut self, now: Duration) -> Vec<QuotaUse> {
        self.settle(now);
        self.fill_all(now);
        let organisations = self.organisations.iter_mut();
        let uses = organisations.map(|(organisation, credit)| {
            credit.average(now);
            QuotaUse {
                organisation: *organisation,
                rate: credit.use_rate,
                level: credit.level,
                part: self.part,
            }
        });
        uses.collect()
    }

    /// Returns the part that `report` hands over, and until when it counts.
    ///
    /// It was sent after the stamp that it returns and the time since then, so the part counts no longer
    /// here than the sender does without it.
    fn handed_over(&self, report: &QuotaReport, now: Duration) -> Option<(f64, Duration)> {
        let (stamp, elapsed) = report.echo?;
        if report.daemons == 0 || stamp.run != self.run {
            return None;
        }
        let sent = Duration::from_micros(stamp.time.saturating_add(elapsed)).min(now);
        let term = Duration::from_micros(report.term).min(MAX_TERM);
        Some((1.0 / f64::from(report.daemons), sent + term))
    }

    /// Integrates the parts that were handed over up to `now`, forgets senders, and limits the credit if
    /// parts have lapsed.
    fn settle(&mut self, now: Duration) {
        let now = now.max(self.settled_at);
        let since = self.settled_at;
        let senders = self.senders.values();
        let seconds = senders.map(|sender| {
            let time = sender.until.min(now).saturating_sub(since);
            sender.part * time.as_secs_f64()
        });
        self.share_seconds += seconds
            .sum::<f64>()
            .min(now.saturating_sub(since).as_secs_f64());
        self.settled_at = now;
        self.senders
            .retain(|_, sender| sender.heard_at + FORGET_TIME > now);
        let before = self.part;
        self.count_parts(now);
        if self.part < before {
            self.fill_all(now);
        }
    }

    /// Adds up the parts that are handed over at `now`.
    fn count_parts(&mut self, now: Duration) {
        let held = self.senders.values().filter(|sender| sender.until > now);
        let part = held.fold(0.0, |sum, sender| sum + sender.part);
        self.part = f64::min(part, 1.0);
    }

    fn fill_all(&mut self, now: Duration) {
        for credit in self.organisations.values_mut() {
            credit.fill(self.share_seconds, self.part, now);
        }
    }

    /// Grants credit for `need` of `sender`; `None` if the organisation has no limits here.
    fn grant(&mut self, sender: u64, need: &QuotaNeed, now: Duration) -> Option<QuotaGrant> {
        let credit = self.organisations.get_mut(&need.organisation)?;
        credit.fill(self.share_seconds, self.part, now);
        credit.used = credit.used.saturating_add(need.used);
        credit.average(now);
        credit.outstanding.remove(&sender);
        let room = credit.room(self.part, now) - need.held as f64;
        credit.level = (credit.level + need.returned as f64).min(room).max(0.0);
        let (amount, wait) = credit.take(need, self.part, now);
        let held = need.held.saturating_add(amount);
        if held > 0 {
            let until = now + CREDIT_TERM;
            credit.outstanding.insert(sender, (held, until));
        }
        Some(QuotaGrant {
            organisation: need.organisation,
            amount,
            wait: wait.as_micros() as u64,
        })
    }
}

impl PooledCredit {
    fn new(limits: QuotaLimits, filled_to: f64, now: Duration) -> Self {
        Self {
            limits,
            level: 0.0,
            filled_to,
            outstanding: BTreeMap::new(),
            awaited: (0, Duration::ZERO),
            backlog_until: Duration::ZERO,
            used: 0,
            use_since: now,
            use_rate: 0.0,
        }
    }

    /// Credit that may be stored here, beside what daemons hold.
    fn room(&mut self, part: f64, now: Duration) -> f64 {
        self.outstanding.retain(|_, (_, until)| *until > now);
        let outstanding: u64 = self.outstanding.values().map(|(amount, _)| amount).sum();
        self.limits.ceiling * part - outstanding as f64
    }

    /// Fills the level up to `share_seconds`, and limits it to its room.
    fn fill(&mut self, share_seconds: f64, part: f64, now: Duration) {
        let seconds = share_seconds - self.filled_to;
        self.filled_to = share_seconds;
        let room = self.room(part, now);
        self.level = (self.level + seconds * self.limits.rate).min(room).max(0.0);
    }

    /// Takes what `need` may get; returns the amount, and the wait of the first request if it gets nothing.
    ///
    /// Waiting requests come first, all of them or the first one; the smaller ones may not take the credit
    /// that a larger one was refused for, or the larger ones would never get any.
    fn take(&mut self, need: &QuotaNeed, part: f64, now: Duration) -> (u64, Duration) {
        let (awaited, until) = self.awaited;
        let awaited = if until > now { awaited } else { 0 };
        let allows = |amount: u64| self.level >= amount.max(awaited) as f64;
        let mut amount = 0;
        if need.missing > 0 {
            amount = if allows(need.missing) {
                need.missing
            } else if allows(need.first_missing) {
                need.first_missing
            } else {
                let rate = self.limits.rate * part;
                return (0, self.refuse(need.first_missing, awaited, rate, now));
            };
        }
        self.level -= amount as f64;
        let kept = (self.limits.ceiling * part * WAITING_PART).max(awaited as f64);
        let spare = (self.level - kept).max(0.0) * EXPECTED_PART;
        let expected = (need.expected as f64).min(spare) as u64;
        self.level -= expected as f64;
        (amount + expected, Duration::ZERO)
    }

    /// Records a refused request of `cost`; returns after what time its credit is there, behind that of the
    /// requests refused before it.
    fn refuse(&mut self, cost: u64, awaited: u64, rate: f64, now: Duration) -> Duration {
        let awaited = awaited.max(cost);
        self.awaited = (awaited, now + LEVEL_TIME);
        if rate <= 0.0 {
            return EMPTY_WAIT;
        }
        let lacking = (awaited as f64 - self.level).max(0.0) / rate;
        let lacking = Duration::from_secs_f64(lacking.min(MAX_WAIT.as_secs_f64()));
        let in_line = Duration::from_secs_f64((cost as f64 / rate).min(MAX_WAIT.as_secs_f64()));
        let from = self.backlog_until.max(now);
        self.backlog_until = (from + in_line).min(now + MAX_WAIT);
        self.backlog_until.saturating_sub(now).max(lacking)
    }

    /// Averages the use, once enough time has passed.
    fn average(&mut self, now: Duration) {
        let time = now.saturating_sub(self.use_since);
        if time >= USE_INTERVAL {
            self.use_rate = self.used as f64 / time.as_secs_f64();
            self.used = 0;
            self.use_since = now;
        }
    }
}
