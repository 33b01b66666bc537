//! Health of an endpoint as shown by calls to it.

/// How long an endpoint is paused after the first failure. About the time of an engine's restart,
/// and short, since a healthy endpoint may be blamed for another one that is silent.
const INITIAL_PAUSE_MS: u64 = 1_000;
/// Longest pause, so that a recovered endpoint is found soon.
const MAX_PAUSE_MS: u64 = 8_000;
/// How long a slowness report is valid. Reports are requested every second.
const SLOWNESS_TTL_MS: u64 = 2_500;
/// Slowness at which an engine's layers get another engine. At four times its usual step time, an
/// engine in a chain of ten still delivers an event within the pause that callers accept; above
/// that, its prompts pile up. Requests that it already runs stay, since elsewhere all their tokens
/// would have to be recomputed.
const VERY_SLOW_FACTOR: f64 = 4.0;
/// Slowness above which an engine counts as slow.
const SLOW_FACTOR: f64 = 1.4;
/// How long an engine counts as full after it rejected a request for lack of room: a tenth of a
/// typical stream, after which some of its streams have ended.
const FULL_BACKOFF_MS: u64 = 300;
/// How often that time is doubled. An engine that keeps rejecting requests without accepting any
/// may be leaving, which looks like lack of room while the store is unavailable, and each attempt
/// costs a retry.
const MAX_FULL_DOUBLINGS: u32 = 2;
/// Weight of the newest response time in the moving average.
const LATENCY_WEIGHT: f64 = 0.2;

/// A failed call to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointFailure {
    /// Another process answers at its address, so its own has exited.
    Ended,
    /// It refuses connections: its process has ended, or this instance is partitioned from it.
    Refused,
    /// The endpoint does not respond on a new connection.
    Unreachable,
    /// A connection broke before the response was complete.
    Broken,
    /// The response was malformed or belonged to another request.
    Garbled,
    /// The endpoint responded with an error of its own.
    Failed,
    /// There was no response in time.
    Silent,
    /// The endpoint has no room now.
    Full,
    /// The endpoint announced, between its selection and the send, that it accepts no more requests
    /// or none at present. It is healthy.
    Withdrawn,
}

impl EndpointFailure {
    /// Name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::Broken => "broken",
            Self::Garbled => "garbled",
            Self::Failed => "failed",
            Self::Silent => "silent",
            Self::Full => "full",
            Self::Withdrawn => "withdrawn",
        }
    }

    /// Whether requests that run at the endpoint are lost.
    pub fn loses_requests(self) -> bool {
        matches!(self, Self::Ended | Self::Refused | Self::Unreachable)
    }

    /// Consecutive failures of this kind after which the endpoint is paused. A single error or
    /// broken response may be due to the request; a refused connection is due to the endpoint.
    fn pause_threshold(self) -> u32 {
        match self {
            Self::Ended | Self::Refused | Self::Unreachable => 1,
            Self::Silent | Self::Full => 2,
            Self::Broken | Self::Garbled | Self::Failed => 3,
            Self::Withdrawn => u32::MAX,
        }
    }
}

/// How slow an engine is, as reported.
#[derive(Clone, Copy, Debug)]
struct Slowness {
    factor: f64,
    reported_ms: u64,
}

/// Health record of one endpoint, kept by this process.
#[derive(Clone, Debug, Default)]
pub struct EndpointHealth {
    consecutive_failures: u32,
    consecutive_pauses: u32,
    paused_until_ms: Option<u64>,
    /// When it was last found not to respond on a new connection.
    unreachable_ms: Option<u64>,
    /// Whether it refused that connection.
    refuses: bool,
    /// When the probe was sent that counted as failed because it got no response.
    unanswered_since_ms: Option<u64>,
    /// Another process answers at its address.
    has_ended: bool,
    slowness: Option<Slowness>,
    full_until_ms: u64,
    /// Consecutive rejections for lack of room without an accepted request in between, up to
    /// [`MAX_FULL_DOUBLINGS`].
    consecutive_full: u32,
    latency_ms: Option<f64>,
}

impl EndpointHealth {
    /// Whether the endpoint is paused.
    pub fn is_paused(&self, now_ms: u64) -> bool {
        self.paused_until_ms.is_some_and(|until| now_ms < until)
    }

    /// Whether the endpoint has not been seen healthy since its last pause.
    pub fn is_unverified(&self) -> bool {
        self.paused_until_ms.is_some()
    }

    /// Whether it failed to respond when last probed: the requests that it ran count as lost.
    pub fn is_dead(&self) -> bool {
        self.unreachable_ms.is_some()
    }

    /// When it was last found not to respond on a new connection, if it has not been seen healthy
    /// since.
    pub(super) fn unreachable_ms(&self) -> Option<u64> {
        self.unreachable_ms
    }

    /// Whether another process answered at its address. An endpoint that merely does not respond may
    /// be slow or unreachable and go on running its requests.
    pub fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// When it last refused a connection, if it has not been seen healthy since. Its process has
    /// ended, unless this instance is partitioned from it.
    pub fn refused_ms(&self) -> Option<u64> {
        self.unreachable_ms.filter(|_| self.refuses)
    }

    /// When the probe was sent that counted as failed because it got no response, if any.
    pub fn unanswered_since_ms(&self) -> Option<u64> {
        self.unanswered_since_ms
    }

    /// Factor on the engine's usual step time, as last reported; 1 if unknown.
    pub fn slowness(&self, now_ms: u64) -> f64 {
        self.slowness
            .filter(|it| now_ms < it.reported_ms + SLOWNESS_TTL_MS)
            .map_or(1.0, |it| it.factor)
    }

    /// Whether it is so slow that its layers need another engine.
    pub fn is_very_slow(&self, now_ms: u64) -> bool {
        self.slowness(now_ms) >= VERY_SLOW_FACTOR
    }

    /// Records that it rejected a request for lack of room. Returns whether it did not count as
    /// full before.
    pub fn record_full(&mut self, now_ms: u64) -> bool {
        if self.is_full(now_ms) {
            return false;
        }
        self.full_until_ms = now_ms + (FULL_BACKOFF_MS << self.consecutive_full);
        self.consecutive_full = MAX_FULL_DOUBLINGS.min(self.consecutive_full + 1);
        true
    }

    /// Records that it accepted a request.
    pub fn record_accepted(&mut self) {
        self.consecutive_full = 0;
    }

    /// Time until which it counts as full.
    pub fn full_until_ms(&self) -> u64 {
        self.full_until_ms
    }

    /// Whether it has just rejected a request for lack of room.
    pub fn is_full(&self, now_ms: u64) -> bool {
        now_ms < self.full_until_ms
    }

    /// Records a slowness report. Returns whether the engine has become slow.
    pub fn record_slowness(&mut self, factor: f64, now_ms: u64) -> bool {
        let was_slow = self.slowness(now_ms) > SLOW_FACTOR;
        let is_slow = factor > SLOW_FACTOR;
        self.slowness = is_slow.then_some(Slowness {
            factor,
            reported_ms: now_ms,
        });
        is_slow && !was_slow
    }

    /// Whether a pause has ended and the endpoint has not been seen healthy since.
    pub fn needs_check(&self, now_ms: u64) -> bool {
        self.paused_until_ms.is_some_and(|until| now_ms >= until)
    }

    /// Moving average of response times, if any was measured.
    pub fn latency_ms(&self) -> Option<f64> {
        self.latency_ms
    }

    /// Records a complete response that arrived `latency_ms` after the request.
    pub fn record_answer(&mut self, latency_ms: u64) {
        self.clear();
        let newest = latency_ms as f64;
        let mean = self.latency_ms.unwrap_or(newest);
        self.latency_ms = Some(mean + LATENCY_WEIGHT * (newest - mean));
    }

    /// Clears past failures: the endpoint was seen healthy.
    pub fn clear(&mut self) {
        self.consecutive_failures = 0;
        self.consecutive_pauses = 0;
        self.paused_until_ms = None;
        self.unreachable_ms = None;
        self.refuses = false;
        self.unanswered_since_ms = None;
        self.has_ended = false;
    }

    /// Records a failure. Returns whether the endpoint has become paused.
    pub fn record_failure(&mut self, failure: EndpointFailure, now_ms: u64) -> bool {
        self.consecutive_failures += 1;
        if failure.loses_requests() {
            self.unreachable_ms = Some(now_ms);
            self.refuses |= failure == EndpointFailure::Refused;
        }
        self.has_ended |= failure == EndpointFailure::Ended;
        if self.consecutive_failures < failure.pause_threshold() || self.is_paused(now_ms) {
            return false;
        }
        self.pause(now_ms);
        true
    }

    /// Records that a probe sent at `probe_sent_ms` got no response, for which the endpoint and not
    /// the link is to blame. Returns whether the endpoint has become paused.
    pub(super) fn record_unanswered(&mut self, probe_sent_ms: u64, now_ms: u64) -> bool {
        self.unanswered_since_ms = Some(probe_sent_ms);
        self.record_failure(EndpointFailure::Unreachable, now_ms)
    }

    /// Pauses the endpoint, for twice as long as the last time, up to the longest pause.
    pub fn pause(&mut self, now_ms: u64) {
        let pause_ms = if self.has_ended || self.refuses {
            MAX_PAUSE_MS
        } else {
            INITIAL_PAUSE_MS << self.consecutive_pauses.min(3)
        };
        self.consecutive_pauses += 1;
        self.paused_until_ms = Some(now_ms + pause_ms.min(MAX_PAUSE_MS));
    }
}
