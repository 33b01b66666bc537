//! What it means that an engine has not answered a question.
//!
//! A question and its answer share this instance's link with all else that it sends. While the link is
//! full, living engines do not answer in time.

/// Longest time for an answer that shows the link to be free: a round trip takes a few milliseconds.
pub(crate) const PROMPT_MS: u64 = 25;

/// When an engine is asked for its report, as long as it has not answered: each time over a connection
/// of its own, since a link that loses packets may lose one question but hardly three.
pub(crate) const ASKED_AT_MS: [u64; 3] = [0, 15, 30];

/// Longest wait for the report, from the first question. A round trip takes a few milliseconds at most;
/// the callers of streams over a dead engine wait for all of it.
pub(crate) const ANSWER_LIMIT_MS: u64 = 60;

/// How long after a question to a living engine has gone unanswered the link counts as full for others:
/// what it still has to send may take longer than an engine is waited for.
const LINK_FULL_MS: u64 = 110;

/// What an unanswered question shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoAnswer {
    /// Something has come from the engine since it was asked: it lives.
    EngineLives,
    /// Another question of the same moment was answered promptly, and none that a living engine would
    /// have answered was not: the link is not the cause.
    EngineDead,
    /// Nothing tells the engine's silence from that of the link.
    Unclear,
}

/// Answers to the questions of this instance, to whichever engine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ProbeHistory {
    /// When the newest question that was answered promptly was sent.
    prompt_sent_ms: Option<u64>,
    /// When the newest question was sent that a living engine did not answer in time.
    full_sent_ms: Option<u64>,
}

impl ProbeHistory {
    /// Notes that a question that was sent at `sent_ms` has an answer.
    pub(crate) fn answered(&mut self, sent_ms: u64, now_ms: u64) {
        if now_ms <= sent_ms + PROMPT_MS {
            self.prompt_sent_ms = self.prompt_sent_ms.max(Some(sent_ms));
        }
    }

    /// Judges the silence of an engine which was asked at `asked_ms`, and from which something last came
    /// at `heard_ms`.
    pub(crate) fn judge(&mut self, asked_ms: u64, heard_ms: u64) -> NoAnswer {
        let is_full = self
            .full_sent_ms
            .is_some_and(|sent_ms| asked_ms <= sent_ms + LINK_FULL_MS);
        if heard_ms > asked_ms {
            self.full_sent_ms = self.full_sent_ms.max(Some(asked_ms));
            NoAnswer::EngineLives
        } else if self.prompt_sent_ms >= Some(asked_ms) && !is_full {
            NoAnswer::EngineDead
        } else {
            NoAnswer::Unclear
        }
    }
}
