use crate::key::name_hash;

/// Word of a prompt that sets the length of the answer, `answer-tokens=64`.
const LENGTH_WORD: &str = "answer-tokens=";

/// Shortest token with its space, in bytes.
const TOKEN_BYTES_MIN: usize = 10;

/// Text that the engine's stand-in generates for `prompt`: the tokens `from..to`.
///
/// It depends on nothing else, so that a checker can tell a whole answer from any other.
pub fn answer_text(model: &str, prompt: &str, from: u32, to: u32) -> String {
    let print = answer_print(model, prompt);
    print_text(print, from, to)
}

/// Number of tokens that the engine's stand-in generates for `prompt`.
pub fn answer_length(prompt: &str, max_tokens: u32) -> u32 {
    let wanted = prompt
        .split_whitespace()
        .find_map(|word| word.strip_prefix(LENGTH_WORD)?.parse().ok());
    wanted.unwrap_or(max_tokens).min(max_tokens)
}

pub(super) fn answer_print(model: &str, prompt: &str) -> u64 {
    name_hash(model) ^ name_hash(prompt).rotate_left(1)
}

/// Splits a prompt that ends with the first tokens of its own answer.
///
/// Returns the prompt without them and their number, which is 0 for any other prompt.
pub(super) fn split_answer<'a>(model: &str, prompt: &'a str) -> (&'a str, u32) {
    split(model, prompt).unwrap_or((prompt, 0))
}

fn split<'a>(model: &str, prompt: &'a str) -> Option<(&'a str, u32)> {
    let (_, last) = prompt.rsplit_once(' ')?;
    let (print, index) = last.split_once('.')?;
    let print = u64::from_str_radix(print, 16).ok()?;
    let count = index.parse::<u32>().ok()?.checked_add(1)?;
    // A token takes at least 10 bytes, so that a made-up index costs nothing.
    let fits = count as usize <= prompt.len() / TOKEN_BYTES_MIN;
    let tokens = fits.then(|| print_text(print, 0, count))?;
    let start = prompt.strip_suffix(tokens.trim_end())?.strip_suffix(' ')?;
    let own = answer_print(model, start) as u32 == print as u32;
    own.then_some((start, count))
}

pub(super) fn print_text(print: u64, from: u32, to: u32) -> String {
    let token = |index| format!("{:08x}.{index} ", print as u32);
    (from..to).map(token).collect()
}
