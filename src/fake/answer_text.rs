use crate::key::name_hash;

/// Word of a prompt that sets the length of the answer, `answer-tokens=64`.
const LENGTH_WORD: &str = "answer-tokens=";

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

pub(super) fn print_text(print: u64, from: u32, to: u32) -> String {
    let token = |index| format!("{:08x}.{index} ", print as u32);
    (from..to).map(token).collect()
}
