use {
    super::{PeerCall, PeerReply},
    thiserror::Error,
};

/// Other daemons, addressed by the `ip:port` of their peer listener.
pub trait Peer: Clone + Send + Sync + 'static {
    /// Sends a call on its own stream and waits for the reply.
    ///
    /// Dropping the future resets the stream; the other side then drops its handler.
    fn call(
        &self,
        address: &str,
        call: PeerCall,
    ) -> impl Future<Output = Result<PeerReply, PeerError>> + Send;
}

/// Answers calls of other daemons; the peer listener is generic over it.
pub trait PeerHandler: Clone + Send + Sync + 'static {
    /// Answers one call.
    fn handle(&self, call: PeerCall) -> impl Future<Output = PeerReply> + Send;
}

/// Why a call to another daemon failed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PeerError {
    /// The connection was never made.
    #[error("the peer was not reached: {0}")]
    Unsent(String),
    /// The stream broke or timed out after the call was sent.
    #[error("the peer's reply was lost: {0}")]
    Lost(String),
    /// The peer refused the key or the message.
    #[error("the peer refused the call: {0}; check that both settings hold the same peer key")]
    Refused(String),
}
