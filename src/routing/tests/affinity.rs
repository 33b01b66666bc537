//! Hints about cached prompts.

use crate::routing::affinity::{HINT_LIFE_MS, HintWorth, PrefixHints, first_block};
use crate::wire::engine::CACHE_BLOCK_TOKENS;

#[test]
fn a_block_is_the_first_tokens_joined_by_one_space() {
    let words: Vec<String> = (0..CACHE_BLOCK_TOKENS).map(|n| format!("w{n}")).collect();
    let block = first_block(&words.join("  \n"));
    assert_eq!(
        block,
        Some(xxhash_rust::xxh3::xxh3_64(words.join(" ").as_bytes()))
    );
    assert_eq!(first_block(&format!("{} more", words.join(" "))), block);
    assert_eq!(first_block(&words[1..].join(" ")), None);
}

#[test]
fn hints_age_and_end_with_evictions_and_incarnations() {
    let mut hints = PrefixHints::default();
    hints.store(1, 10, 0);
    hints.store(1, 11, 1_000);
    assert_eq!(hints.holders(Some(1), 1_000), [10, 11]);
    assert_eq!(hints.holders(Some(1), HINT_LIFE_MS), [11]);
    hints.evict(1, 11);
    assert_eq!(hints.holders(Some(1), 1_000), [10]);
    hints.forget(10);
    assert!(hints.holders(Some(1), 1_000).is_empty());
    assert!(hints.holders(None, 0).is_empty());
}

#[test]
fn hints_that_save_nothing_are_ignored_for_a_time() {
    let mut worth = HintWorth::default();
    for now_ms in 0..20 {
        worth.learn(true, 5.0, now_ms);
        worth.learn(false, 5.0, now_ms);
    }
    assert!(!worth.is_followed(100));
    assert!(worth.is_followed(60_000));
}

#[test]
fn hints_that_save_time_are_followed() {
    let mut worth = HintWorth::default();
    for now_ms in 0..40 {
        worth.learn(true, 2.0, now_ms);
        worth.learn(false, 5.0, now_ms);
    }
    assert!(worth.is_followed(100));
}
