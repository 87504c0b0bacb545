//! SHA-256 digests.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::Digest as _;
use subtle::ConstantTimeEq as _;

/// SHA-256 digest, displayed as 64 hexadecimal digits.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Digest([u8; 32]);

/// Error from parsing a text that is not a SHA-256 digest.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("a SHA-256 digest has 64 hexadecimal digits")]
pub struct ParseDigestError;

impl Digest {
    /// Computes the digest of `content`.
    pub fn of(content: &[u8]) -> Self {
        Self(sha2::Sha256::digest(content).into())
    }

    /// Compares two digests in constant time, which is safe for digests of secrets.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }

    /// Parses a digest from 64 hexadecimal digits.
    ///
    /// # Errors
    ///
    /// Fails if `text` is not a digest in this form.
    pub fn parse(text: &str) -> Result<Self, ParseDigestError> {
        if text.len() != 64 || !text.is_ascii() {
            return Err(ParseDigestError);
        }
        let mut out = [0; 32];
        for (i, byte) in out.iter_mut().enumerate() {
            *byte =
                u8::from_str_radix(&text[2 * i..2 * i + 2], 16).map_err(|_| ParseDigestError)?;
        }
        Ok(Self(out))
    }

    /// Returns the digest's first eight bytes as a little-endian number.
    ///
    /// It serves as a short hash or fingerprint.
    pub fn prefix(&self) -> u64 {
        u64::from_le_bytes(self.0[..8].try_into().expect("a digest has 32 bytes"))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.prefix().swap_bytes())
    }
}

impl Serialize for Digest {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        if s.is_human_readable() {
            s.collect_str(self)
        } else {
            serde_bytes::Bytes::new(&self.0).serialize(s)
        }
    }
}

/// Deserialisation visitor that accepts the text and the binary form of a digest.
///
/// Inside internally tagged enums, serde buffers the value, and the visitor can no longer tell
/// whether the format is human-readable.
struct DigestVisitor;

impl serde::de::Visitor<'_> for DigestVisitor {
    type Value = Digest;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a SHA-256 digest")
    }

    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<Digest, E> {
        Digest::parse(text).map_err(E::custom)
    }

    fn visit_bytes<E: serde::de::Error>(self, bytes: &[u8]) -> Result<Digest, E> {
        bytes
            .try_into()
            .map(Digest)
            .map_err(|_| E::custom(ParseDigestError))
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_any(DigestVisitor)
    }
}
