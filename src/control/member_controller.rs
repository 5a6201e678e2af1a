use {
    super::{
        HeartbeatInputs, HeartbeatOutlets, MemberHandle, RevisionHint,
        heartbeat_ports::DigestNews,
        member_beat::{Answer, Beat, Outcome},
        member_message::MemberMessage,
    },
    crate::{
        board::{HostList, Members, Section, Tick, Writer},
        decide::{LoadNews, MemberTiming, Partners, membership::Membership},
        key::HostKey,
        port::{Clock, EndpointNews, Heartbeat, MemberNews, Peer, SuspectNews},
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

/// Hosts that probe a silent one.
const HELPERS: usize = 2;

/// Intervals, after a start or a pause, in which heartbeats ask for what was missed.
const CATCH_UP: u32 = 3;

/// Shortest time between two heartbeats sent for a new revision of the sheet.
const TELL_PAUSE: Duration = Duration::from_millis(250);

/// Suspect fingerprints in one heartbeat.
const SUSPECTS_MAX: usize = 8;

/// Messages that wait for the controller.
const INBOX_LENGTH: usize = 256;

/// What the member controller is made of.
#[derive(Debug)]
pub struct MemberParts<P, C> {
    /// Calls other daemons.
    pub peer: P,
    /// Time.
    pub clock: C,
    /// The own host as others shall see it.
    pub own: MemberNews,
    /// Addresses of daemons to ask when neither the platform nor a peer has named one.
    pub seeds: Vec<String>,
    /// Intervals and bounds.
    pub timing: MemberTiming,
    /// Seed of the choice of partners.
    pub random: u64,
    /// Daemons of the platform's host list.
    pub hosts: Section<HostList>,
    /// What heartbeats tell from other sections.
    pub inputs: HeartbeatInputs,
    /// What heartbeats bring to other controllers.
    pub outlets: HeartbeatOutlets,
    /// Section that the controller writes.
    pub members: Writer<Members>,
}

/// Writes `Members` from the heartbeats that daemons exchange.
#[derive(Debug)]
pub struct MemberController<P, C> {
    parts: MemberParts<P, C>,
    membership: Membership,
    partners: Partners,
    load: LoadNews,
    news: Vec<EndpointNews>,
    random: StdRng,
    inbox: mpsc::Receiver<MemberMessage>,
    beats: JoinSet<Outcome>,
    flying: HashSet<String>,
    ticked: Tick,
    resumed: Tick,
    catching: u32,
    told: Tick,
    parting: Option<oneshot::Sender<()>>,
}

impl<P, C> MemberController<P, C>
where
    P: Peer,
    C: Clock,
{
    /// Creates the controller and the handle that peer calls go to.
    pub fn new(parts: MemberParts<P, C>) -> (Self, MemberHandle<P>) {
        let (sender, inbox) = mpsc::channel(INBOX_LENGTH);
        let handle = MemberHandle {
            inbox: sender,
            peer: parts.peer.clone(),
            own: Heartbeat {
                host: parts.own.name.clone(),
                incarnation: parts.own.incarnation,
                members: vec![parts.own.clone()],
                ..Heartbeat::default()
            },
            answer: parts.timing.answer,
        };
        let now = parts.clock.now();
        let controller = Self {
            membership: Membership::new(&parts.own, parts.timing, now),
            partners: Partners::default(),
            load: LoadNews::default(),
            news: Vec::new(),
            random: StdRng::seed_from_u64(parts.random),
            inbox,
            beats: JoinSet::new(),
            flying: HashSet::new(),
            ticked: now,
            resumed: now,
            catching: CATCH_UP,
            told: now,
            parting: None,
            parts,
        };
        (controller, handle)
    }

    /// Runs until every handle is gone.
    pub async fn run(mut self) {
        let mut ticks = interval(self.parts.timing.interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut listing = true;
        let mut telling = true;
        self.seed();
        loop {
            select! {
                _ = ticks.tick() => self.tick(),
                message = self.inbox.recv() => match message {
                    Some(message) => self.receive(message),
                    None => return,
                },
                Some(outcome) = self.beats.join_next(), if !self.beats.is_empty() => {
                    if let Ok(outcome) = outcome {
                        self.finish(outcome);
                    }
                }
                more = self.parts.hosts.changed(), if listing => {
                    listing = more;
                    self.seed();
                }
                more = self.parts.inputs.sheet.changed(), if telling => {
                    telling = more;
                    self.tell_revision();
                }
            }
            self.publish();
        }
    }

    fn seed(&mut self) {
        let list = self.parts.hosts.snapshot();
        let now = self.parts.clock.now();
        self.membership.seed(&list.entries, now);
    }

    /// Sends the heartbeats of one interval.
    fn tick(&mut self) {
        let now = self.parts.clock.now();
        let late = self.parts.timing.interval + self.parts.timing.answer;
        if now.since(self.ticked) > late {
            self.resumed = now;
            self.catching = CATCH_UP;
            self.membership.resume(now);
        }
        self.ticked = now;
        self.catching = self.catching.saturating_sub(1);
        self.membership.expire(now);
        self.publish();
        self.news = self.load.choose(
            &self.parts.inputs.fleet.load(),
            &self.parts.inputs.owners.load(),
            self.membership.members().own,
            now,
        );
        let targets = self.partners.choose(&mut self.random);
        if targets.is_empty() {
            for address in self.parts.seeds.clone() {
                self.beat(None, address);
            }
        }
        for target in targets {
            self.beat_host(target);
        }
    }

    /// Tells the next hosts of the zone at once that a later revision is in force.
    fn tell_revision(&mut self) {
        let now = self.parts.clock.now();
        if now.since(self.told) < TELL_PAUSE {
            return;
        }
        self.told = now;
        for target in self.partners.ring().to_vec() {
            self.beat_host(target);
        }
    }

    fn beat_host(&mut self, target: HostKey) {
        let host = self.membership.members().hosts.get(target);
        if let Some(address) = host.map(|host| host.address.clone()) {
            self.beat(Some(target), address);
        }
    }

    fn beat(&mut self, target: Option<HostKey>, address: String) {
        if !self.flying.insert(address.clone()) {
            return;
        }
        let beat = Beat {
            view: target.and_then(|target| self.membership.view(target)),
            heartbeat: self.beat_to(target),
            helpers: self.helpers(target),
            answer: self.parts.timing.answer,
            started: self.parts.clock.now(),
            address,
        };
        self.beats.spawn(beat.send(self.parts.peer.clone()));
    }

    fn helpers(&mut self, target: Option<HostKey>) -> Vec<String> {
        let Some(target) = target else {
            return Vec::new();
        };
        let helpers = self.partners.helpers(target, HELPERS, &mut self.random);
        let hosts = &self.membership.members().hosts;
        let helpers = helpers.into_iter().filter_map(|key| hosts.get(key));
        helpers.map(|host| host.address.clone()).collect()
    }

    /// Makes a heartbeat; incarnation 0 asks for a large part of the members in the answer.
    fn beat_to(&mut self, target: Option<HostKey>) -> Heartbeat {
        let members = self.membership.tell(target);
        let mut heartbeat = self.heartbeat(target, members);
        if self.catching > 0 {
            heartbeat.incarnation = 0;
        }
        heartbeat
    }

    fn answer_to(&mut self, target: Option<HostKey>, current: bool) -> Heartbeat {
        let members = self.membership.answer(target, current);
        self.heartbeat(target, members)
    }

    /// Makes what `target` is told; load goes to hosts of the own zone alone.
    fn heartbeat(&self, target: Option<HostKey>, members: Vec<MemberNews>) -> Heartbeat {
        let held = self.membership.members();
        let own = held.hosts.get(held.own);
        let zone = target
            .and_then(|key| held.hosts.get(key))
            .map(|host| &host.zone);
        let near = zone.is_some() && zone == own.map(|own| &own.zone);
        Heartbeat {
            host: self.parts.own.name.clone(),
            incarnation: own.map_or(0, |own| own.incarnation),
            revision: self.parts.inputs.sheet.load().revision,
            members,
            digests: if near { self.news.clone() } else { Vec::new() },
            suspects: self.suspects(),
        }
    }

    fn suspects(&self) -> Vec<SuspectNews> {
        let now = self.parts.clock.now();
        let suspects = self.parts.inputs.suspects.load();
        let mut lasting: Vec<_> = suspects.by_print.iter().collect();
        lasting.sort_unstable_by_key(|(print, suspect)| {
            (
                !suspect.refused,
                std::cmp::Reverse(suspect.expires),
                **print,
            )
        });
        let lasting = lasting.into_iter().take(SUSPECTS_MAX);
        let news = lasting.map(|(print, suspect)| SuspectNews {
            print: *print,
            endpoints: suspect.endpoints.clone(),
            refused: suspect.refused,
            remaining: suspect.expires.since(now),
        });
        news.filter(|news| news.remaining > Duration::ZERO)
            .collect()
    }

    fn receive(&mut self, message: MemberMessage) {
        match message {
            MemberMessage::Heartbeat(heartbeat, reply) => {
                let sender = heartbeat.host.clone();
                let current = self.membership.is_current(&sender, heartbeat.incarnation);
                self.absorb(heartbeat);
                let target = self.membership.members().hosts.find(&sender);
                // A caller that gave up needs no reply.
                let _ = reply.send(self.answer_to(target, current));
            }
            MemberMessage::Leave(done) => {
                self.membership.leave(self.parts.clock.now());
                self.publish();
                for target in self.partners.choose(&mut self.random) {
                    self.beat_host(target);
                }
                self.parting = Some(done);
                self.part();
            }
        }
    }

    fn finish(&mut self, outcome: Outcome) {
        self.flying.remove(&outcome.address);
        match outcome.answer {
            Answer::Reply(reply) => self.absorb(reply),
            Answer::Vouched => {}
            Answer::Silence => self.miss(&outcome),
        }
        self.part();
    }

    /// Tells the one who asked to leave when no heartbeat is under way.
    fn part(&mut self) {
        if self.beats.is_empty()
            && let Some(done) = self.parting.take()
        {
            let _ = done.send(());
        }
    }

    /// Counts silence, unless this process itself was paused in between.
    fn miss(&mut self, outcome: &Outcome) {
        if outcome.started < self.resumed {
            return;
        }
        if let Some(view) = outcome.view {
            self.membership.miss(view, self.parts.clock.now());
        }
    }

    fn absorb(&mut self, heartbeat: Heartbeat) {
        let now = self.parts.clock.now();
        for news in &heartbeat.members {
            self.membership.merge(news, now);
        }
        let hosts = &self.membership.members().hosts;
        let sender = hosts.find(&heartbeat.host).and_then(|key| hosts.get(key));
        let held = self.parts.inputs.sheet.load().revision;
        if let Some(sender) = sender.filter(|_| heartbeat.revision > held) {
            let hint = RevisionHint {
                revision: heartbeat.revision,
                address: sender.address.clone(),
            };
            self.parts.outlets.hint(hint);
        }
        self.parts.outlets.digest(DigestNews {
            host: heartbeat.host,
            endpoints: heartbeat.digests,
            heard: now,
        });
        self.parts.outlets.suspect(heartbeat.suspects);
    }

    fn publish(&mut self) {
        if self.membership.take_dirty() {
            let members = self.membership.members();
            self.partners.update(members, self.parts.timing.aperture);
            self.parts.members.publish(members.clone());
        }
    }
}
