use {
    crate::{
        board::{Fleet, Owners, Section, Sheet, Suspects, Tick},
        port::{EndpointUpdate, SuspectUpdate},
    },
    tokio::sync::{mpsc, watch},
};

/// Channels that pass the contents of received heartbeats to other controllers.
#[derive(Clone, Debug)]
pub struct HeartbeatOutputs {
    /// Load of endpoints as reported by their owners, to the digest controller.
    pub digests: mpsc::Sender<DigestUpdate>,
    /// Crash-suspect fingerprints, to the suspect controller.
    pub suspects: mpsc::Sender<Vec<SuspectUpdate>>,
    /// Greatest known revision of the sheet and a peer that has it, to the sheet controller.
    pub revision: watch::Sender<RevisionHint>,
}

/// Blackboard sections whose contents are sent in heartbeats.
#[derive(Clone, Debug)]
pub struct HeartbeatInputs {
    /// Endpoints; each one's load is reported by its owner.
    pub fleet: Section<Fleet>,
    /// Owner of each endpoint.
    pub owners: Section<Owners>,
    /// The sheet in force.
    pub sheet: Section<Sheet>,
    /// Crash-suspect fingerprints.
    pub suspects: Section<Suspects>,
}

/// Load of endpoints as reported by one owner.
#[derive(Clone, Debug)]
pub struct DigestUpdate {
    /// Name of the owner.
    pub host: String,
    /// Load of each endpoint.
    pub endpoints: Vec<EndpointUpdate>,
    /// Time of receipt.
    pub received_at: Tick,
}

/// A revision of the sheet that a peer has in force.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RevisionHint {
    /// Revision number.
    pub revision: u64,
    /// Address of the peer listener of that peer.
    pub address: String,
}

impl HeartbeatOutputs {
    /// Passes reported load to the digest controller; it is dropped if the channel is full, and a later
    /// heartbeat repeats it.
    pub(super) fn send_digest(&self, update: DigestUpdate) {
        if !update.endpoints.is_empty() {
            let _ = self.digests.try_send(update);
        }
    }

    /// Passes fingerprints to the suspect controller; they are dropped if the channel is full, and a
    /// later heartbeat repeats them.
    pub(super) fn send_suspects(&self, updates: Vec<SuspectUpdate>) {
        if !updates.is_empty() {
            let _ = self.suspects.try_send(updates);
        }
    }

    /// Publishes `hint` unless a greater revision is known; of several hosts with the same revision, the
    /// last one is kept.
    pub(super) fn update_hint(&self, hint: RevisionHint) {
        self.revision.send_if_modified(|held| {
            let later = hint.revision >= held.revision;
            if later {
                *held = hint;
            }
            later
        });
    }
}
