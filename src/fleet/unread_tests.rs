//! Prompts that engines still have to read, and their part in the choice of a chain.

use indexmap::IndexSet;

use super::tests::{fleet, listed, model, range};
use super::*;
use crate::ids::{EndpointId, ServiceName, ZoneName};

const PROMPT_TOKENS: u64 = 772;

fn id(name: &str) -> EndpointId {
    EndpointId::from(name)
}

/// Two engines for the first layers and two for the last, all equal.
fn two_pairs() -> Fleet {
    fleet(vec![
        listed("a", "lac", Some(range(0, 10))),
        listed("b", "lac", Some(range(0, 10))),
        listed("c", "lac", Some(range(10, 20))),
        listed("d", "lac", Some(range(10, 20))),
    ])
}

fn with_request<T, U>(draw: Option<u64>, use_request: U) -> T
where
    U: FnOnce(ChainRequest<'_>) -> T,
{
    use_request(ChainRequest {
        service: &ServiceName::from("menu-mind"),
        model: &model(),
        own_zone: &ZoneName::from("lac"),
        tokens: 900,
        excluded: &IndexSet::new(),
        first_among: None,
        first: None,
        draw,
    })
}

fn plan(fleet: &Fleet, draw: Option<u64>) -> String {
    let chain = with_request(draw, |request| plan_chain(fleet, request, 0));
    chain.expect("all layers are held").to_string()
}

fn chain(fleet: &Fleet, ids: [&str; 2]) -> Chain {
    let stage = |name| fleet.get(&id(name)).and_then(KnownEndpoint::stage);
    let stages = ids.into_iter().filter_map(stage).collect();
    Chain::checked(stages, 20).expect("it covers all layers")
}

/// What each engine has to read, in prompts times layers.
fn unread(fleet: &Fleet) -> Vec<(String, u64)> {
    let unread = fleet.iter().map(|known| {
        let prompts = known.unread_token_layers() / PROMPT_TOKENS;
        (known.id().to_string(), prompts)
    });
    unread.filter(|(_, prompts)| *prompts > 0).collect()
}

fn pairs(expected: &[(&str, u64)]) -> Vec<(String, u64)> {
    let pairs = expected.iter();
    pairs
        .map(|(id, prompts)| ((*id).to_owned(), *prompts))
        .collect()
}

fn report(fleet: &mut Fleet, prompts: &[(&str, u64)]) {
    let load = |prompts| EngineLoad {
        unread_token_layers: prompts * PROMPT_TOKENS * 10,
        ..EngineLoad::default()
    };
    let loads = prompts
        .iter()
        .map(|(name, prompts)| (id(name), load(*prompts)));
    fleet.set_peers_load(&loads.collect());
}

/// Guards against an engine with 40 prompts to read looking idle: the first event of a further stream
/// then comes 850 ms late.
#[test]
fn an_engine_with_many_prompts_to_read_is_avoided_for_an_idle_one() {
    for draw in [None].into_iter().chain((0..100).map(Some)) {
        let mut fleet = two_pairs();
        report(&mut fleet, &[("a", 40), ("d", 40)]);
        assert_eq!(plan(&fleet, draw), "b=0-10,c=10-20");
        report(&mut fleet, &[("b", 40), ("c", 40)]);
        assert_eq!(plan(&fleet, draw), "a=0-10,d=10-20");
    }
}

#[test]
fn equal_backlogs_leave_the_choice_as_it_is() {
    let mut fleet = two_pairs();
    fleet.get_mut(&id("a")).expect("listed").held_token_layers = 40_000;
    let choices = |fleet: &Fleet| -> Vec<String> {
        let draws = [None].into_iter().chain((0..100).map(Some));
        draws.map(|draw| plan(fleet, draw)).collect()
    };
    let idle = choices(&fleet);
    assert_eq!(
        idle.iter().collect::<IndexSet<_>>().len(),
        4,
        "each is drawn"
    );
    report(&mut fleet, &[("a", 20), ("b", 20), ("c", 20), ("d", 20)]);
    assert_eq!(choices(&fleet), idle);
}

#[test]
fn the_only_chain_is_taken_whatever_its_engines_have_to_read() {
    let mut fleet = two_pairs();
    report(&mut fleet, &[("a", 4_000), ("c", 4_000)]);
    for name in ["b", "d"] {
        fleet.record_failure(&id(name), EndpointFailure::Unreachable, 0);
    }
    assert_eq!(plan(&fleet, Some(1)), "a=0-10,c=10-20");
}

#[test]
fn a_replacement_avoids_an_engine_with_many_prompts_to_read() {
    let mut fleet = fleet(vec![
        listed("first", "lac", Some(range(0, 10))),
        listed("lost", "lac", Some(range(10, 20))),
        listed("a", "lac", Some(range(10, 20))),
        listed("b", "lac", Some(range(10, 20))),
    ]);
    let chain = chain(&fleet, ["first", "lost"]);
    report(&mut fleet, &[("a", 80)]);
    for draw in [None].into_iter().chain((0..100).map(Some)) {
        let replaced = with_request(draw, |request| {
            replace_stage(&fleet, request, &chain, &id("lost"), Zones::OfFirst, 0)
        });
        let replaced = replaced.map(|it| it.to_string());
        assert_eq!(replaced.as_deref(), Some("first=0-10,b=10-20"));
    }
}

#[test]
fn a_prompt_counts_from_the_send_to_the_first_event() {
    let mut fleet = two_pairs();
    let chain = chain(&fleet, ["a", "c"]);
    let mut prompt = UnreadPrompt::sent(&mut fleet, &chain, PROMPT_TOKENS);
    let mut other = UnreadPrompt::sent(&mut fleet, &chain, PROMPT_TOKENS);
    assert_eq!(unread(&fleet), pairs(&[("a", 20), ("c", 20)]));
    prompt.read(&mut fleet);
    assert!(!prompt.is_pending());
    prompt.read(&mut fleet);
    assert_eq!(unread(&fleet), pairs(&[("a", 10), ("c", 10)]));
    other.read(&mut fleet);
    assert_eq!(unread(&fleet), []);
}

#[test]
fn a_rerouted_stream_counts_again_at_its_new_stages_only() {
    let mut fleet = two_pairs();
    let before = chain(&fleet, ["a", "c"]);
    let after = chain(&fleet, ["a", "d"]);
    let mut prompt = UnreadPrompt::sent(&mut fleet, &before, PROMPT_TOKENS);
    prompt.moved(&mut fleet, &before, &after);
    assert_eq!(unread(&fleet), pairs(&[("a", 10), ("d", 10)]));
    prompt.read(&mut fleet);
    prompt.moved(&mut fleet, &after, &before);
    assert_eq!(unread(&fleet), pairs(&[("c", 10)]));
    prompt.read(&mut fleet);
    assert_eq!(unread(&fleet), []);
}

/// Guards against counting a prompt at another process than the one that it was sent to.
#[test]
fn the_end_of_an_engine_ends_its_backlog() {
    let mut fleet = two_pairs();
    let chain = chain(&fleet, ["a", "c"]);
    let mut prompt = UnreadPrompt::sent(&mut fleet, &chain, PROMPT_TOKENS);
    let read = ListingRead::changes(vec![], vec!["c".into()]);
    fleet.apply_read(read, false, 10);
    fleet.apply_read(ListingRead::full(vec![]), false, 20);
    assert!(fleet.get(&id("c")).is_none());
    prompt.read(&mut fleet);
    assert_eq!(unread(&fleet), []);
}
