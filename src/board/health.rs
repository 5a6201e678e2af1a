/// What this daemon knows of its own state and of the platform's store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Health {
    /// Whether the last platform call succeeded.
    pub store: bool,
    /// Whether the daemon takes new requests.
    pub ready: bool,
    /// Whether a planned stop has begun.
    pub stopping: bool,
    /// Whether a planned stop is so far that long requests would be cut.
    pub closing: bool,
}
