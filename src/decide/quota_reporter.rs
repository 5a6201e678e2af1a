use {
    super::{CREDIT_TERM, QuotaLimits},
    crate::{
        board::QuotaCredit,
        key::HostKey,
        port::{QuotaAnswer, QuotaNeed, QuotaReply, QuotaReport, QuotaStamp},
    },
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
        time::Duration,
    },
};

/// Interval of reports while requests of the shard's organisations arrive.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of reports otherwise.
const IDLE_INTERVAL: Duration = Duration::from_secs(2);

/// Term for which the share is handed over with each report; two intervals, so that one may be lost.
const SHARE_TERM: Duration = Duration::from_secs(2);

/// The same while no requests arrive.
const IDLE_TERM: Duration = Duration::from_secs(4);

/// Pause after a failed report.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// Time limit of a report.
pub const REPORT_TIMEOUT: Duration = Duration::from_millis(200);

/// Longest time that a request waits for credit.
pub const MAX_ASK_TIME: Duration = Duration::from_millis(250);

/// Longest time for which requests wait for the share of a daemon that has just started.
pub const MAX_START_WAIT: Duration = Duration::from_secs(1);

/// Shortest time after which a request that got no credit is reported again.
const MIN_ASK_PAUSE: Duration = Duration::from_millis(5);

/// Time within which an organisation counts as in use after its last request.
const IN_USE_TIME: Duration = Duration::from_secs(3);

/// Time for which the expected use is kept ready.
const EXPECTED_TIME: Duration = Duration::from_millis(1_200);

/// Shortest time over which the use is averaged.
const AVERAGE_STEP: Duration = Duration::from_millis(200);

/// Time constant of the average. It is long, as one stream request is several seconds of a daemon's usual
/// use, and credit kept ready for another one at each daemon would be more than the ceiling.
const AVERAGE_TIME: Duration = Duration::from_secs(3);

/// Longest time for which refused requests are refused without asking the accountant again.
const REFUSED_TIME: Duration = Duration::from_millis(100);

/// Longest wait stated to refused requests.
const MAX_WAIT: Duration = Duration::from_secs(8);

/// Shortest wait stated to refused requests.
const MIN_WAIT: Duration = Duration::from_millis(20);

/// Time for which a request above the daemon's own ceiling uses the own share.
const LARGE_TIME: Duration = Duration::from_secs(8);

/// This daemon's part in the quotas of one shard: what it hands over to the accountant, what it asks, and
/// which requests get credit.
///
/// `W` is what a waiting request is answered through. Times are since the boot of the host.
#[derive(Debug)]
pub struct QuotaReporter<W> {
    shard: u8,
    sender: u64,
    sequence: u64,
    /// Number of daemons that share the quotas; `None` while this one owns no share.
    daemons: Option<u32>,
    /// When this daemon will own a share, if that is known.
    settles_at: Option<Duration>,
    organisations: BTreeMap<u64, OwnCredit<W>>,
    /// Last accountant that replied, its time stamp, and when that arrived.
    stamp: Option<(HostKey, QuotaStamp, Duration)>,
    /// Accountant that has the share, and until when it may count it.
    lent: Option<(HostKey, Duration)>,
    /// Report in progress: its receiver and when it was sent.
    sent: Option<(HostKey, Duration)>,
    /// When the next regular report is due.
    due: Duration,
    /// Up to when the own share was added to the credit.
    accrued_to: Duration,
}

/// One organisation's credit at this daemon.
#[derive(Debug)]
struct OwnCredit<W> {
    credit: Arc<QuotaCredit>,
    limits: QuotaLimits,
    waiting: VecDeque<WaitingRequest<W>>,
    /// Whether an accountant granted some of the credit.
    is_granted: bool,
    /// Credit of the own share that is not in `credit` yet; negative after a large request.
    share: f64,
    /// Cost of all requests, and credit used, as of `averaged_at`.
    asked: u64,
    used: u64,
    averaged_at: Duration,
    /// Credit used as of the last report.
    reported: u64,
    /// Average cost of the requests per second.
    asked_rate: f64,
    /// Average use per second.
    used_rate: f64,
    in_use_until: Duration,
    refused_until: Duration,
    /// When waiting requests are reported again.
    ask_at: Duration,
    /// Wait that the accountant stated last, or until the share comes back.
    wait: Duration,
    /// When the credit of all refused requests will be there.
    backlog_until: Duration,
}

/// A request that waits for the accountant's reply.
#[derive(Debug)]
struct WaitingRequest<W> {
    cost: u64,
    /// Whether a report has named its cost.
    is_reported: bool,
    /// When it is refused at the latest.
    until: Duration,
    waiter: W,
}

/// Requests with their answers.
pub type QuotaAnswers<W> = Vec<(W, QuotaAnswer)>;

impl<W> QuotaReporter<W> {
    /// Creates the part of the daemon `sender` in `shard`; its reports are numbered from `sequence` on.
    pub fn new(shard: u8, sender: u64, sequence: u64, now: Duration) -> Self {
        Self {
            shard,
            sender,
            sequence,
            daemons: None,
            settles_at: None,
            organisations: BTreeMap::new(),
            stamp: None,
            lent: None,
            sent: None,
            due: now,
            accrued_to: now,
        }
    }

    /// Replaces the limits of all organisations of the shard.
    pub fn set_limits(
        &mut self,
        limits: &BTreeMap<u64, QuotaLimits>,
        now: Duration,
    ) -> QuotaAnswers<W> {
        let mut answers = Vec::new();
        let removed = self
            .organisations
            .extract_if(.., |organisation, _| !limits.contains_key(organisation));
        for (_, own) in removed {
            let waiting = own.waiting.into_iter();
            answers.extend(waiting.map(|request| (request.waiter, QuotaAnswer::Unlimited)));
        }
        for (organisation, limits) in limits {
            self.organisations
                .entry(*organisation)
                .and_modify(|own| own.limits = *limits)
                .or_insert_with(|| OwnCredit::new(*limits, now));
        }
        answers
    }

    /// Returns the credit of each organisation, for the path of requests.
    pub fn credits(&self) -> impl Iterator<Item = (u64, Arc<QuotaCredit>)> {
        let organisations = self.organisations.iter();
        organisations.map(|(organisation, own)| (*organisation, Arc::clone(&own.credit)))
    }

    /// Returns whether any organisation of the shard has a limit.
    pub fn has_limits(&self) -> bool {
        !self.organisations.is_empty()
    }

    /// Sets how many daemons share the quotas; `None` while this one owns no share, which it may do at
    /// `settles_at`.
    pub fn set_daemons(
        &mut self,
        daemons: Option<u32>,
        settles_at: Option<Duration>,
        now: Duration,
    ) {
        if self.daemons.is_none() && daemons.is_some() {
            self.accrued_to = self.accrued_to.max(now);
            self.due = now;
        }
        self.daemons = daemons;
        self.settles_at = settles_at;
    }

    /// Handles a request of `cost` that found no credit; it is answered at once or waits for a report.
    pub fn ask(
        &mut self,
        organisation: u64,
        cost: u64,
        waiter: W,
        now: Duration,
    ) -> Option<(W, QuotaAnswer)> {
        self.accrue(now);
        let part = self.part();
        let lent = self.lent_until(now);
        let start_until = self.start_until(now);
        let Some(own) = self.organisations.get_mut(&organisation) else {
            return Some((waiter, QuotaAnswer::Unlimited));
        };
        own.in_use_until = now + IN_USE_TIME;
        if cost as f64 > own.limits.ceiling {
            return Some((waiter, QuotaAnswer::TooLarge));
        }
        if lent.is_none() {
            own.use_share(cost, part, now);
        }
        if own.waiting.is_empty() {
            if let Some(hold) = own.credit.reserve(cost, now) {
                return Some((waiter, QuotaAnswer::Granted(hold)));
            }
            if now < own.refused_until && own.wait > MAX_ASK_TIME {
                let wait = own.refuse(cost, own.wait, part, now);
                return Some((waiter, QuotaAnswer::Refused(wait)));
            }
        }
        own.waiting.push_back(WaitingRequest {
            cost,
            is_reported: false,
            until: start_until.unwrap_or(now) + MAX_ASK_TIME,
            waiter,
        });
        None
    }

    /// Returns the next report and its receiver, if one is due; `ranked` are the daemons that may be the
    /// accountant, in order of preference.
    pub fn next_report(
        &mut self,
        ranked: &[HostKey],
        now: Duration,
    ) -> Option<(HostKey, QuotaReport)> {
        let waiting = self.is_waiting(now);
        if self.sent.is_some() || !self.has_limits() || (now < self.due && !waiting) {
            return None;
        }
        let first = *ranked.first()?;
        self.accrue(now);
        for own in self.organisations.values_mut() {
            own.average(now);
        }
        let lent = self.lent_until(now);
        // The accountant that has the share is kept until the share is back, then the first one gets it.
        let receiver = match lent {
            Some((host, _)) if ranked.contains(&host) => host,
            _ => first,
        };
        let idle = !self.in_use(now);
        let echo = self.stamp.filter(|(host, ..)| *host == receiver);
        let may_lend = lent.is_none_or(|(host, _)| host == first && host == receiver);
        let daemons = match (self.daemons, echo) {
            (Some(daemons), Some(_)) if may_lend => daemons,
            _ => 0,
        };
        let term = if idle { IDLE_TERM } else { SHARE_TERM };
        if daemons > 0 {
            for own in self.organisations.values_mut() {
                own.move_share(f64::MAX, now);
            }
            let until = lent.map_or(now + term, |(_, until)| until.max(now + term));
            self.lent = Some((receiver, until));
            self.accrued_to = until;
        }
        self.sequence += 1;
        self.sent = Some((receiver, now));
        let needs = self.organisations.iter_mut();
        let needs = needs.filter_map(|(organisation, own)| own.need(*organisation, now));
        Some((
            receiver,
            QuotaReport {
                shard: self.shard,
                sender: self.sender,
                sequence: self.sequence,
                echo: echo.map(|(_, stamp, at)| (stamp, now.saturating_sub(at).as_micros() as u64)),
                daemons,
                term: term.as_micros() as u64,
                needs: needs.collect(),
            },
        ))
    }

    /// Handles the reply to the report in progress.
    pub fn reply(&mut self, reply: &QuotaReply, now: Duration) -> QuotaAnswers<W> {
        let Some((host, sent)) = self.sent.take() else {
            return Vec::new();
        };
        // After a pause of this daemon the credit may have expired at the accountant.
        if now >= sent + CREDIT_TERM {
            return self.failed_at(now);
        }
        let first = self
            .stamp
            .is_none_or(|(known, stamp, _)| known != host || stamp.run != reply.stamp.run);
        self.stamp = Some((host, reply.stamp, now));
        let idle = !self.in_use(now);
        let interval = if idle { IDLE_INTERVAL } else { REPORT_INTERVAL };
        // The first reply only brings the time stamp with which the share is handed over.
        self.due = if first { now } else { sent + interval };
        for grant in &reply.grants {
            if let Some(own) = self.organisations.get_mut(&grant.organisation) {
                own.credit.add(grant.amount, sent + CREDIT_TERM);
                own.is_granted |= own.credit.held() > 0;
                let wait = Duration::from_micros(grant.wait);
                own.refused_until = now + wait.min(REFUSED_TIME);
                own.wait = wait;
            }
        }
        let part = self.part();
        let start_until = self.start_until(now);
        let mut answers = Vec::new();
        for own in self.organisations.values_mut() {
            own.ask_at = Duration::ZERO;
            let later = start_until.unwrap_or(now + own.wait);
            own.answer(Some(later), part, now, &mut answers);
        }
        answers
    }

    /// Handles the failure of the report in progress.
    pub fn fail(&mut self, now: Duration) -> QuotaAnswers<W> {
        self.sent = None;
        self.failed_at(now)
    }

    /// Answers the requests that wait although no accountant can be called.
    pub fn answer_alone(&mut self, now: Duration) -> QuotaAnswers<W> {
        let mut answers = Vec::new();
        if self.sent.is_some() {
            return answers;
        }
        self.due = self.due.max(now + FAILURE_PAUSE);
        self.accrue(now);
        let part = self.part();
        let lent = self.lent_until(now);
        let back = lent.map(|(_, until)| until).or(self.settles_at);
        for own in self.organisations.values_mut() {
            own.wait = back.map_or(Duration::ZERO, |back| back.saturating_sub(now));
            if lent.is_none() {
                let missing = own.waiting.iter().map(|request| request.cost).sum();
                own.use_share(missing, part, now);
            }
            own.answer(None, part, now, &mut answers);
        }
        answers
    }

    /// Returns when the next regular report is due; `None` while one is in progress or none is needed.
    pub fn due(&self) -> Option<Duration> {
        let waiting = self.organisations.values();
        let waiting = waiting.filter(|own| !own.waiting.is_empty());
        let due = waiting.map(|own| own.ask_at).fold(self.due, Duration::min);
        (self.sent.is_none() && self.has_limits()).then_some(due)
    }

    /// Whether requests wait for credit that may be there at `now`.
    pub fn is_waiting(&self, now: Duration) -> bool {
        let mut waiting = self.organisations.values();
        waiting.any(|own| !own.waiting.is_empty() && now >= own.ask_at)
    }

    /// Schedules the next report after a failed one. Requests that have waited too long are answered; the
    /// others wait for a report to the next accountant in order.
    fn failed_at(&mut self, now: Duration) -> QuotaAnswers<W> {
        self.due = now + FAILURE_PAUSE;
        let oldest = self
            .organisations
            .values()
            .filter_map(|own| own.waiting.front());
        let oldest = oldest.map(|request| request.until).min();
        if oldest.is_some_and(|until| now >= until) {
            return self.answer_alone(now);
        }
        Vec::new()
    }

    /// Returns until when requests wait for the share of this daemon, if it begins soon.
    fn start_until(&self, now: Duration) -> Option<Duration> {
        self.settles_at
            .filter(|until| *until > now && *until <= now + MAX_START_WAIT)
    }

    /// Returns the accountant that has the share, and until when, if it has it at `now`.
    fn lent_until(&self, now: Duration) -> Option<(HostKey, Duration)> {
        self.lent.filter(|(_, until)| *until > now)
    }

    fn in_use(&self, now: Duration) -> bool {
        self.organisations
            .values()
            .any(|own| now < own.in_use_until)
    }

    /// This daemon's part of each quota, if it owns one.
    fn part(&self) -> Option<f64> {
        self.daemons.map(|daemons| 1.0 / f64::from(daemons.max(1)))
    }

    /// Adds the share of the time for which no accountant had it, and removes credit that has expired.
    fn accrue(&mut self, now: Duration) {
        let time = now.saturating_sub(self.accrued_to);
        self.accrued_to = self.accrued_to.max(now);
        let part = self.part();
        for own in self.organisations.values_mut() {
            if own.credit.expire(now) {
                own.is_granted = false;
            }
            if let Some(part) = part {
                let added = time.as_secs_f64() * own.limits.rate * part;
                let room = own.limits.ceiling * part - own.credit.held() as f64;
                own.share = (own.share + added).min(room.max(0.0));
            }
        }
    }
}

impl<W> OwnCredit<W> {
    fn new(limits: QuotaLimits, now: Duration) -> Self {
        Self {
            credit: Arc::default(),
            limits,
            waiting: VecDeque::new(),
            is_granted: false,
            share: 0.0,
            asked: 0,
            used: 0,
            averaged_at: now,
            reported: 0,
            asked_rate: 0.0,
            used_rate: 0.0,
            in_use_until: Duration::ZERO,
            refused_until: Duration::ZERO,
            ask_at: Duration::ZERO,
            wait: Duration::ZERO,
            backlog_until: Duration::ZERO,
        }
    }

    /// Averages what requests ask and use, once enough time has passed.
    fn average(&mut self, now: Duration) {
        let time = now.saturating_sub(self.averaged_at);
        if time < AVERAGE_STEP {
            return;
        }
        let (asked, used) = (self.credit.asked(), self.credit.used());
        if asked > self.asked {
            self.in_use_until = now + IN_USE_TIME;
        }
        let time = time.as_secs_f64();
        let weight = 1.0 - (-time / AVERAGE_TIME.as_secs_f64()).exp();
        let rate = |change: u64, before: f64| before + (change as f64 / time - before) * weight;
        self.asked_rate = rate(asked - self.asked, self.asked_rate);
        self.used_rate = rate(used - self.used, self.used_rate);
        (self.asked, self.used) = (asked, used);
        self.averaged_at = now;
    }

    /// Returns what the next report says about the organisation; `None` if there is nothing to say.
    fn need(&mut self, organisation: u64, now: Duration) -> Option<QuotaNeed> {
        let used = self.credit.used();
        let target = if now < self.in_use_until {
            (self.asked_rate * EXPECTED_TIME.as_secs_f64()) as u64
        } else {
            0
        };
        let mut returned = self.credit.take_refunded();
        let free = self.credit.free();
        if self.waiting.is_empty() && free > target + target / 2 {
            returned += self.credit.withdraw(free - target);
        }
        let free = self.credit.free();
        let waiting = self.waiting.iter().map(|request| request.cost);
        let waiting = waiting.fold(0, u64::saturating_add);
        let first = self.waiting.front().map_or(0, |request| request.cost);
        let need = QuotaNeed {
            organisation,
            held: self.credit.held(),
            returned,
            used: used - self.reported,
            expected: target.saturating_sub(free),
            missing: waiting.saturating_sub(free),
            first_missing: first.saturating_sub(free),
        };
        self.reported = used;
        for request in &mut self.waiting {
            request.is_reported = true;
        }
        let nothing = QuotaNeed {
            organisation,
            ..QuotaNeed::default()
        };
        (need != nothing).then_some(need)
    }

    /// Moves the own share to the credit for a request of `cost`, `part` of the quota being owned here.
    ///
    /// A request above the own ceiling takes the place of `LARGE_TIME` of the share, if it fits in that:
    /// with the share of many daemons, no ceiling would ever allow it.
    fn use_share(&mut self, cost: u64, part: Option<f64>, now: Duration) {
        let Some(part) = part else { return };
        let ceiling = self.limits.ceiling * part;
        let large = self.limits.rate * part * LARGE_TIME.as_secs_f64();
        let cost = cost as f64;
        if cost <= ceiling {
            self.move_share(ceiling, now);
        } else if cost <= large {
            let stored = self.share + self.credit.held() as f64;
            // The ceiling may be a fraction above what whole units of credit can reach.
            if stored + 1.0 >= ceiling {
                let lacking = (cost - self.credit.free() as f64).max(0.0);
                self.credit.add(lacking as u64, now + CREDIT_TERM);
                self.share = stored - large;
            }
        }
    }

    /// Moves the own share to the credit, which then holds up to `ceiling`.
    fn move_share(&mut self, ceiling: f64, now: Duration) {
        let room = ceiling - self.credit.held() as f64;
        let moved = self.share.min(room).max(0.0).floor();
        self.share -= moved;
        // Credit that an accountant granted keeps its time of expiry, which holds for all credit.
        if !self.is_granted {
            self.credit.add(moved as u64, now + CREDIT_TERM);
        } else if moved > 0.0 {
            self.credit.add(moved as u64, Duration::ZERO);
        }
    }

    /// Answers the waiting requests. After the reply to a report, a request goes on waiting if it came after the
    /// report, or if there may be credit for it at `reported` and that is soon.
    fn answer(
        &mut self,
        reported: Option<Duration>,
        part: Option<f64>,
        now: Duration,
        answers: &mut QuotaAnswers<W>,
    ) {
        for request in std::mem::take(&mut self.waiting) {
            if let Some(hold) = self.credit.reserve(request.cost, now) {
                answers.push((request.waiter, QuotaAnswer::Granted(hold)));
                continue;
            }
            if let Some(later) = reported {
                let is_new = !request.is_reported;
                let is_soon = later > now && later <= request.until;
                if is_new || is_soon {
                    if is_soon {
                        self.ask_at = later.max(now + MIN_ASK_PAUSE);
                    }
                    self.waiting.push_back(request);
                    continue;
                }
            }
            let wait = self.refuse(request.cost, self.wait, part, now);
            answers.push((request.waiter, QuotaAnswer::Refused(wait)));
        }
    }

    /// Returns the wait of a refused request of `cost`, behind those refused before it and `least` at least.
    fn refuse(&mut self, cost: u64, least: Duration, part: Option<f64>, now: Duration) -> Duration {
        let rate = (self.limits.rate * part.unwrap_or_default()).max(self.used_rate);
        let limit = MAX_WAIT.as_secs_f64();
        let time = if rate > 0.0 {
            cost as f64 / rate
        } else {
            limit
        };
        let from = self.backlog_until.max(now);
        let until = from + Duration::from_secs_f64(time.min(limit));
        self.backlog_until = until.min(now + MAX_WAIT);
        self.backlog_until
            .saturating_sub(now)
            .max(least)
            .clamp(MIN_WAIT, MAX_WAIT)
    }
}
