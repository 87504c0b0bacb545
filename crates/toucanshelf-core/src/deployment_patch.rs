//! Compact form of a deployment document, relative to an earlier version.
//!
//! Successive versions of a deployment differ little, whatever their size. A patch is the new
//! document, compressed with the earlier one as dictionary, so that its size follows the change. A
//! patch without a base is the document compressed on its own.

use std::io::{Read as _, Write as _};

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::state::DeploymentDocument;

/// Maximum size of a document that a patch describes, in bytes.
///
/// It also limits what a patch may expand to.
pub const MAX_DOCUMENT_BYTES: usize = 16 * 1024 * 1024;
/// Compression level of `zstd`.
const COMPRESSION_LEVEL: i32 = 1;
/// Smallest and largest binary logarithm of the distance to the dictionary's start.
const WINDOW_LOG: std::ops::RangeInclusive<u32> = 17..=25;

/// A deployment document, compressed on its own or against an earlier version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DeploymentPatch {
    /// Version of the document that the patch produces.
    pub version: u64,
    /// Version of the document that the patch applies to.
    ///
    /// `None` for a document that is compressed on its own.
    pub base: Option<u64>,
    /// Compressed document, with a checksum.
    pub bytes: ByteBuf,
}

/// Error from applying a patch.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum PatchError {
    /// The patch applies to another version of the document.
    #[error("the patch applies to version {expected:?}, but the document has version {actual:?}")]
    OtherBase {
        /// Version that the patch applies to.
        expected: Option<u64>,
        /// Version of the document at hand; `None` if there is none.
        actual: Option<u64>,
    },
    /// The compressed bytes are damaged, or produce a document that is too large.
    #[error("decompressing version {version} of the deployment: {cause}")]
    Damaged {
        /// Version that the patch produces.
        version: u64,
        /// Description of the error.
        cause: Box<str>,
    },
}

impl DeploymentPatch {
    /// Compresses `document`, against `base` if there is one.
    pub fn new(base: Option<&DeploymentDocument>, document: &DeploymentDocument) -> Self {
        let prefix = base.map_or(&[][..], |base| &base.bytes);
        Self {
            version: document.version,
            base: base.map(|base| base.version),
            bytes: compress(prefix, &document.bytes).into(),
        }
    }

    /// Returns the document that the patch describes.
    ///
    /// A patch without a base needs no document, and ignores one.
    ///
    /// # Errors
    ///
    /// Fails if the patch applies to another version, or if its bytes are damaged.
    pub fn apply(
        &self,
        document: Option<&DeploymentDocument>,
    ) -> Result<DeploymentDocument, PatchError> {
        let base = document.filter(|base| self.base == Some(base.version));
        if self.base.is_some() && base.is_none() {
            return Err(PatchError::OtherBase {
                expected: self.base,
                actual: document.map(|document| document.version),
            });
        }
        let prefix = base.map_or(&[][..], |base| &base.bytes);
        let bytes = decompress(prefix, &self.bytes).map_err(|e| PatchError::Damaged {
            version: self.version,
            cause: e.to_string().into(),
        })?;
        Ok(DeploymentDocument {
            version: self.version,
            bytes: bytes.into(),
        })
    }
}

/// Returns the logarithm of a window that reaches from the document's end to the prefix's start.
fn window_log(prefix: &[u8], document_len: usize) -> u32 {
    let reach = (prefix.len() + document_len).next_power_of_two();
    reach.ilog2().clamp(*WINDOW_LOG.start(), *WINDOW_LOG.end())
}

fn compress(prefix: &[u8], document: &[u8]) -> Vec<u8> {
    let compressed = || {
        let out = Vec::new();
        let mut encoder = zstd::stream::Encoder::with_ref_prefix(out, COMPRESSION_LEVEL, prefix)?;
        encoder.window_log(window_log(prefix, document.len()))?;
        // Finds repetitions over the whole prefix, which is larger than the usual search depth.
        encoder.long_distance_matching(!prefix.is_empty())?;
        encoder.include_checksum(true)?;
        encoder.set_pledged_src_size(Some(document.len() as u64))?;
        encoder.write_all(document)?;
        encoder.finish()
    };
    compressed().expect("writing to memory with valid parameters succeeds")
}

fn decompress(prefix: &[u8], bytes: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut decoder = zstd::stream::Decoder::with_ref_prefix(bytes, prefix)?;
    decoder.window_log_max(*WINDOW_LOG.end())?;
    let mut out = Vec::new();
    let mut limited = decoder.take(MAX_DOCUMENT_BYTES as u64 + 1);
    limited.read_to_end(&mut out)?;
    if out.len() > MAX_DOCUMENT_BYTES {
        return Err(std::io::Error::other("the document is too large"));
    }
    Ok(out)
}
