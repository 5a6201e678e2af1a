use {
    super::{
        RevisionHint, SheetCursor, SheetHandle, SheetStore, SheetStoreError,
        sheet_handle::SheetRequest,
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

/// Shortest and longest pause after a failed watch; it doubles with each further failure.
const WATCH_BACKOFF: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(10));

/// Time limit of a pull from a peer.
const PULL_LIMIT: Duration = Duration::from_secs(3);

/// Maximum number of requests of peers that wait for the controller.
const INBOX_CAPACITY: usize = 64;

/// Dependencies and settings of the sheet controller.
#[derive(Debug)]
pub struct SheetParts<P, S> {
    /// Client for calls to other daemons.
    pub peer: P,
    /// The sheet as stored at the platform.
    pub store: SheetStore<S>,
    /// Longest wait of one watch.
    pub wait: Duration,
    /// Seed of the jitter of the pauses after failed watches.
    pub rng_seed: u64,
    /// Members, from which the hosts that watch the store are chosen.
    pub members: Section<Members>,
    /// Greatest revision that a peer has reported.
    pub hints: watch::Receiver<RevisionHint>,
    /// Section that the controller writes.
    pub sheet: Writer<Sheet>,
}

/// Writes the `sheet` section from the platform's store and from peers; the greatest revision wins.
///
/// A few hosts of each zone watch the store. The others learn of a later revision from
/// heartbeats and pull the changes from the host that reported it.
#[derive(Debug)]
pub struct SheetController<P, S> {
    parts: SheetParts<P, S>,
    log: SheetLog,
    cursor: SheetCursor,
    /// Pause after the next failed watch, before jitter.
    pause: Duration,
    rng: StdRng,
    inbox: mpsc::Receiver<SheetRequest>,
    watching: JoinSet<Watched>,
    pulling: JoinSet<Option<SheetChange>>,
}

/// Result of one watch, and the cursor after it.
type Watched = (SheetCursor, Result<Option<SheetChange>, SheetStoreError>);

impl<P, S> SheetController<P, S>
where
    P: Peer,
    S: Platform,
{
    /// Creates the controller and the handle for calls from peers.
    pub fn new(parts: SheetParts<P, S>) -> (Self, SheetHandle) {
        let (sender, inbox) = mpsc::channel(INBOX_CAPACITY);
        let controller = Self {
            log: SheetLog::default(),
            cursor: SheetCursor::default(),
            pause: WATCH_BACKOFF.0,
            rng: StdRng::seed_from_u64(parts.rng_seed),
            inbox,
            watching: JoinSet::new(),
            pulling: JoinSet::new(),
            parts,
        };
        (controller, SheetHandle { inbox: sender })
    }

    /// Runs until every handle is dropped.
    pub async fn run(mut self) {
        let mut members_open = true;
        let mut hints_open = true;
        loop {
            self.watch(Duration::ZERO);
            select! {
                request = self.inbox.recv() => match request {
                    // The peer may have given up and dropped the receiver.
                    Some((since, reply)) => drop(reply.send(self.log.changes_since(since))),
                    None => return,
                },
                Some(Ok(watched)) = self.watching.join_next() => self.finish_watch(watched),
                Some(Ok(pulled)) = self.pulling.join_next() => self.finish_pull(pulled),
                more = self.parts.hints.changed(), if hints_open => {
                    hints_open = more.is_ok();
                    self.pull();
                }
                more = self.parts.members.changed(), if members_open => members_open = more,
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

    /// Applies the result of a watch, or starts the next one after a pause if it failed.
    fn finish_watch(&mut self, (cursor, result): Watched) {
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
                log::warn!("sheet not read from the store, will be retried: {e}");
                let pause = self.pause.mul_f64(self.rng.random_range(0.5..1.0));
                self.pause = (self.pause * 2).min(WATCH_BACKOFF.1);
                self.watch(pause);
            }
        }
    }

    /// Pulls changes from the peer that reported a later revision, one pull at a time.
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

    /// Applies pulled changes, and pulls again if a later revision was reported in the meantime.
    fn finish_pull(&mut self, change: Option<SheetChange>) {
        if let Some(change) = change {
            self.apply(change);
            self.pull();
        }
    }

    /// Applies a change to the sheet log, and publishes the sheet if the change took effect.
    fn apply(&mut self, change: SheetChange) {
        let (from, revision) = (change.from, change.revision);
        match self.log.apply(change) {
            Applied::InForce => {
                self.parts.sheet.publish(self.log.sheet());
                log::info!(revision; "sheet in force");
            }
            Applied::Old => {}
            Applied::Gap => {
                // The next watch requests the changes since the revision in force.
                self.cursor = SheetCursor {
                    version: 0,
                    revision: self.log.revision(),
                };
                log::warn!(from, revision; "sheet change skipped, the changes since the revision in force are requested again: it starts at a later revision");
            }
        }
    }
}
