use {
    crate::port::SheetChange,
    tokio::sync::{mpsc, oneshot},
};

/// Question for the changes after a revision and where the answer goes.
pub(super) type SheetAsk = (u64, oneshot::Sender<SheetChange>);

/// Answers the sheet calls of other daemons.
#[derive(Clone, Debug)]
pub struct SheetHandle {
    pub(super) inbox: mpsc::Sender<SheetAsk>,
}

impl SheetHandle {
    /// Returns what has changed after `since`; revision 0 means that this daemon is stopping.
    pub async fn changes(&self, since: u64) -> SheetChange {
        let (reply, answer) = oneshot::channel();
        if self.inbox.send((since, reply)).await.is_err() {
            return SheetChange::default();
        }
        answer.await.unwrap_or_default()
    }
}
