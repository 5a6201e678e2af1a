use super::Call;

/// A request for generated text.
#[derive(Clone, Debug)]
pub struct Completion {
    /// Common part.
    pub call: Call,
    /// Prompt text.
    pub prompt: String,
    /// Greatest number of tokens to generate.
    pub max_tokens: u32,
}
