//! Digest of a document's text.

use std::fmt;

use sha2::{Digest, Sha256};

/// SHA-256 of a document's text; shown as hex digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DocumentDigest(pub [u8; 32]);

/// Returns the digest of a document's text, byte for byte.
pub fn digest(text: &str) -> DocumentDigest {
    DocumentDigest(Sha256::digest(text.as_bytes()).into())
}

impl fmt::Display for DocumentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}
