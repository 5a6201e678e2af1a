use {
    super::{PeerCall, PeerReply},
    thiserror::Error,
};

/// Client of other daemons, which are addressed by the `ip:port` of their peer listener.
pub trait Peer: Clone + Send + Sync + 'static {
    /// Sends a call on a stream of its own and waits for the reply.
    ///
    /// Dropping the future resets the stream, which makes the other side drop its handler.
    fn call(
        &self,
        address: &str,
        call: PeerCall,
    ) -> impl Future<Output = Result<PeerReply, PeerError>> + Send;
}

/// Handles calls of other daemons; the peer listener is generic over it.
pub trait PeerHandler: Clone + Send + Sync + 'static {
    /// Handles one call and returns the reply.
    fn handle(&self, call: PeerCall) -> impl Future<Output = PeerReply> + Send;
}

/// The error of a call to another daemon.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PeerError {
    /// No connection was made, so that the call was not sent.
    #[error("the peer was not reached: {0}")]
    Unsent(String),
    /// The stream broke or timed out after the call was sent; the call may have been handled.
    #[error("the peer's reply was lost: {0}")]
    Lost(String),
    /// The peer rejected the peer key or the message.
    #[error(
        "the peer refused the call: {0}; check that both daemons have the same peer key in their settings"
    )]
    Refused(String),
}
