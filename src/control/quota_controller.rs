use {
    super::{
        avoided_hosts::AvoidedHosts,
        quota_counters::{QuotaCounters, QuotaFigures},
        quota_handle::{QuotaHandle, QuotaMessage},
    },
    crate::{
        board::{Blackboard, Members, Quotas, Section, Writer},
        decide::{
            QUOTA_SHARDS, QuotaAnswers, QuotaFleet, QuotaLimits, QuotaPool, QuotaReporter,
            REPORT_TIMEOUT, placer_order, quota_number, quota_shard, quota_shard_name,
        },
        key::{HostKey, name_hash},
        port::{Clock, Peer, PeerCall, PeerReply, QuotaAnswer, QuotaReply, QuotaReport},
    },
    std::{collections::BTreeMap, time::Duration},
    tokio::{
        sync::{mpsc, oneshot},
        task::JoinSet,
        time::timeout,
    },
};

/// Time for which a daemon is not called again after a report without a usable reply.
const AVOID_TIME: Duration = Duration::from_secs(4);

/// Time for which the order of the accountants is kept while the list of daemons stays the same.
const RANK_TIME: Duration = Duration::from_secs(1);

/// Interval at which the metrics of the organisations that this daemon accounts for are refreshed.
const FIGURES_INTERVAL: Duration = Duration::from_secs(2);

/// Messages that may wait for the controller; further ones are refused.
const MAILBOX_CAPACITY: usize = 4_096;

/// Number of units per quota in the metric of the parts that were handed over.
const THOUSANDTHS: f64 = 1_000.0;

/// Reports the use of the organisations' quotas to their accountants, and is the accountant of those for
/// which this daemon ranks first.
///
/// While no organisation has a quota, it sends no messages and has no timers.
#[derive(Debug)]
pub struct QuotaController<P, C> {
    parts: QuotaParts<P, C>,
    routing_version: Option<u64>,
    mailbox: mpsc::Receiver<QuotaMessage>,
    avoided: AvoidedHosts<C>,
    fleet: QuotaFleet,
    shards: Vec<Shard>,
    /// Names of the organisations that have quotas, by number.
    names: BTreeMap<u64, String>,
    calls: JoinSet<EndedReport>,
    figures_at: Duration,
}

/// What a quota controller works with.
#[derive(Debug)]
pub struct QuotaParts<P, C> {
    /// Client of other daemons.
    pub peer: P,
    /// Source of time and sleep.
    pub clock: C,
    /// Blackboard from which routing and members are read.
    pub board: Blackboard,
    /// Writer of the section with the credit of each organisation.
    pub writer: Writer<Quotas>,
    /// Name of this daemon's host.
    pub host: String,
    /// Start time of this daemon in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Metrics.
    pub counters: QuotaCounters,
}

/// The organisations of one shard.
#[derive(Debug)]
struct Shard {
    reporter: QuotaReporter<oneshot::Sender<QuotaAnswer>>,
    pool: QuotaPool,
    limits: BTreeMap<u64, QuotaLimits>,
    /// Daemons in the order in which they are called as accountants, and until when that is kept.
    ranked: (Vec<HostKey>, Duration),
}

/// End of a report to another daemon.
#[derive(Debug)]
struct EndedReport {
    shard: usize,
    host: HostKey,
    reply: Result<QuotaReply, String>,
}

impl<P, C> QuotaController<P, C>
where
    P: Peer,
    C: Clock,
{
    /// Creates the controller and its handle.
    pub fn new(parts: QuotaParts<P, C>) -> (Self, QuotaHandle<C>) {
        let (sender, mailbox) = mpsc::channel(MAILBOX_CAPACITY);
        let now = parts.clock.since_boot();
        let sender_number = name_hash(&parts.host);
        // Reports of this run have greater numbers than those of an earlier one.
        let sequence = parts.incarnation.saturating_mul(1_000_000);
        let shards = (0..QUOTA_SHARDS).map(|shard| Shard {
            reporter: QuotaReporter::new(shard, sender_number, sequence, now),
            pool: QuotaPool::new(parts.incarnation, now),
            limits: BTreeMap::new(),
            ranked: (Vec::new(), Duration::ZERO),
        });
        let handle = QuotaHandle {
            clock: parts.clock.clone(),
            quotas: parts.board.quotas.clone(),
            mailbox: sender,
        };
        let controller = Self {
            routing_version: None,
            mailbox,
            avoided: AvoidedHosts::new(parts.clock.clone()),
            fleet: QuotaFleet::default(),
            shards: shards.collect(),
            names: BTreeMap::new(),
            calls: JoinSet::new(),
            figures_at: now,
            parts,
        };
        (controller, handle)
    }

    /// Runs until every handle has been dropped.
    pub async fn run(mut self) {
        let mut routing = self.parts.board.routing.clone();
        let mut members = self.parts.board.members.clone();
        self.observe_members(&members);
        loop {
            self.refresh_limits();
            self.send_reports();
            let is_active = !self.names.is_empty();
            let wait = self.next_wait();
            tokio::select! {
                message = self.mailbox.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                Some(ended) = self.calls.join_next(), if !self.calls.is_empty() => {
                    if let Ok(ended) = ended {
                        self.end_report(ended);
                    }
                }
                is_open = routing.changed() => if !is_open {
                    return;
                },
                is_open = members.changed() => {
                    if !is_open {
                        return;
                    }
                    self.observe_members(&members);
                }
                () = self.parts.clock.sleep(wait), if is_active => {}
            }
        }
    }

    /// Returns the time until the next regular report, or until this daemon owns a share.
    fn next_wait(&self) -> Duration {
        let now = self.parts.clock.since_boot();
        let due = self.shards.iter().filter_map(|shard| shard.reporter.due());
        // A share that begins makes the next report due at once.
        let next = due.chain(self.fleet.settles_at()).min();
        let wait = next.map_or(Duration::MAX, |next| next.saturating_sub(now));
        wait.max(Duration::from_millis(1))
    }

    /// Counts the daemons that share the quotas, if the store's list of them is known.
    fn observe_members(&mut self, members: &Section<Members>) {
        let members = members.load();
        if members.is_listed {
            let now = self.parts.clock.since_boot();
            let starts = members.hosts.iter().map(|(_, host)| host.incarnation);
            self.fleet.observe(now, self.parts.incarnation, starts);
        }
        for shard in &mut self.shards {
            shard.ranked.1 = Duration::ZERO;
        }
    }

    /// Takes over the quotas of a new version of the routing configuration.
    fn refresh_limits(&mut self) {
        let routing = self.parts.board.routing.load();
        if self.routing_version == Some(routing.version) {
            return;
        }
        self.routing_version = Some(routing.version);
        let now = self.parts.clock.since_boot();
        let mut names = BTreeMap::new();
        let mut limits = vec![BTreeMap::new(); self.shards.len()];
        for (_, organisation) in routing.organisations.iter() {
            if let Some(quota) = &organisation.quota {
                let number = quota_number(&organisation.name);
                names.insert(number, organisation.name.clone());
                let shard = usize::from(quota_shard(number));
                limits[shard].insert(number, QuotaLimits::new(quota));
            }
        }
        if names.is_empty() && self.names.is_empty() {
            return;
        }
        log::info!(version = routing.version, organisations = names.len(); "quotas of organisations taken over");
        let mut credits = Quotas::default();
        for (shard, limits) in self.shards.iter_mut().zip(limits) {
            answer(shard.reporter.set_limits(&limits, now));
            shard.pool.set_limits(&limits, now);
            shard.limits = limits;
            for (number, credit) in shard.reporter.credits() {
                if let Some(name) = names.get(&number) {
                    credits.credits.insert(name.clone(), credit);
                }
            }
        }
        self.names = names;
        self.parts.writer.publish(credits);
    }

    fn handle(&mut self, message: QuotaMessage) {
        self.refresh_limits();
        let now = self.parts.clock.since_boot();
        match message {
            QuotaMessage::Ask(ask) => {
                let number = quota_number(&ask.organisation);
                self.count_daemons(now);
                let shard = &mut self.shards[usize::from(quota_shard(number))];
                let answered = shard.reporter.ask(number, ask.cost, ask.waiter, now);
                answer(answered.into_iter().collect());
            }
            QuotaMessage::Report(report, reply) => {
                let handled = self.account(&report, now);
                // A requester that has left needs no reply.
                let _ = reply.send(handled);
            }
        }
    }

    /// Handles a report as the accountant.
    fn account(&mut self, report: &QuotaReport, now: Duration) -> Option<QuotaReply> {
        let shard = self.shards.get_mut(usize::from(report.shard))?;
        let reply = shard.pool.report(report, now);
        if now >= self.figures_at + FIGURES_INTERVAL {
            self.figures_at = now;
            self.refresh_figures(now);
        }
        reply
    }

    fn count_daemons(&mut self, now: Duration) {
        let daemons = self.fleet.daemons(now);
        let settles_at = self.fleet.settles_at();
        for shard in &mut self.shards {
            shard.reporter.set_daemons(daemons, settles_at, now);
        }
    }

    /// Sends the reports that are due, and answers requests that wait while no accountant can be called.
    fn send_reports(&mut self) {
        if self.names.is_empty() {
            return;
        }
        let now = self.parts.clock.since_boot();
        self.count_daemons(now);
        for index in 0..self.shards.len() {
            // This daemon's own reply may make another report due.
            loop {
                let reporter = &self.shards[index].reporter;
                let is_due = reporter.due().is_some_and(|due| due <= now);
                if !is_due && !reporter.is_waiting(now) {
                    break;
                }
                self.rank(index, now);
                let shard = &mut self.shards[index];
                let Some((host, report)) = shard.reporter.next_report(&shard.ranked.0, now) else {
                    answer(shard.reporter.answer_alone(now));
                    break;
                };
                if host != self.parts.board.members.load().own {
                    self.send_report(index, host, report);
                    break;
                }
                let reply = self.account(&report, now);
                let reply = reply.ok_or_else(|| "the report was repeated".to_owned());
                let shard = index;
                self.end_report(EndedReport { shard, host, reply });
            }
        }
    }

    /// Refreshes the order of the accountants of a shard, if it may have changed.
    fn rank(&mut self, index: usize, now: Duration) {
        let shard = &mut self.shards[index];
        if now < shard.ranked.1 {
            return;
        }
        let members = self.parts.board.members.load();
        let available = members
            .hosts
            .iter()
            .filter(|(key, _)| members.is_listed && !self.avoided.contains(*key));
        let name = quota_shard_name(index as u8);
        let ranked = placer_order(&name, available, self.parts.clock.unix_ms());
        shard.ranked = (ranked, now + RANK_TIME);
    }

    /// Starts a call with `report` to `host`.
    fn send_report(&mut self, shard: usize, host: HostKey, report: QuotaReport) {
        let members = self.parts.board.members.load();
        let address = members.hosts.get(host).map(|host| host.address.clone());
        let peer = self.parts.peer.clone();
        self.calls.spawn(async move {
            let reply = match address {
                Some(address) => {
                    let call = peer.call(&address, PeerCall::ReportQuota(report));
                    match timeout(REPORT_TIMEOUT, call).await {
                        Ok(Ok(PeerReply::Quota(reply))) => Ok(reply),
                        Ok(Ok(PeerReply::Failed(reason))) => Err(reason),
                        Ok(Ok(_)) => Err("the reply is not about quotas".to_owned()),
                        Ok(Err(e)) => Err(e.to_string()),
                        Err(_) => Err("no reply within the time limit".to_owned()),
                    }
                }
                None => Err("the daemon is no longer listed".to_owned()),
            };
            EndedReport { shard, host, reply }
        });
    }

    /// Handles the reply to a report of this daemon, or its failure.
    fn end_report(&mut self, ended: EndedReport) {
        let now = self.parts.clock.since_boot();
        let shard = &mut self.shards[ended.shard];
        let answers = match ended.reply {
            Ok(reply) => {
                self.parts.counters.count_report("replied");
                shard.reporter.reply(&reply, now)
            }
            Err(cause) => {
                self.parts.counters.count_report("failed");
                let members = self.parts.board.members.load();
                let name = members.hosts.get(ended.host).map(|host| host.name.as_str());
                log::warn!(
                    dependency = name.unwrap_or_default(),
                    shard = ended.shard,
                    daemons = self.fleet.daemons(now);
                    "accountant of quotas avoided after failed report: {cause}"
                );
                self.avoided.avoid(ended.host, AVOID_TIME);
                shard.ranked.1 = Duration::ZERO;
                shard.reporter.fail(now)
            }
        };
        answer(answers);
    }

    /// Refreshes the metrics of the organisations that this daemon accounts for.
    fn refresh_figures(&mut self, now: Duration) {
        let mut figures = BTreeMap::new();
        let mut parts = 0.0;
        for shard in &mut self.shards {
            let uses = shard.pool.uses(now);
            parts += uses.first().map_or(0.0, |found| found.part);
            for found in uses.iter().filter(|found| found.part > 0.0) {
                let limits = shard.limits.get(&found.organisation);
                let name = self.names.get(&found.organisation);
                if let (Some(limits), Some(name)) = (limits, name) {
                    let shown = QuotaFigures {
                        used: found.rate,
                        rate: limits.rate,
                        credit: found.level,
                    };
                    figures.insert(name.clone(), shown);
                }
            }
        }
        self.parts.counters.set_figures(&figures);
        self.parts.counters.set_parts((parts * THOUSANDTHS) as i64);
    }
}

/// Sends answers to the requests that wait; credit for one that has left is released.
fn answer(answers: QuotaAnswers<oneshot::Sender<QuotaAnswer>>) {
    for (waiter, answer) in answers {
        // An answer that nobody receives is dropped, which gives its credit back.
        let _ = waiter.send(answer);
    }
}
