//! Requests that end the endpoints that run them: by what such a request is known when it comes again.

mod digest;
#[cfg(test)]
mod digest_tests;

pub use digest::{DigestKey, RequestDigest, RequestParts};
