//! Keyed digests of what requests have in common: the whole request, when it is sent again with another id
//! or to another instance, and parts of prompts.

use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::ids::{AccountId, PromptPartId};

/// Length of a key.
const KEY_BYTES: usize = 32;
/// Length of a digest: among 2^64 requests of a deployment, one collision is expected.
const DIGEST_BYTES: usize = 16;
/// Number of leading bytes of a digest that log lines show.
const LOGGED_BYTES: usize = 8;
/// Input that precedes the id of a prompt part. It is not valid as the length of an account's name, so the
/// digest of a part never equals that of a request.
const PROMPT_PART_TAG: u64 = u64::MAX;

/// The parts that identify a request. Its id and timeout are not among them, since they change with
/// each attempt; nor is the last event that the caller has, since a resumed stream is the same request.
#[derive(Clone, Copy, Debug)]
pub struct RequestParts<'a> {
    /// Client account; a request of another account is a different request.
    pub account: Option<&'a AccountId>,
    /// HTTP method.
    pub method: &'a str,
    /// Value of the `Host` header.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Body, compared byte for byte.
    pub body: &'a [u8],
}

/// The key of a deployment's digests. Without it, nobody can craft a request that collides with another
/// one, or infer the request from its digest.
#[derive(Clone, PartialEq, Eq)]
pub struct DigestKey([u8; KEY_BYTES]);

/// A keyed digest of a feature that requests may share: a whole request, or a part of a prompt.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FeatureDigest([u8; DIGEST_BYTES]);

impl DigestKey {
    /// Generates a random key.
    pub fn generate<R>(rng: &mut R) -> Self
    where
        R: rand::Rng,
    {
        let mut key = [0; KEY_BYTES];
        rng.fill_bytes(&mut key);
        Self(key)
    }

    /// Parses a key from hexadecimal digits; `None` if its length or characters are invalid.
    pub fn from_hex(text: &str) -> Option<Self> {
        let bytes = hex::decode(text).ok()?;
        bytes.try_into().ok().map(Self)
    }

    /// Formats the key as hexadecimal digits.
    pub fn to_hex(&self) -> String {
        hex::encode(self.0)
    }

    /// Computes the digest of a part of a prompt, which is the same in all requests; `None` as for
    /// [`Self::digest`].
    pub fn prompt_part_digest(&self, part: &PromptPartId) -> Option<FeatureDigest> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).ok()?;
        mac.update(&PROMPT_PART_TAG.to_le_bytes());
        mac.update(part.as_str().as_bytes());
        FeatureDigest::from_mac(mac)
    }

    /// Computes the digest of a request; `None` if the MAC rejects the key, which does not happen for
    /// keys of this length.
    pub fn digest(&self, parts: &RequestParts<'_>) -> Option<FeatureDigest> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).ok()?;
        let account = parts.account.map_or("", AccountId::as_str);
        // An account's name is never empty, so an empty one stands for a request without an account.
        for part in [account, parts.method, parts.host, parts.path] {
            // The length prefix prevents bytes from being shifted from one part to the next.
            mac.update(&(part.len() as u64).to_le_bytes());
            mac.update(part.as_bytes());
        }
        mac.update(parts.body);
        FeatureDigest::from_mac(mac)
    }
}

impl fmt::Debug for DigestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("DigestKey(..)")
    }
}

impl FeatureDigest {
    fn from_mac(mac: Hmac<Sha256>) -> Option<Self> {
        let tag = mac.finalize().into_bytes();
        let digest = tag.first_chunk::<DIGEST_BYTES>()?;
        Some(Self(*digest))
    }

    /// Formats the full digest as hexadecimal digits.
    pub fn to_hex(self) -> String {
        hex::encode(self.0)
    }

    /// Parses a full digest from hexadecimal digits.
    pub fn from_hex(text: &str) -> Option<Self> {
        let bytes = hex::decode(text).ok()?;
        bytes.try_into().ok().map(Self)
    }
}

/// Formats digests for log lines, separated by commas.
pub(crate) fn digest_labels<'a, I>(digests: I) -> String
where
    I: IntoIterator<Item = &'a FeatureDigest>,
{
    let labels: Vec<String> = digests.into_iter().map(ToString::to_string).collect();
    labels.join(",")
}

/// Formats the leading bytes of the digest, which are enough for log lines.
impl fmt::Display for FeatureDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(&self.0[..LOGGED_BYTES]))
    }
}

impl fmt::Debug for FeatureDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
