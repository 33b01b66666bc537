use rand::SeedableRng;
use rand::rngs::StdRng;

use super::{KEY_PREFIX, Secret, digest, matches, new_key};

#[test]
fn digest_is_sha256_of_the_text() {
    let expected = "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae";
    assert_eq!(hex::encode(digest("foo").0), expected);
}

#[test]
fn either_key_of_a_rotation_matches() {
    let digests = [digest("old"), digest("new")];
    assert!(matches(&digests, "old"));
    assert!(matches(&digests, "new"));
    assert!(!matches(&digests, "other"));
    assert!(!matches(&[], "old"));
}

#[test]
fn new_keys_differ_and_have_the_prefix() {
    let mut rng = StdRng::seed_from_u64(7);
    let first = new_key(&mut rng);
    let second = new_key(&mut rng);
    assert_ne!(first, second);
    assert!(first.expose().starts_with(KEY_PREFIX));
    assert_eq!(first.expose().len(), KEY_PREFIX.len() + 64);
}

#[test]
fn a_secret_is_not_shown() {
    let secret = Secret::from("very-private");
    assert!(!format!("{secret:?} {secret}").contains("private"));
    assert_eq!(secret.expose(), "very-private");
}
