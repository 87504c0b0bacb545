//! Bearer tokens, known by their digests only.

use http::HeaderMap;
use http::header::AUTHORIZATION;
use toucanshelf_core::digest::Digest;

/// Digest of the bearer token in the headers.
pub fn bearer_digest(headers: &HeaderMap) -> Option<Digest> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let token = value.strip_prefix("Bearer ")?;
    Some(Digest::of(token.trim().as_bytes()))
}

/// Whether the headers carry one of the allowed tokens; compares in constant time.
pub fn is_allowed(headers: &HeaderMap, allowed: &[Digest]) -> bool {
    let Some(given) = bearer_digest(headers) else {
        return false;
    };
    allowed
        .iter()
        .fold(false, |found, digest| digest.matches(&given) | found)
}
