use crate::key::name_hash;

/// Prefix of the word in a prompt that sets the number of tokens to generate, `answer-tokens=64`.
const LENGTH_PREFIX: &str = "answer-tokens=";

/// Length of the shortest token without the space after it, in bytes.
const MIN_TOKEN_BYTES: usize = 10;

/// Returns the tokens `from..to` of the text that the fake engine generates for `prompt`.
///
/// The text depends on `model` and `prompt` alone, so that a checker can tell whether a response is
/// complete and belongs to the request.
pub fn completion_text(model: &str, prompt: &str, from: u32, to: u32) -> String {
    let fingerprint = text_fingerprint(model, prompt);
    render_tokens(fingerprint, from, to)
}

/// Returns the number of tokens that the fake engine generates for `prompt`: the number that the
/// prompt sets, at most `max_tokens`.
pub fn completion_length(prompt: &str, max_tokens: u32) -> u32 {
    let requested = prompt
        .split_whitespace()
        .find_map(|word| word.strip_prefix(LENGTH_PREFIX)?.parse().ok());
    requested.unwrap_or(max_tokens).min(max_tokens)
}

/// Returns the seed of the text that is generated for `prompt`.
pub(super) fn text_fingerprint(model: &str, prompt: &str) -> u64 {
    name_hash(model) ^ name_hash(prompt).rotate_left(1)
}

/// Splits a prompt that ends with the first tokens of the text generated for it, as a request that
/// continues an interrupted stream does.
///
/// Returns the prompt without these tokens, and their number; 0 for any other prompt.
pub(super) fn split_generated<'a>(model: &str, prompt: &'a str) -> (&'a str, u32) {
    find_generated(model, prompt).unwrap_or((prompt, 0))
}

fn find_generated<'a>(model: &str, prompt: &'a str) -> Option<(&'a str, u32)> {
    let (_, last) = prompt.rsplit_once(' ')?;
    let (fingerprint, index) = last.split_once('.')?;
    let fingerprint = u64::from_str_radix(fingerprint, 16).ok()?;
    let count = index.parse::<u32>().ok()?.checked_add(1)?;
    // A token takes at least 10 bytes; this bounds the work for an invalid index in a prompt.
    let fits = count as usize <= prompt.len() / MIN_TOKEN_BYTES;
    let tokens = fits.then(|| render_tokens(fingerprint, 0, count))?;
    let start = prompt.strip_suffix(tokens.trim_end())?.strip_suffix(' ')?;
    let matches = text_fingerprint(model, start) as u32 == fingerprint as u32;
    matches.then_some((start, count))
}

/// Renders the tokens `from..to` of the text with the seed `fingerprint`, each followed by a space.
pub(super) fn render_tokens(fingerprint: u64, from: u32, to: u32) -> String {
    let token = |index| format!("{:08x}.{index} ", fingerprint as u32);
    (from..to).map(token).collect()
}
