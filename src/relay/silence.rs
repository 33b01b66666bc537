//! What it means that an engine has not answered a question.
//!
//! A question and its answer share this instance's link with everything else that it sends. While the
//! link is full, questions to living engines have no answer in time: on one day each of the 66 engines
//! that instances took for dead brought other streams events from before to after that moment.

/// Longest time for an answer that shows the link to be free: a round trip takes a few milliseconds.
pub const PROMPT_MS: u64 = 25;

/// How long after a question of a living engine has gone unanswered the link counts as full for others:
/// as long as a question is waited for.
const FULL_MS: u64 = 110;

/// What an unanswered question shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Silence {
    /// Something has come from the engine since it was asked: it lives.
    Lives,
    /// Another question of the same moment was answered promptly, and none that a living engine would
    /// have answered was not: the link is not the cause.
    Dead,
    /// Nothing tells the engine's silence from that of the link.
    Unclear,
}

/// Answers to the questions of this instance, to whichever engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerBook {
    /// When the newest question that was answered promptly was sent.
    prompt_sent_ms: Option<u64>,
    /// When the newest question was sent that a living engine did not answer in time.
    full_sent_ms: Option<u64>,
}

impl AnswerBook {
    /// Notes that a question that was sent at `sent_ms` has an answer.
    pub fn answered(&mut self, sent_ms: u64, now_ms: u64) {
        if now_ms <= sent_ms + PROMPT_MS {
            self.prompt_sent_ms = self.prompt_sent_ms.max(Some(sent_ms));
        }
    }

    /// Judges the silence of an engine which was asked at `asked_ms`, and from which something last came
    /// at `heard_ms`.
    pub fn judge(&mut self, asked_ms: u64, heard_ms: u64) -> Silence {
        let is_full = self
            .full_sent_ms
            .is_some_and(|sent_ms| asked_ms <= sent_ms + FULL_MS);
        if heard_ms > asked_ms {
            self.full_sent_ms = self.full_sent_ms.max(Some(asked_ms));
            Silence::Lives
        } else if self.prompt_sent_ms >= Some(asked_ms) && !is_full {
            Silence::Dead
        } else {
            Silence::Unclear
        }
    }
}
