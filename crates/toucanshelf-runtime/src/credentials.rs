//! Checks of bearer tokens in HTTP requests against the digests of allowed tokens.

use http::HeaderMap;
use http::header::AUTHORIZATION;
use toucanshelf_core::digest::Digest;

/// Returns the SHA-256 digest of the bearer token in a request's headers, if any.
pub fn bearer_digest(headers: &HeaderMap) -> Option<Digest> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let token = value.strip_prefix("Bearer ")?;
    Some(Digest::of(token.trim().as_bytes()))
}

/// Returns whether a request's headers carry a bearer token whose digest is in `allowed`.
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
