use {
    super::{
        HeartbeatInputs, HeartbeatOutputs, MemberHandle, RevisionHint,
        heartbeat_ports::DigestUpdate,
        member_message::MemberMessage,
        outgoing_heartbeat::{HeartbeatOutcome, HeartbeatResult, OutgoingHeartbeat},
    },
    crate::{
        board::{HostList, Members, Section, Tick, Writer},
        decide::{HeartbeatPeers, LoadUpdates, MemberTiming, membership::Membership},
        key::HostKey,
        port::{Clock, EndpointUpdate, Heartbeat, MemberUpdate, Peer, SuspectUpdate},
    },
    rand::{SeedableRng, rngs::StdRng},
    std::{collections::HashSet, time::Duration},
    tokio::{
        select,
        sync::{mpsc, oneshot},
        task::JoinSet,
        time::{MissedTickBehavior, interval},
    },
};

/// Number of hosts that probe a host that did not reply to a heartbeat.
const PROBE_HELPERS: usize = 2;

/// Number of heartbeat intervals after a start or a pause of the process in which heartbeats request
/// a large part of the members, to catch up on missed updates.
const CATCH_UP_INTERVALS: u32 = 3;

/// Shortest time between two rounds of extra heartbeats for a new revision of the sheet.
const REVISION_PAUSE: Duration = Duration::from_millis(250);

/// Maximum number of crash-suspect fingerprints in one heartbeat.
const MAX_SUSPECTS: usize = 8;

/// Maximum number of messages that wait for the controller.
const INBOX_CAPACITY: usize = 256;

/// Dependencies and settings of the member controller.
#[derive(Debug)]
pub struct MemberParts<P, C> {
    /// Client for calls to other daemons.
    pub peer: P,
    /// Clock, by which load reports are dated and suspicions expire.
    pub clock: C,
    /// This host, as published to the others.
    pub own: MemberUpdate,
    /// Peer addresses to contact while neither the platform nor a peer has named a daemon.
    pub seeds: Vec<String>,
    /// Intervals and bounds of the membership protocol.
    pub timing: MemberTiming,
    /// Seed of the random choice of heartbeat targets and probe helpers.
    pub rng_seed: u64,
    /// The platform's host list; its entries are added as members.
    pub hosts: Section<HostList>,
    /// Sections whose contents are sent in heartbeats.
    pub inputs: HeartbeatInputs,
    /// Channels to other controllers for the contents of received heartbeats.
    pub outputs: HeartbeatOutputs,
    /// Section that the controller writes.
    pub members: Writer<Members>,
}

/// Writes the `members` section from the heartbeats that daemons exchange.
///
/// At each interval it sends heartbeats to some hosts. A host that replies neither to a heartbeat
/// nor to the probes of helpers is first a suspect and then dead.
#[derive(Debug)]
pub struct MemberController<P, C> {
    parts: MemberParts<P, C>,
    membership: Membership,
    peers: HeartbeatPeers,
    load: LoadUpdates,
    /// Load of owned endpoints, sent in the heartbeats of this interval.
    digests: Vec<EndpointUpdate>,
    rng: StdRng,
    inbox: mpsc::Receiver<MemberMessage>,
    heartbeats: JoinSet<HeartbeatOutcome>,
    /// Addresses with a heartbeat in progress; none gets two at once.
    in_flight: HashSet<String>,
    /// Start of the current interval.
    ticked: Tick,
    /// When the process was last found to have been paused, or its start.
    resumed: Tick,
    /// Intervals left in which heartbeats request a large part of the members.
    catch_up: u32,
    /// When heartbeats were last sent for a new revision of the sheet.
    revision_sent: Tick,
    /// Channel that is completed when no heartbeat is in progress after the announcement of a planned
    /// stop.
    leave_done: Option<oneshot::Sender<()>>,
}

impl<P, C> MemberController<P, C>
where
    P: Peer,
    C: Clock,
{
    /// Creates the controller and the handle for calls from peers.
    pub fn new(parts: MemberParts<P, C>) -> (Self, MemberHandle<P>) {
        let (sender, inbox) = mpsc::channel(INBOX_CAPACITY);
        let handle = MemberHandle {
            inbox: sender,
            peer: parts.peer.clone(),
            own: Heartbeat {
                host: parts.own.name.clone(),
                incarnation: parts.own.incarnation,
                members: vec![parts.own.clone()],
                ..Heartbeat::default()
            },
            limit: parts.timing.reply_timeout,
        };
        let now = parts.clock.now();
        let controller = Self {
            membership: Membership::new(&parts.own, parts.timing, now),
            peers: HeartbeatPeers::default(),
            load: LoadUpdates::default(),
            digests: Vec::new(),
            rng: StdRng::seed_from_u64(parts.rng_seed),
            inbox,
            heartbeats: JoinSet::new(),
            in_flight: HashSet::new(),
            ticked: now,
            resumed: now,
            catch_up: CATCH_UP_INTERVALS,
            revision_sent: now,
            leave_done: None,
            parts,
        };
        (controller, handle)
    }

    /// Runs until every handle is dropped.
    pub async fn run(mut self) {
        let mut ticks = interval(self.parts.timing.interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut hosts_open = true;
        let mut sheet_open = true;
        self.seed();
        loop {
            select! {
                _ = ticks.tick() => self.tick(),
                message = self.inbox.recv() => match message {
                    Some(message) => self.receive(message),
                    None => return,
                },
                Some(outcome) = self.heartbeats.join_next(), if !self.heartbeats.is_empty() => {
                    if let Ok(outcome) = outcome {
                        self.finish(outcome);
                    }
                }
                more = self.parts.hosts.changed(), if hosts_open => {
                    hosts_open = more;
                    self.seed();
                }
                more = self.parts.inputs.sheet.changed(), if sheet_open => {
                    sheet_open = more;
                    self.send_revision();
                }
            }
            self.publish();
        }
    }

    /// Adds the hosts of the platform's list to the membership.
    fn seed(&mut self) {
        let list = self.parts.hosts.snapshot();
        let now = self.parts.clock.now();
        self.membership.seed(&list.daemons, now);
    }

    /// Starts one interval: declares hosts dead whose suspicion has timed out, and sends heartbeats.
    ///
    /// An interval that was late shows that this process was paused; suspicions then start anew.
    fn tick(&mut self) {
        let now = self.parts.clock.now();
        let late = self.parts.timing.interval + self.parts.timing.reply_timeout;
        if now.since(self.ticked) > late {
            self.resumed = now;
            self.catch_up = CATCH_UP_INTERVALS;
            self.membership.resume(now);
        }
        self.ticked = now;
        self.catch_up = self.catch_up.saturating_sub(1);
        self.membership.expire(now);
        self.publish();
        self.digests = self.load.choose(
            &self.parts.inputs.fleet.load(),
            &self.parts.inputs.owners.load(),
            self.membership.members().own,
            now,
        );
        let targets = self.peers.choose(&mut self.rng);
        if targets.is_empty() {
            for address in self.parts.seeds.clone() {
                self.send_heartbeat(None, address);
            }
        }
        for target in targets {
            self.send_to_host(target);
        }
    }

    /// Sends heartbeats to the next hosts of the zone at once, so that they are notified of a new
    /// revision without waiting for the next interval.
    fn send_revision(&mut self) {
        let now = self.parts.clock.now();
        if now.since(self.revision_sent) < REVISION_PAUSE {
            return;
        }
        self.revision_sent = now;
        for target in self.peers.ring().to_vec() {
            self.send_to_host(target);
        }
    }

    fn send_to_host(&mut self, target: HostKey) {
        let host = self.membership.members().hosts.get(target);
        if let Some(address) = host.map(|host| host.address.clone()) {
            self.send_heartbeat(Some(target), address);
        }
    }

    /// Sends a heartbeat in a task of its own, unless one to `address` is in progress.
    fn send_heartbeat(&mut self, target: Option<HostKey>, address: String) {
        if !self.in_flight.insert(address.clone()) {
            return;
        }
        let outgoing = OutgoingHeartbeat {
            view: target.and_then(|target| self.membership.view(target)),
            heartbeat: self.request_to(target),
            helpers: self.helpers(target),
            limit: self.parts.timing.reply_timeout,
            started: self.parts.clock.now(),
            address,
        };
        self.heartbeats
            .spawn(outgoing.send(self.parts.peer.clone()));
    }

    /// Returns the addresses of the hosts that probe `target` if it does not reply.
    fn helpers(&mut self, target: Option<HostKey>) -> Vec<String> {
        let Some(target) = target else {
            return Vec::new();
        };
        let probers = self
            .peers
            .indirect_probers(target, PROBE_HELPERS, &mut self.rng);
        let hosts = &self.membership.members().hosts;
        let probers = probers.into_iter().filter_map(|key| hosts.get(key));
        probers.map(|host| host.address.clone()).collect()
    }

    /// Creates a heartbeat to send; incarnation 0 requests a large part of the members in the reply.
    fn request_to(&mut self, target: Option<HostKey>) -> Heartbeat {
        let members = self.membership.heartbeat_updates(target);
        let mut heartbeat = self.heartbeat(target, members);
        if self.catch_up > 0 {
            heartbeat.incarnation = 0;
        }
        heartbeat
    }

    /// Creates the reply to a heartbeat of `target`; one that is not `current` gets a large part of
    /// the members.
    fn reply_to(&mut self, target: Option<HostKey>, current: bool) -> Heartbeat {
        let members = self.membership.reply_updates(target, current);
        self.heartbeat(target, members)
    }

    /// Creates a heartbeat with `members`; only hosts of this host's zone get the load of endpoints.
    fn heartbeat(&self, target: Option<HostKey>, members: Vec<MemberUpdate>) -> Heartbeat {
        let held = self.membership.members();
        let own = held.hosts.get(held.own);
        let zone = target
            .and_then(|key| held.hosts.get(key))
            .map(|host| &host.zone);
        let same_zone = zone.is_some() && zone == own.map(|own| &own.zone);
        Heartbeat {
            host: self.parts.own.name.clone(),
            incarnation: own.map_or(0, |own| own.incarnation),
            revision: self.parts.inputs.sheet.load().revision,
            members,
            digests: if same_zone {
                self.digests.clone()
            } else {
                Vec::new()
            },
            suspects: self.suspects(),
        }
    }

    /// Returns the crash-suspect fingerprints to send: refused ones first, then those that expire
    /// last.
    fn suspects(&self) -> Vec<SuspectUpdate> {
        let now = self.parts.clock.now();
        let suspects = self.parts.inputs.suspects.load();
        let mut active: Vec<_> = suspects.by_fingerprint.iter().collect();
        active.sort_unstable_by_key(|(fingerprint, suspect)| {
            (
                !suspect.refused,
                std::cmp::Reverse(suspect.expires),
                **fingerprint,
            )
        });
        let active = active.into_iter().take(MAX_SUSPECTS);
        let updates = active.map(|(fingerprint, suspect)| SuspectUpdate {
            fingerprint: *fingerprint,
            endpoints: suspect.endpoints.clone(),
            refused: suspect.refused,
            remaining: suspect.expires.since(now),
        });
        updates
            .filter(|update| update.remaining > Duration::ZERO)
            .collect()
    }

    fn receive(&mut self, message: MemberMessage) {
        match message {
            MemberMessage::Heartbeat(heartbeat, reply) => {
                let sender = heartbeat.host.clone();
                let current = self.membership.is_current(&sender, heartbeat.incarnation);
                self.merge(heartbeat);
                let target = self.membership.members().hosts.find(&sender);
                // The sender may have given up and dropped the receiver.
                let _ = reply.send(self.reply_to(target, current));
            }
            MemberMessage::Leave(done) => {
                self.membership.leave(self.parts.clock.now());
                self.publish();
                for target in self.peers.choose(&mut self.rng) {
                    self.send_to_host(target);
                }
                self.leave_done = Some(done);
                self.finish_leave();
            }
        }
    }

    fn finish(&mut self, outcome: HeartbeatOutcome) {
        self.in_flight.remove(&outcome.address);
        match outcome.result {
            HeartbeatResult::Reply(reply) => self.merge(reply),
            HeartbeatResult::Reachable => {}
            HeartbeatResult::Unreachable => self.record_miss(&outcome),
        }
        self.finish_leave();
    }

    /// Completes a planned stop when no heartbeat is in progress.
    fn finish_leave(&mut self) {
        if self.heartbeats.is_empty()
            && let Some(done) = self.leave_done.take()
        {
            let _ = done.send(());
        }
    }

    /// Records that the target was not reached, unless this process was paused in the meantime: then
    /// the missing reply may be its own fault.
    fn record_miss(&mut self, outcome: &HeartbeatOutcome) {
        if outcome.started < self.resumed {
            return;
        }
        if let Some(view) = outcome.view {
            self.membership.record_miss(view, self.parts.clock.now());
        }
    }

    /// Merges the members of a received heartbeat and passes the rest to other controllers.
    fn merge(&mut self, heartbeat: Heartbeat) {
        let now = self.parts.clock.now();
        for update in &heartbeat.members {
            self.membership.merge(update, now);
        }
        let hosts = &self.membership.members().hosts;
        let sender = hosts.find(&heartbeat.host).and_then(|key| hosts.get(key));
        let held = self.parts.inputs.sheet.load().revision;
        if let Some(sender) = sender.filter(|_| heartbeat.revision > held) {
            let hint = RevisionHint {
                revision: heartbeat.revision,
                address: sender.address.clone(),
            };
            self.parts.outputs.update_hint(hint);
        }
        self.parts.outputs.send_digest(DigestUpdate {
            host: heartbeat.host,
            endpoints: heartbeat.digests,
            received_at: now,
        });
        self.parts.outputs.send_suspects(heartbeat.suspects);
    }

    /// Publishes the members if they have changed.
    fn publish(&mut self) {
        if self.membership.take_dirty() {
            let members = self.membership.members();
            self.peers.update(members, self.parts.timing.aperture);
            self.parts.members.publish(members.clone());
        }
    }
}
