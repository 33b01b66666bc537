//! Keys of client accounts, operators and the system's own processes.
//!
//! Documents hold only digests. Digests and secrets are compared in constant time.

mod secret;
#[cfg(test)]
mod tests;

use rand::RngExt;
use sha2::{Digest, Sha256};
use subtle::{Choice, ConstantTimeEq};

pub use secret::Secret;

use crate::document::KeyDigest;

/// Start of every key made by [`new_key`], so that leaked ones are found by a search.
pub const KEY_PREFIX: &str = "fsk_";

const KEY_RANDOM_BYTES: usize = 32;

/// Returns the digest of a key, as documents hold it.
pub fn digest(key: &str) -> KeyDigest {
    KeyDigest(Sha256::digest(key.as_bytes()).into())
}

/// Whether `key` has one of `digests`. Takes the same time for every key of the same length.
pub fn matches(digests: &[KeyDigest], key: &str) -> bool {
    let given = digest(key);
    let mut found = Choice::from(0);
    for known in digests {
        found |= known.0.ct_eq(&given.0);
    }
    found.into()
}

/// Draws a new key of 256 random bits.
pub fn new_key<R>(rng: &mut R) -> Secret
where
    R: rand::Rng,
{
    let random: [u8; KEY_RANDOM_BYTES] = rng.random();
    Secret::from(format!("{KEY_PREFIX}{}", hex::encode(random)))
}
