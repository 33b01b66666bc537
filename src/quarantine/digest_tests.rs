//! Tests of request digests.

use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::{DigestKey, FeatureDigest, RequestParts};
use crate::ids::AccountId;

fn key(seed: u64) -> DigestKey {
    DigestKey::generate(&mut SmallRng::seed_from_u64(seed))
}

fn digest_of(account: Option<&str>, path: &str, body: &[u8]) -> FeatureDigest {
    let account = account.map(AccountId::from);
    let parts = RequestParts {
        account: account.as_ref(),
        method: "POST",
        host: "users.example",
        path,
        body,
    };
    key(1).digest(&parts).expect("the key has its length")
}

#[test]
fn a_digest_covers_account_path_and_body() {
    let digest = digest_of(Some("lac-bistro"), "/draft/x?a=1", b"{\"a\": 1}");
    assert_eq!(
        digest,
        digest_of(Some("lac-bistro"), "/draft/x?a=1", b"{\"a\": 1}")
    );
    let others = [
        digest_of(Some("marsa-grill"), "/draft/x?a=1", b"{\"a\": 1}"),
        digest_of(None, "/draft/x?a=1", b"{\"a\": 1}"),
        digest_of(Some("lac-bistro"), "/draft/x?a=2", b"{\"a\": 1}"),
        // Equivalent JSON, but a different sequence of bytes.
        digest_of(Some("lac-bistro"), "/draft/x?a=1", b"{\"a\":1}"),
    ];
    assert!(others.iter().all(|other| *other != digest));
}

#[test]
fn a_digest_depends_on_a_secret_key() {
    let parts = RequestParts {
        account: None,
        method: "POST",
        host: "users.example",
        path: "/draft/x",
        body: b"body",
    };
    assert_ne!(key(1).digest(&parts), key(2).digest(&parts));
    assert_eq!(format!("{:?}", key(1)), "DigestKey(..)");
}

#[test]
fn keys_and_digests_round_trip() {
    assert_eq!(DigestKey::from_hex(&key(1).to_hex()), Some(key(1)));
    assert_eq!(DigestKey::from_hex("abcd"), None);
    let digest = digest_of(None, "/", b"");
    assert_eq!(FeatureDigest::from_hex(&digest.to_hex()), Some(digest));
    assert_eq!(FeatureDigest::from_hex("zz"), None);
}

proptest! {
    // A caller that chooses path and body must not be able to get another request's digest.
    #[test]
    fn parts_cannot_be_shifted_into_one_another(path in "[a-z/]{1,8}", body in "[a-z/]{0,8}", cut in 0_usize..8) {
        let cut = cut.min(body.len());
        let (moved, rest) = body.split_at(cut);
        let other = format!("{path}{moved}");
        let is_same = digest_of(None, &path, body.as_bytes()) == digest_of(None, &other, rest.as_bytes());
        prop_assert_eq!(is_same, moved.is_empty());
    }
}
