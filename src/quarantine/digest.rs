//! By what a request is known when it comes again, under another id and at another instance.

use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::ids::AccountId;

/// Length of a key.
const KEY_BYTES: usize = 32;
/// Length of a digest: two requests of a deployment have the same one by chance once in 2^64 of them.
const DIGEST_BYTES: usize = 16;
/// Bytes of a digest that log lines show.
const LOGGED_BYTES: usize = 8;

/// What makes a request the same as another. Its id and the caller's time do not: they change with each
/// attempt. Nor does the last event that the caller has: a stream that is resumed is the same request.
#[derive(Clone, Copy, Debug)]
pub struct RequestParts<'a> {
    /// Client account; a request of another account is another one.
    pub account: Option<&'a AccountId>,
    /// HTTP method.
    pub method: &'a str,
    /// Host that the caller asked for.
    pub host: &'a str,
    /// Path with query.
    pub path: &'a str,
    /// Body, byte for byte.
    pub body: &'a [u8],
}

/// The key of a deployment's digests. Without it, nobody can make a request that is taken for another
/// one, or learn from a digest what the request was.
#[derive(Clone, PartialEq, Eq)]
pub struct DigestKey([u8; KEY_BYTES]);

/// A keyed digest of a request.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestDigest([u8; DIGEST_BYTES]);

impl DigestKey {
    /// Draws a new key.
    pub fn generate<R>(rng: &mut R) -> Self
    where
        R: rand::Rng,
    {
        let mut key = [0; KEY_BYTES];
        rng.fill_bytes(&mut key);
        Self(key)
    }

    /// Reads a key from hexadecimal digits; `None` if it has another length or other characters.
    pub fn from_hex(text: &str) -> Option<Self> {
        let bytes = hex::decode(text).ok()?;
        bytes.try_into().ok().map(Self)
    }

    /// The key in hexadecimal digits.
    pub fn to_hex(&self) -> String {
        hex::encode(self.0)
    }

    /// The digest of a request; `None` if the key cannot be used, which no key of this length is.
    pub fn digest(&self, parts: &RequestParts<'_>) -> Option<RequestDigest> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).ok()?;
        let account = parts.account.map_or("", AccountId::as_str);
        // An account's name is never empty: one that is missing is no account's.
        for part in [account, parts.method, parts.host, parts.path] {
            // With its length before it, no part can be continued by the next one.
            mac.update(&(part.len() as u64).to_le_bytes());
            mac.update(part.as_bytes());
        }
        mac.update(parts.body);
        let whole = mac.finalize().into_bytes();
        let digest = whole.first_chunk::<DIGEST_BYTES>()?;
        Some(RequestDigest(*digest))
    }
}

impl fmt::Debug for DigestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("DigestKey(..)")
    }
}

impl RequestDigest {
    /// The whole digest in hexadecimal digits.
    pub fn to_hex(self) -> String {
        hex::encode(self.0)
    }

    /// Reads a whole digest from hexadecimal digits.
    pub fn from_hex(text: &str) -> Option<Self> {
        let bytes = hex::decode(text).ok()?;
        bytes.try_into().ok().map(Self)
    }
}

/// The beginning of the digest, which is enough for log lines.
impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(&self.0[..LOGGED_BYTES]))
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
