use {
    crate::request::TextChunk,
    serde::{Deserialize, Serialize},
};

/// Body of `POST /v1/completions`, the OpenAI shape with the request kind as `model`.
#[derive(Clone, Debug, Deserialize)]
pub struct CompletionBody {
    /// Request kind of the sheet.
    pub model: String,
    /// Prompt text.
    pub prompt: String,
    /// Greatest number of tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether to stream the answer.
    #[serde(default)]
    pub stream: bool,
}

/// Tokens generated when the caller names no limit.
const DEFAULT_MAX_TOKENS: u32 = 256;

fn default_max_tokens() -> u32 {
    DEFAULT_MAX_TOKENS
}

/// One event of a stream, or a whole answer.
#[derive(Clone, Debug, Serialize)]
pub struct CompletionReply {
    /// Request identity.
    pub id: String,
    /// Always `text_completion`.
    pub object: String,
    /// Request kind of the sheet.
    pub model: String,
    /// The one choice.
    pub choices: [Choice; 1],
    /// Token counts, in a whole answer and in the final event.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// The one choice of an answer.
#[derive(Clone, Debug, Serialize)]
pub struct Choice {
    /// Always 0.
    pub index: u32,
    /// Text.
    pub text: String,
    /// Index of the first token of the text.
    pub token_index: u32,
    /// Why generation ended.
    pub finish_reason: Option<String>,
}

/// Token counts.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Usage {
    /// Tokens generated.
    pub completion_tokens: u32,
}

impl CompletionReply {
    /// Builds the message for `piece`.
    pub fn new(id: &str, kind: &str, piece: TextChunk) -> Self {
        let usage = piece.finish.as_ref().map(|_| Usage {
            completion_tokens: piece.index + piece.count,
        });
        Self {
            id: id.to_owned(),
            object: "text_completion".to_owned(),
            model: kind.to_owned(),
            choices: [Choice {
                index: 0,
                text: piece.text,
                token_index: piece.index,
                finish_reason: piece.finish,
            }],
            usage,
        }
    }

    /// The JSON text.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}
