use super::silence::{NoAnswer, PROMPT_MS, ProbeHistory};

const ASKED_MS: u64 = 1_000;

#[test]
fn an_engine_over_which_something_came_since_it_was_asked_lives() {
    let mut answers = ProbeHistory::default();
    answers.answered(ASKED_MS, ASKED_MS + 2);
    assert_eq!(answers.judge(ASKED_MS, ASKED_MS + 1), NoAnswer::EngineLives);
}

#[test]
fn what_came_before_the_question_does_not_show_an_engine_to_live() {
    let mut answers = ProbeHistory::default();
    answers.answered(ASKED_MS, ASKED_MS + 2);
    assert_eq!(answers.judge(ASKED_MS, ASKED_MS), NoAnswer::EngineDead);
}

#[test]
fn a_living_engine_without_an_answer_shows_a_full_link_for_a_while() {
    let mut answers = ProbeHistory::default();
    answers.answered(ASKED_MS + 10, ASKED_MS + 12);
    answers.judge(ASKED_MS, ASKED_MS + 1);
    assert_eq!(answers.judge(ASKED_MS + 10, 0), NoAnswer::Unclear);
    answers.answered(ASKED_MS + 111, ASKED_MS + 113);
    assert_eq!(answers.judge(ASKED_MS + 111, 0), NoAnswer::EngineDead);
}

#[test]
fn a_prompt_answer_of_another_engine_in_the_same_moment_shows_a_death() {
    let mut answers = ProbeHistory::default();
    answers.answered(ASKED_MS + 50, ASKED_MS + 50 + PROMPT_MS);
    assert_eq!(answers.judge(ASKED_MS, 0), NoAnswer::EngineDead);
}

#[test]
fn several_deaths_at_once_are_told_by_one_prompt_answer() {
    let mut answers = ProbeHistory::default();
    answers.answered(ASKED_MS, ASKED_MS + 3);
    for _ in 0..10 {
        assert_eq!(answers.judge(ASKED_MS, 0), NoAnswer::EngineDead);
    }
}

#[test]
fn silence_of_all_that_were_asked_is_no_death() {
    let mut answers = ProbeHistory::default();
    assert_eq!(answers.judge(ASKED_MS, 0), NoAnswer::Unclear);
    // Answers from before this moment say nothing of it.
    answers.answered(ASKED_MS - 1, ASKED_MS + 1);
    assert_eq!(answers.judge(ASKED_MS, 0), NoAnswer::Unclear);
}

#[test]
fn a_late_answer_of_another_engine_shows_a_full_link() {
    let mut answers = ProbeHistory::default();
    answers.answered(ASKED_MS, ASKED_MS + PROMPT_MS + 1);
    assert_eq!(answers.judge(ASKED_MS, 0), NoAnswer::Unclear);
}
