use {
    crate::port::SheetChange,
    tokio::sync::{mpsc, oneshot},
};

/// Request for the changes after a revision, with the channel for the response.
pub(super) type SheetRequest = (u64, oneshot::Sender<SheetChange>);

/// Handle to the sheet controller; responds to the sheet calls of other daemons.
#[derive(Clone, Debug)]
pub struct SheetHandle {
    pub(super) inbox: mpsc::Sender<SheetRequest>,
}

impl SheetHandle {
    /// Returns the changes after revision `since`; a response of revision 0 means that this daemon is
    /// stopping.
    pub async fn changes(&self, since: u64) -> SheetChange {
        let (reply, response) = oneshot::channel();
        if self.inbox.send((since, reply)).await.is_err() {
            return SheetChange::default();
        }
        response.await.unwrap_or_default()
    }
}
