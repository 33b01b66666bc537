use crate::engine::cache::{PrefixCache, PrefixHashes};

fn prompt(name: &str, tokens: usize) -> PrefixHashes {
    let words: Vec<String> = (0..tokens).map(|i| format!("{name}{i}")).collect();
    PrefixHashes::of(&words.join(" "))
}

#[test]
fn whole_blocks_of_a_known_prefix_are_cached() {
    let mut cache = PrefixCache::new(1600);
    cache.store(&prompt("a", 40), None, 0);
    assert_eq!(cache.cached_tokens(&prompt("a", 100), None), 32);
    assert_eq!(cache.cached_tokens(&prompt("b", 100), None), 0);
}

#[test]
fn an_adapter_has_a_cache_of_its_own() {
    let mut cache = PrefixCache::new(1600);
    cache.store(&prompt("a", 40), Some("x"), 0);
    assert_eq!(cache.cached_tokens(&prompt("a", 40), None), 0);
}

#[test]
fn the_least_recently_used_prefix_is_evicted() {
    let mut cache = PrefixCache::new(48);
    for name in ["a", "b", "c"] {
        cache.store(&prompt(name, 16), None, 0);
    }
    cache.cached_tokens(&prompt("a", 16), None);
    cache.store(&prompt("d", 16), None, 0);
    assert_eq!(cache.cached_tokens(&prompt("a", 16), None), 16);
    assert_eq!(cache.cached_tokens(&prompt("b", 16), None), 0);
}

#[test]
fn events_come_late_and_with_gaps() {
    let mut cache = PrefixCache::new(16_000);
    for index in 0..40 {
        cache.store(&prompt(&format!("p{index}-"), 16), None, 1_000_000);
    }
    assert!(cache.events(0, 1_100_000).events.is_empty());
    let events = cache.events(0, 1_300_000);
    assert_eq!((events.last, events.events.len()), (40, 38));
}
