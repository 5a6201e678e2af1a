use {
    crate::request::TextChunk,
    serde::{Deserialize, Serialize},
};

/// Body of `POST /v1/completions` in the format of OpenAI, with the request kind as `model`.
#[derive(Clone, Debug, Deserialize)]
pub struct CompletionBody {
    /// Request kind, as the sheet names it.
    pub model: String,
    /// Prompt text.
    pub prompt: String,
    /// Maximum number of tokens to generate; 256 if absent.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether to stream the response; false if absent.
    #[serde(default)]
    pub stream: bool,
}

/// Maximum number of generated tokens if the caller sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;

fn default_max_tokens() -> u32 {
    DEFAULT_MAX_TOKENS
}

/// Data of one event of a stream, or the body of a complete response.
#[derive(Clone, Debug, Serialize)]
pub struct CompletionResponse {
    /// Identity of the request, in the text form of `RequestId`.
    pub id: String,
    /// Type of the object; always `text_completion`.
    pub object: String,
    /// Request kind, as the sheet names it.
    pub model: String,
    /// Generated text; always one choice.
    pub choices: [Choice; 1],
    /// Token counts; present in a complete response and in the final event of a stream.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// Generated text with its position in the output and the reason of its end.
#[derive(Clone, Debug, Serialize)]
pub struct Choice {
    /// Index of the choice; always 0.
    pub index: u32,
    /// Generated text.
    pub text: String,
    /// Index, within the output, of the first token of the text.
    pub token_index: u32,
    /// Why generation ended; `None` before the end.
    pub finish_reason: Option<String>,
}

/// Token counts of a completion.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Usage {
    /// Number of tokens generated so far.
    pub completion_tokens: u32,
}

impl CompletionResponse {
    /// Builds the response that carries `chunk` of the request `id` of `kind`.
    pub fn new(id: &str, kind: &str, chunk: TextChunk) -> Self {
        let usage = chunk.finish.as_ref().map(|_| Usage {
            completion_tokens: chunk.index + chunk.count,
        });
        Self {
            id: id.to_owned(),
            object: "text_completion".to_owned(),
            model: kind.to_owned(),
            choices: [Choice {
                index: 0,
                text: chunk.text,
                token_index: chunk.index,
                finish_reason: chunk.finish,
            }],
            usage,
        }
    }

    /// Returns the response as JSON text.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}
