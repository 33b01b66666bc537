//! Tests of hints about cached prompts.

use crate::routing::affinity::{HINT_TTL_MS, HintBenefit, PrefixHints, first_block};
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
fn hints_expire_and_are_removed_by_evictions_and_new_incarnations() {
    let mut hints = PrefixHints::default();
    hints.add(1, 10, 0);
    hints.add(1, 11, 1_000);
    assert_eq!(hints.holders(Some(1), 1_000), [10, 11]);
    assert_eq!(hints.holders(Some(1), HINT_TTL_MS), [11]);
    hints.remove(1, 11);
    assert_eq!(hints.holders(Some(1), 1_000), [10]);
    hints.remove_engine(10);
    assert!(hints.holders(Some(1), 1_000).is_empty());
    assert!(hints.holders(None, 0).is_empty());
}

#[test]
fn hints_without_benefit_are_ignored_for_a_while() {
    let mut benefit = HintBenefit::default();
    for now_ms in 0..20 {
        benefit.record(true, 5.0, now_ms);
        benefit.record(false, 5.0, now_ms);
    }
    assert!(!benefit.is_enabled(100));
    assert!(benefit.is_enabled(60_000));
}

#[test]
fn hints_that_save_time_are_used() {
    let mut benefit = HintBenefit::default();
    for now_ms in 0..40 {
        benefit.record(true, 2.0, now_ms);
        benefit.record(false, 5.0, now_ms);
    }
    assert!(benefit.is_enabled(100));
}
