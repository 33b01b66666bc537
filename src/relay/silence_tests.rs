use super::silence::{PROMPT_REPLY_MS, ProbeHistory, SilenceCause};

const PROBED_MS: u64 = 1_000;

#[test]
fn engine_with_data_since_the_probe_is_alive() {
    let mut answers = ProbeHistory::default();
    answers.record_reply(PROBED_MS, PROBED_MS + 2);
    assert_eq!(
        answers.classify(PROBED_MS, PROBED_MS + 1),
        SilenceCause::EngineLives
    );
}

#[test]
fn data_before_the_probe_does_not_show_an_engine_alive() {
    let mut answers = ProbeHistory::default();
    answers.record_reply(PROBED_MS, PROBED_MS + 2);
    assert_eq!(
        answers.classify(PROBED_MS, PROBED_MS),
        SilenceCause::EngineDead
    );
}

#[test]
fn unanswered_probe_of_a_live_engine_marks_the_link_saturated() {
    let mut answers = ProbeHistory::default();
    answers.record_reply(PROBED_MS + 10, PROBED_MS + 12);
    answers.classify(PROBED_MS, PROBED_MS + 1);
    assert_eq!(answers.classify(PROBED_MS + 10, 0), SilenceCause::Unclear);
    answers.record_reply(PROBED_MS + 111, PROBED_MS + 113);
    assert_eq!(
        answers.classify(PROBED_MS + 111, 0),
        SilenceCause::EngineDead
    );
}

#[test]
fn prompt_reply_of_another_engine_shows_a_death() {
    let mut answers = ProbeHistory::default();
    answers.record_reply(PROBED_MS + 50, PROBED_MS + 50 + PROMPT_REPLY_MS);
    assert_eq!(answers.classify(PROBED_MS, 0), SilenceCause::EngineDead);
}

#[test]
fn one_prompt_reply_shows_several_deaths() {
    let mut answers = ProbeHistory::default();
    answers.record_reply(PROBED_MS, PROBED_MS + 3);
    for _ in 0..10 {
        assert_eq!(answers.classify(PROBED_MS, 0), SilenceCause::EngineDead);
    }
}

#[test]
fn silence_of_all_engines_is_unclear() {
    let mut answers = ProbeHistory::default();
    assert_eq!(answers.classify(PROBED_MS, 0), SilenceCause::Unclear);
    // Replies to earlier probes say nothing about this moment.
    answers.record_reply(PROBED_MS - 1, PROBED_MS + 1);
    assert_eq!(answers.classify(PROBED_MS, 0), SilenceCause::Unclear);
}

#[test]
fn late_reply_of_another_engine_is_unclear() {
    let mut answers = ProbeHistory::default();
    answers.record_reply(PROBED_MS, PROBED_MS + PROMPT_REPLY_MS + 1);
    assert_eq!(answers.classify(PROBED_MS, 0), SilenceCause::Unclear);
}
