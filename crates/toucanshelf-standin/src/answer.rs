//! Deterministic answers.

use toucanshelf_core::digest::Digest;

const WORDS: [&str; 16] = [
    "berth", "line", "knot", "cleat", "rope", "stern", "bow", "lock", "quay", "wind", "dye",
    "loom", "weave", "cord", "ring", "tide",
];
/// Shortest answer, in tokens.
const MIN_TOKENS: u64 = 24;
/// Number of different lengths.
const LENGTHS: u64 = 17;

/// Chain from which each token follows; depends on the prompt and every token before.
#[derive(Clone, Copy, Debug)]
pub struct Chain {
    state: Digest,
    length: u64,
}

impl Chain {
    /// Starts after the prompt.
    pub fn new(prompt: &str) -> Self {
        let state = Digest::of(prompt.as_bytes());
        Self {
            state,
            length: MIN_TOKENS + state.prefix() % LENGTHS,
        }
    }

    /// Moves past a token.
    pub fn push(&mut self, token: &str) {
        self.state = Digest::of(format!("{}{token}", self.state).as_bytes());
    }

    /// Token that comes next.
    pub fn next_token(&self) -> Box<str> {
        let prefix = self.state.prefix();
        let word = WORDS[(prefix % WORDS.len() as u64) as usize];
        format!(" {word}{}", prefix >> 52).into()
    }

    /// Length of the whole answer, in tokens.
    pub fn length(&self) -> u32 {
        self.length as u32
    }
}

/// The whole answer to a prompt.
pub fn tokens(prompt: &str, max_tokens: u32) -> Vec<Box<str>> {
    let mut chain = Chain::new(prompt);
    let mut out = Vec::new();
    while (out.len() as u32) < chain.length().min(max_tokens) {
        let token = chain.next_token();
        chain.push(&token);
        out.push(token);
    }
    out
}
