//! Interprets an engine's failure to answer a probe.
//!
//! A probe and its reply share this instance's link with all other traffic. While the link is
//! saturated, live engines do not reply in time.

/// Maximum reply time that shows the link to be uncongested: a round trip takes a few milliseconds.
pub(crate) const PROMPT_REPLY_MS: u64 = 25;

/// When probes are sent to an engine until it replies. Each uses its own connection, since a lossy
/// link may drop one probe but hardly three.
pub(crate) const PROBE_OFFSETS_MS: [u64; 3] = [0, 15, 30];

/// Maximum wait for a reply, counted from the first probe. A round trip takes a few milliseconds at
/// most, and callers whose streams use a dead engine wait for all of it.
pub(crate) const PROBE_TIMEOUT_MS: u64 = 60;

/// How long the link counts as saturated after a live engine has not answered a probe: the data
/// still queued may take longer to send than an engine is waited for.
const LINK_SATURATED_MS: u64 = 110;

/// What an unanswered probe indicates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SilenceCause {
    /// The engine is alive: data from it has arrived since the probe.
    EngineLives,
    /// Another probe of the same moment was answered promptly, and no live engine failed to answer:
    /// the link is not the cause.
    EngineDead,
    /// The silence may be caused by the engine or by the link.
    Unclear,
}

/// Results of this instance's probes, over all engines.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ProbeHistory {
    /// Send time of the newest probe that was answered promptly.
    prompt_sent_ms: Option<u64>,
    /// Send time of the newest probe that a live engine did not answer in time.
    unanswered_sent_ms: Option<u64>,
}

impl ProbeHistory {
    /// Records the reply to a probe that was sent at `sent_ms`.
    pub(crate) fn record_reply(&mut self, sent_ms: u64, now_ms: u64) {
        if now_ms <= sent_ms + PROMPT_REPLY_MS {
            self.prompt_sent_ms = self.prompt_sent_ms.max(Some(sent_ms));
        }
    }

    /// Classifies the silence of an engine that was probed at `probed_ms` and from which data last
    /// arrived at `heard_ms`.
    pub(crate) fn classify(&mut self, probed_ms: u64, heard_ms: u64) -> SilenceCause {
        let is_saturated = self
            .unanswered_sent_ms
            .is_some_and(|sent_ms| probed_ms <= sent_ms + LINK_SATURATED_MS);
        if heard_ms > probed_ms {
            self.unanswered_sent_ms = self.unanswered_sent_ms.max(Some(probed_ms));
            SilenceCause::EngineLives
        } else if self.prompt_sent_ms >= Some(probed_ms) && !is_saturated {
            SilenceCause::EngineDead
        } else {
            SilenceCause::Unclear
        }
    }
}
