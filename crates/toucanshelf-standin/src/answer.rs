//! Generates deterministic answers, which depend on the prompt alone.

use toucanshelf_core::digest::Digest;

/// Words of the generated tokens; a number follows each.
const WORDS: [&str; 16] = [
    "berth", "line", "knot", "cleat", "rope", "stern", "bow", "lock", "quay", "wind", "dye",
    "loom", "weave", "cord", "ring", "tide",
];
/// Length of the shortest answer, in tokens.
const MIN_TOKENS: u64 = 24;
/// Number of possible answer lengths, counted upwards from [`MIN_TOKENS`].
const LENGTH_COUNT: u64 = 17;

/// Generator whose next token depends on the prompt and all tokens before.
#[derive(Clone, Copy, Debug)]
pub struct TokenGenerator {
    state: Digest,
    length: u64,
}

impl TokenGenerator {
    /// Creates a generator for the answer to a prompt.
    pub fn new(prompt: &str) -> Self {
        let state = Digest::of(prompt.as_bytes());
        Self {
            state,
            length: MIN_TOKENS + state.prefix() % LENGTH_COUNT,
        }
    }

    /// Appends a token of the answer, generated here or by an earlier attempt.
    pub fn push(&mut self, token: &str) {
        self.state = Digest::of(format!("{}{token}", self.state).as_bytes());
    }

    /// Next token of the answer.
    pub fn next_token(&self) -> Box<str> {
        let prefix = self.state.prefix();
        let word = WORDS[(prefix % WORDS.len() as u64) as usize];
        format!(" {word}{}", prefix >> 52).into()
    }

    /// Length of the complete answer, in tokens.
    pub fn length(&self) -> u32 {
        self.length as u32
    }
}

/// Tokens of the answer to a prompt, limited to the first `max_tokens`.
pub fn tokens(prompt: &str, max_tokens: u32) -> Vec<Box<str>> {
    let mut generator = TokenGenerator::new(prompt);
    let mut tokens = Vec::new();
    while (tokens.len() as u32) < generator.length().min(max_tokens) {
        let token = generator.next_token();
        generator.push(&token);
        tokens.push(token);
    }
    tokens
}
