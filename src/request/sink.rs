use {thiserror::Error, tokio::sync::mpsc};

/// Where the tokens of an answer go; a front end supplies one.
pub trait Sink: Send {
    /// Passes a piece on, waiting while the caller reads slowly.
    fn send(&mut self, piece: Piece) -> impl Future<Output = Result<(), CallerGone>> + Send;
}

/// Tokens of an answer in order, without gaps or repetitions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Piece {
    /// Index of the first token.
    pub index: u32,
    /// Number of tokens.
    pub count: u32,
    /// Text.
    pub text: String,
    /// Why generation ended; present on the final piece only.
    pub finish: Option<String>,
}

/// The caller has gone; everything that the request holds is to be freed.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the caller has gone")]
pub struct CallerGone;

impl Sink for mpsc::Sender<Piece> {
    async fn send(&mut self, piece: Piece) -> Result<(), CallerGone> {
        mpsc::Sender::send(self, piece)
            .await
            .map_err(|_gone| CallerGone)
    }
}
