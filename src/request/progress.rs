use super::{Ran, TextChunk};

/// What was relayed of a response so far, and how many attempts may have run.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// Number of tokens relayed.
    pub tokens: u32,
    /// Text relayed.
    pub text: String,
    /// Decode or service attempts that were sent and may have run.
    pub sent: u32,
    /// Whether the final chunk was relayed.
    pub finished: bool,
}

impl Progress {
    /// Adds a relayed chunk.
    pub fn record(&mut self, chunk: &TextChunk) {
        self.tokens += chunk.count;
        self.text.push_str(&chunk.text);
        self.finished |= chunk.finish.is_some();
    }

    /// Whether any attempt may have run.
    pub fn ran(&self) -> Ran {
        if self.sent == 0 {
            Ran::No
        } else {
            Ran::Unknown
        }
    }

    /// Returns the prompt with which another endpoint continues the response.
    pub fn prompt_after(&self, prompt: &str) -> String {
        if self.text.is_empty() {
            return prompt.to_owned();
        }
        format!("{prompt} {}", self.text.trim())
    }
}
