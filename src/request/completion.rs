use super::Call;

/// A request to generate text.
#[derive(Clone, Debug)]
pub struct Completion {
    /// Part that all kinds of requests share.
    pub call: Call,
    /// Prompt text.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
}
