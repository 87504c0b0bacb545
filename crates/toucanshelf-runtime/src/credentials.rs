//! Bearer token checks; only digests of the allowed tokens are stored.

use http::HeaderMap;
use http::header::AUTHORIZATION;
use toucanshelf_core::digest::Digest;

/// Returns the digest of the bearer token in the headers, if there is one.
pub fn bearer_digest(headers: &HeaderMap) -> Option<Digest> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let token = value.strip_prefix("Bearer ")?;
    Some(Digest::of(token.trim().as_bytes()))
}

/// Returns whether the headers carry an allowed token.
///
/// The digests are compared in constant time.
pub fn is_allowed(headers: &HeaderMap, allowed: &[Digest]) -> bool {
    let Some(presented) = bearer_digest(headers) else {
        return false;
    };
    allowed
        .iter()
        .fold(false, |found, digest| digest.matches(&presented) | found)
}
