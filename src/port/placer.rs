use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Where streams get their places from.
pub trait Placer: Clone + Send + Sync + 'static {
    /// Asks for places; the answer may take some tenths of a second.
    fn place(&self, ask: PlaceAsk) -> impl Future<Output = PlaceOutcome> + Send;

    /// Tells that the request no longer uses its places.
    fn end(&self, end: PlaceEnd);
}

/// A request that needs an engine to decode, and one to read its prompt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlaceAsk {
    /// Number that no other request of the site has.
    pub id: u64,
    /// Pool.
    pub pool: String,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens that the answer is expected to have.
    pub output: u64,
    /// Whether the answer cannot be in time any more.
    pub late: bool,
    /// Time since the request arrived.
    pub waited: Duration,
    /// Whether the prompt is to be read apart.
    pub apart: bool,
    /// Names of engines that the request has failed at.
    pub avoid: Vec<String>,
    /// Names of engines that the asker cannot reach, or that have fallen silent.
    pub silent: Vec<String>,
    /// Fingerprint of host, path and body: equal for a request that is sent again.
    pub print: u64,
}

/// Answer to an ask.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PlaceOutcome {
    /// Engines were chosen.
    Placed {
        /// Name of the engine that decodes.
        decode: String,
        /// Name of the engine that reads the prompt; none if it is read where it decodes.
        prefill: Option<String>,
        /// Whether engines have broken off under the request so often that it is not retried.
        suspect: bool,
    },
    /// Nothing is free yet; ask again at once.
    Wait,
    /// The receiver does not place requests, or cannot be reached.
    Absent,
}

/// A request that has its places, told to the daemon that places requests from now on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlaceRun {
    /// What was asked.
    pub ask: PlaceAsk,
    /// Name of the engine that decodes.
    pub decode: String,
    /// Time since it was placed.
    pub since: Duration,
}

/// What a request used.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlaceEnd {
    /// Number of the request.
    pub id: u64,
    /// Pool.
    pub pool: String,
    /// Fingerprint of the request if the engine broke off before any event.
    pub crashed: Option<u64>,
    /// Tokens that were generated.
    pub generated: u64,
    /// Time from the first event to the last.
    pub decoding: Duration,
    /// Time for which the prompt was read apart; zero if it was not.
    pub reading: Duration,
}
