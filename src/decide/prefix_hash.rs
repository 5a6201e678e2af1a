use crate::key::name_hash;

/// Tokens of one block of the prefix cache; a prefix is cached in complete blocks.
pub const BLOCK_TOKENS: u32 = 16;

/// Returns the number of tokens of `prompt`; words separated by white space count as tokens.
pub fn count_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.split_whitespace().count()).unwrap_or(u32::MAX)
}

/// Returns the hashes of the prefixes of `prompt` that end with a complete block, shortest first.
///
/// Each hash covers the model, the adapter and all tokens up to the end of its block, so equal
/// hashes mean the same KV cache. The definition is part of the wire protocol, see
/// docs/ENDPOINTS.md.
pub fn prefixes(prompt: &str, model: &str, adapter: Option<&str>) -> Vec<u64> {
    let mut hash = chain(name_hash(model), adapter.unwrap_or_default());
    let mut hashes = Vec::new();
    for (word, number) in prompt.split_whitespace().zip(1..) {
        hash = chain(hash, word);
        if number % BLOCK_TOKENS == 0 {
            hashes.push(hash);
        }
    }
    hashes
}

/// Continues a 64-bit FNV-1a hash with `word` after a separator byte that never occurs in UTF-8.
fn chain(hash: u64, word: &str) -> u64 {
    const PRIME: u64 = 0x0100_0000_01b3;
    const SEPARATOR: u8 = 0xff;

    [SEPARATOR]
        .into_iter()
        .chain(word.bytes())
        .fold(hash, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(PRIME)
        })
}
