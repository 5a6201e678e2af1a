use {
    crate::{
        board::{Fleet, Owners, Section, Sheet, Suspects, Tick},
        port::{EndpointNews, SuspectNews},
    },
    tokio::sync::{mpsc, watch},
};

/// What heartbeats bring to other controllers.
#[derive(Clone, Debug)]
pub struct HeartbeatOutlets {
    /// Load told by owners, to the digest controller.
    pub digests: mpsc::Sender<DigestNews>,
    /// Suspect fingerprints, to the suspect controller.
    pub suspects: mpsc::Sender<Vec<SuspectNews>>,
    /// The greatest revision of the sheet heard of and where, to the sheet controller.
    pub revision: watch::Sender<RevisionHint>,
}

/// What heartbeats tell from other sections.
#[derive(Clone, Debug)]
pub struct HeartbeatInputs {
    /// Endpoints, whose load is told by their owner.
    pub fleet: Section<Fleet>,
    /// Owner of each endpoint.
    pub owners: Section<Owners>,
    /// The sheet in force.
    pub sheet: Section<Sheet>,
    /// Suspect fingerprints.
    pub suspects: Section<Suspects>,
}

/// Load of endpoints as one owner told it.
#[derive(Clone, Debug)]
pub struct DigestNews {
    /// Name of the owner.
    pub host: String,
    /// Load.
    pub endpoints: Vec<EndpointNews>,
    /// When it arrived.
    pub heard: Tick,
}

/// A revision of the sheet that a peer has in force.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RevisionHint {
    /// Revision.
    pub revision: u64,
    /// Address of the peer.
    pub address: String,
}

impl HeartbeatOutlets {
    /// Passes load on; what a slow reader has no room for is told again by a later heartbeat.
    pub(super) fn digest(&self, news: DigestNews) {
        if !news.endpoints.is_empty() {
            let _ = self.digests.try_send(news);
        }
    }

    /// Passes fingerprints on; what a slow reader has no room for is told again.
    pub(super) fn suspect(&self, news: Vec<SuspectNews>) {
        if !news.is_empty() {
            let _ = self.suspects.try_send(news);
        }
    }

    /// Keeps the greatest revision heard of, and the last host that told it.
    pub(super) fn hint(&self, hint: RevisionHint) {
        self.revision.send_if_modified(|held| {
            let later = hint.revision >= held.revision;
            if later {
                *held = hint;
            }
            later
        });
    }
}
