//! Generates the answers of the stand-in engine, which depend on the prompt alone.

use toucanshelf_core::digest::Digest;

/// Words for the generated tokens, each of which is a word and a number.
const WORDS: [&str; 16] = [
    "berth", "line", "knot", "cleat", "rope", "stern", "bow", "lock", "quay", "wind", "dye",
    "loom", "weave", "cord", "ring", "tide",
];
/// Length of the shortest answer, in tokens.
const MIN_TOKENS: u64 = 24;
/// Number of different answer lengths, from [`MIN_TOKENS`] upwards.
const LENGTH_COUNT: u64 = 17;

/// Generates the tokens of the answer to one prompt.
///
/// Each token depends on the prompt and on all tokens before it.
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

    /// Adds a token of the answer, after which [`Self::next_token`] gives the one that follows.
    ///
    /// The token may come from this generator or from an earlier attempt to run the request.
    pub fn push(&mut self, token: &str) {
        self.state = Digest::of(format!("{}{token}", self.state).as_bytes());
    }

    /// Returns the token that follows those added so far.
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

/// Returns the first tokens of the answer to a prompt, up to `max_tokens`.
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
