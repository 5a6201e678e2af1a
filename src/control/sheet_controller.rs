use {
    super::{
        RevisionHint, SheetCursor, SheetHandle, SheetStore, SheetStoreError, sheet_handle::SheetAsk,
    },
    crate::{
        board::{Members, Section, Sheet, Writer},
        decide::{Applied, SheetLog, rendezvous::watches},
        port::{Peer, PeerCall, PeerReply, Platform, SheetChange},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::Duration,
    tokio::{
        select,
        sync::{mpsc, watch},
        task::JoinSet,
        time::{sleep, timeout},
    },
};

/// Shortest and longest pause after a failed watch.
const WATCH_BACKOFF: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(10));

/// Time limit of a pull from a peer.
const PULL_LIMIT: Duration = Duration::from_secs(3);

/// Questions that wait for the controller.
const INBOX_LENGTH: usize = 64;

/// What the sheet controller is made of.
#[derive(Debug)]
pub struct SheetParts<P, S> {
    /// Calls other daemons.
    pub peer: P,
    /// The sheet at the platform.
    pub store: SheetStore<S>,
    /// Longest wait of one watch.
    pub wait: Duration,
    /// Seed of the pauses after failures.
    pub random: u64,
    /// Hosts; some of each zone watch the store.
    pub members: Section<Members>,
    /// The greatest revision heard of from a peer.
    pub hints: watch::Receiver<RevisionHint>,
    /// Section that the controller writes.
    pub sheet: Writer<Sheet>,
}

/// Writes `Sheet` from the platform's store and from peers; the greatest revision wins.
///
/// A few hosts of each zone watch the store. The others learn of a later revision from
/// heartbeats and pull what has changed from the host that told it.
#[derive(Debug)]
pub struct SheetController<P, S> {
    parts: SheetParts<P, S>,
    log: SheetLog,
    cursor: SheetCursor,
    pause: Duration,
    random: StdRng,
    inbox: mpsc::Receiver<SheetAsk>,
    watching: JoinSet<Watched>,
    pulling: JoinSet<Option<SheetChange>>,
}

/// End of one watch.
type Watched = (SheetCursor, Result<Option<SheetChange>, SheetStoreError>);

impl<P, S> SheetController<P, S>
where
    P: Peer,
    S: Platform,
{
    /// Creates the controller and the handle that peer calls go to.
    pub fn new(parts: SheetParts<P, S>) -> (Self, SheetHandle) {
        let (sender, inbox) = mpsc::channel(INBOX_LENGTH);
        let controller = Self {
            log: SheetLog::default(),
            cursor: SheetCursor::default(),
            pause: WATCH_BACKOFF.0,
            random: StdRng::seed_from_u64(parts.random),
            inbox,
            watching: JoinSet::new(),
            pulling: JoinSet::new(),
            parts,
        };
        (controller, SheetHandle { inbox: sender })
    }

    /// Runs until every handle is gone.
    pub async fn run(mut self) {
        let mut lasting = true;
        let mut hinted = true;
        loop {
            self.watch(Duration::ZERO);
            select! {
                ask = self.inbox.recv() => match ask {
                    // A peer that gave up needs no answer.
                    Some((since, reply)) => drop(reply.send(self.log.changes_since(since))),
                    None => return,
                },
                Some(Ok(watched)) = self.watching.join_next() => self.watched(watched),
                Some(Ok(pulled)) = self.pulling.join_next() => self.pulled(pulled),
                more = self.parts.hints.changed(), if hinted => {
                    hinted = more.is_ok();
                    self.pull();
                }
                more = self.parts.members.changed(), if lasting => lasting = more,
            }
        }
    }

    /// Starts a watch after `pause` if this host is a watcher and none is running.
    fn watch(&mut self, pause: Duration) {
        if !self.watching.is_empty() || !watches(&self.parts.members.load()) {
            return;
        }
        let mut cursor = self.cursor;
        let store = self.parts.store.clone();
        let wait = self.parts.wait;
        self.watching.spawn(async move {
            sleep(pause).await;
            let result = store.watch(&mut cursor, wait).await;
            (cursor, result)
        });
    }

    fn watched(&mut self, (cursor, result): Watched) {
        match result {
            Ok(change) => {
                self.cursor = cursor;
                self.pause = WATCH_BACKOFF.0;
                if let Some(change) = change {
                    self.apply(change);
                }
                self.cursor.revision = self.cursor.revision.max(self.log.revision());
            }
            Err(e) => {
                log::warn!("the sheet was not read: {e}");
                let pause = self.pause.mul_f64(self.random.random_range(0.5..1.0));
                self.pause = (self.pause * 2).min(WATCH_BACKOFF.1);
                self.watch(pause);
            }
        }
    }

    /// Pulls from the peer that told of a later revision, one pull at a time.
    fn pull(&mut self) {
        let hint = self.parts.hints.borrow_and_update().clone();
        if hint.revision <= self.log.revision() || !self.pulling.is_empty() {
            return;
        }
        let peer = self.parts.peer.clone();
        let since = self.log.revision();
        self.pulling.spawn(async move {
            let call = peer.call(&hint.address, PeerCall::Sheet { since });
            match timeout(PULL_LIMIT, call).await {
                Ok(Ok(PeerReply::Sheet(change))) => Some(change),
                _ => None,
            }
        });
    }

    /// Applies what was pulled, and pulls on if a later revision was told meanwhile.
    fn pulled(&mut self, change: Option<SheetChange>) {
        if let Some(change) = change {
            self.apply(change);
            self.pull();
        }
    }

    fn apply(&mut self, change: SheetChange) {
        let (from, revision) = (change.from, change.revision);
        match self.log.apply(change) {
            Applied::InForce => {
                self.parts.sheet.publish(self.log.sheet());
                log::info!(revision; "sheet in force");
            }
            Applied::Old => {}
            Applied::Gap => {
                // The next answer is asked for from what is held.
                self.cursor = SheetCursor {
                    version: 0,
                    revision: self.log.revision(),
                };
                log::warn!(from, revision; "sheet change from a later revision skipped");
            }
        }
    }
}
