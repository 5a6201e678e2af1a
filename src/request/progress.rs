use super::{Piece, Ran};

/// What a caller has received of an answer so far.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// Tokens relayed.
    pub tokens: u32,
    /// Text relayed.
    pub text: String,
    /// Attempts sent to an endpoint that answers, and not known to have been refused.
    pub sent: u32,
    /// Whether the final piece was relayed.
    pub finished: bool,
}

impl Progress {
    /// Records a relayed piece.
    pub fn record(&mut self, piece: &Piece) {
        self.tokens += piece.count;
        self.text.push_str(&piece.text);
        self.finished |= piece.finish.is_some();
    }

    /// Whether any attempt may have run.
    pub fn ran(&self) -> Ran {
        if self.sent == 0 {
            Ran::No
        } else {
            Ran::Unknown
        }
    }

    /// Prompt with which another endpoint continues the answer.
    pub fn continued(&self, prompt: &str) -> String {
        if self.text.is_empty() {
            return prompt.to_owned();
        }
        format!("{prompt} {}", self.text.trim())
    }
}
