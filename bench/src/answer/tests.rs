use fescueshore::wire::engine::EndReason;
use proptest::prelude::*;

use super::AnswerKey;

fn key<'a>(adapter: Option<&'a str>, prompt: &'a str) -> AnswerKey<'a> {
    AnswerKey {
        model: "menu-mind-24b",
        version: "1",
        adapter,
        prompt,
    }
}

proptest! {
    #[test]
    fn an_answer_is_a_function_of_what_was_asked(prompt in ".*", max_tokens in 1_u32..400) {
        let answer = key(None, &prompt).seed().answer(max_tokens);
        prop_assert_eq!(&answer, &key(None, &prompt).seed().answer(max_tokens));
        prop_assert!(answer.iter().all(|token| token.split_whitespace().count() == 1));
    }
}

#[test]
fn other_questions_have_other_answers() {
    let answer = |adapter, prompt| key(adapter, prompt).seed().answer(20);
    assert_ne!(answer(None, "a"), answer(None, "b"));
    assert_ne!(answer(None, "a"), answer(Some("recipe-cost"), "a"));
}

#[test]
fn max_tokens_cuts_a_longer_answer() {
    let seed = key(None, "a").seed();
    let natural = seed.natural_tokens();
    assert_eq!(seed.end(natural), (natural, EndReason::Stop));
    assert_eq!(seed.end(natural - 1), (natural - 1, EndReason::Length));
}
