//! What calls to an endpoint have shown of it.

/// How long an endpoint is left out after the first trouble. Of the order of an engine's restart;
/// short, since a healthy endpoint may be blamed for another's silence.
const INITIAL_PAUSE_MS: u64 = 1_000;
/// Longest pause, so that an endpoint that came back is found soon.
const MAX_PAUSE_MS: u64 = 8_000;
/// How long a report of slowness is taken for true: reports are asked for again every second.
const SLOWNESS_TTL_MS: u64 = 2_500;
/// Slowness at which an engine's layers get another holder. At four times its usual step an engine
/// of a chain of ten still brings an event within the pause that callers accept; above, its prompts
/// pile up. What runs there stays: elsewhere all its tokens would be read again.
const VERY_SLOW_FACTOR: f64 = 4.0;
/// Slowness below which an engine counts as usual.
const SLOW_FACTOR: f64 = 1.4;
/// How long an engine counts as full after it turned a request away for want of room. A tenth of a
/// usual stream: by then some of those that it holds have ended.
const FULL_BACKOFF_MS: u64 = 300;
/// How often that time is doubled. An engine that goes on turning requests away without taking any may
/// be leaving, which cannot be told from want of room while the store is away; each look at it
/// costs a repeat.
const MAX_FULL_DOUBLINGS: u32 = 2;
/// Weight of the newest answer time in the running mean.
const LATENCY_WEIGHT: f64 = 0.2;

/// What went wrong at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointFailure {
    /// No process listens at its address: whatever ran there has ended.
    Ended,
    /// It does not answer a fresh connection.
    Unreachable,
    /// A connection to it broke before the answer was whole.
    Broken,
    /// It sent what is no answer, or another request's.
    Garbled,
    /// It answered with a failure of its own.
    Failed,
    /// It gave no answer in time.
    Silent,
    /// It has no room now.
    Full,
    /// It wants no request any more, or not now, which was heard between its choice and the send. Nothing
    /// is wrong with it.
    Withdrawn,
}

impl EndpointFailure {
    /// Name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Unreachable => "unreachable",
            Self::Broken => "broken",
            Self::Garbled => "garbled",
            Self::Failed => "failed",
            Self::Silent => "silent",
            Self::Full => "full",
            Self::Withdrawn => "withdrawn",
        }
    }

    /// Whether what runs at the endpoint is lost.
    pub fn loses_requests(self) -> bool {
        matches!(self, Self::Ended | Self::Unreachable)
    }

    /// How many troubles in a row of this sort put the endpoint on pause. A single failure or
    /// broken answer may be the request's own; a refused connection is the endpoint's.
    fn pause_threshold(self) -> u32 {
        match self {
            Self::Ended | Self::Unreachable => 1,
            Self::Silent | Self::Full => 2,
            Self::Broken | Self::Garbled | Self::Failed => 3,
            Self::Withdrawn => u32::MAX,
        }
    }
}

/// A report of how slow an engine is.
#[derive(Clone, Copy, Debug)]
struct Slowness {
    factor: f64,
    reported_ms: u64,
}

/// The endpoint's record with this process.
#[derive(Clone, Debug, Default)]
pub struct EndpointHealth {
    consecutive_failures: u32,
    consecutive_pauses: u32,
    paused_until_ms: Option<u64>,
    /// It does not answer fresh connections.
    is_dead: bool,
    /// When the question was sent whose silence counted as its death.
    unanswered_since_ms: Option<u64>,
    /// No process listens at its address.
    has_ended: bool,
    slowness: Option<Slowness>,
    full_until_ms: u64,
    /// Times in a row that it turned a request away and took none in between, up to
    /// [`MAX_FULL_DOUBLINGS`].
    consecutive_full: u32,
    latency_ms: Option<f64>,
}

impl EndpointHealth {
    /// Whether the endpoint is left out now.
    pub fn is_paused(&self, now_ms: u64) -> bool {
        self.paused_until_ms.is_some_and(|until| now_ms < until)
    }

    /// Whether nothing has shown since the last pause that the endpoint is sound.
    pub fn is_unverified(&self) -> bool {
        self.paused_until_ms.is_some()
    }

    /// Whether it did not answer when it was asked last: what runs there is lost.
    pub fn is_dead(&self) -> bool {
        self.is_dead
    }

    /// Whether no process listened at its address when it was asked last. One that only does not
    /// answer may be slow, or out of reach, and go on running what it has.
    pub fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// When the question was sent whose silence counted as its death, if one did.
    pub fn unanswered_since_ms(&self) -> Option<u64> {
        self.unanswered_since_ms
    }

    /// Factor on the engine's usual time for a step, as last reported; 1 if nothing is known.
    pub fn slowness(&self, now_ms: u64) -> f64 {
        self.slowness
            .filter(|it| now_ms < it.reported_ms + SLOWNESS_TTL_MS)
            .map_or(1.0, |it| it.factor)
    }

    /// Whether it is so slow that its layers need another holder.
    pub fn is_very_slow(&self, now_ms: u64) -> bool {
        self.slowness(now_ms) >= VERY_SLOW_FACTOR
    }

    /// Notes that it turned a request away for want of room; returns whether that is news.
    pub fn record_full(&mut self, now_ms: u64) -> bool {
        if self.is_full(now_ms) {
            return false;
        }
        self.full_until_ms = now_ms + (FULL_BACKOFF_MS << self.consecutive_full);
        self.consecutive_full = MAX_FULL_DOUBLINGS.min(self.consecutive_full + 1);
        true
    }

    /// Notes that it takes requests.
    pub fn record_accepted(&mut self) {
        self.consecutive_full = 0;
    }

    /// Until when it counts as full.
    pub fn full_until_ms(&self) -> u64 {
        self.full_until_ms
    }

    /// Whether it turned a request away for want of room just now.
    pub fn is_full(&self, now_ms: u64) -> bool {
        now_ms < self.full_until_ms
    }

    /// Takes a report of slowness; returns whether the engine is slow now and was not before.
    pub fn record_slowness(&mut self, factor: f64, now_ms: u64) -> bool {
        let was_slow = self.slowness(now_ms) > SLOW_FACTOR;
        let is_slow = factor > SLOW_FACTOR;
        self.slowness = is_slow.then_some(Slowness {
            factor,
            reported_ms: now_ms,
        });
        is_slow && !was_slow
    }

    /// Whether a pause has ended and nothing has shown since that the endpoint is sound.
    pub fn needs_check(&self, now_ms: u64) -> bool {
        self.paused_until_ms.is_some_and(|until| now_ms >= until)
    }

    /// Running mean of answer times, if any was measured.
    pub fn latency_ms(&self) -> Option<f64> {
        self.latency_ms
    }

    /// Takes a whole answer that came `latency_ms` after the request.
    pub fn record_answer(&mut self, latency_ms: u64) {
        self.clear();
        let newest = latency_ms as f64;
        let mean = self.latency_ms.unwrap_or(newest);
        self.latency_ms = Some(mean + LATENCY_WEIGHT * (newest - mean));
    }

    /// Forgets past trouble: the endpoint was seen to be sound.
    pub fn clear(&mut self) {
        self.consecutive_failures = 0;
        self.consecutive_pauses = 0;
        self.paused_until_ms = None;
        self.is_dead = false;
        self.unanswered_since_ms = None;
        self.has_ended = false;
    }

    /// Takes a trouble; returns whether the endpoint is on pause from now on and was not before.
    pub fn record_failure(&mut self, trouble: EndpointFailure, now_ms: u64) -> bool {
        self.consecutive_failures += 1;
        self.is_dead |= trouble.loses_requests();
        self.has_ended |= trouble == EndpointFailure::Ended;
        if self.consecutive_failures < trouble.pause_threshold() || self.is_paused(now_ms) {
            return false;
        }
        self.pause(now_ms);
        true
    }

    /// Takes that it has not answered a question of `asked_ms`, which is its own silence and not that of
    /// the link; returns whether it is on pause from now on and was not before.
    pub(super) fn record_unanswered(&mut self, asked_ms: u64, now_ms: u64) -> bool {
        self.unanswered_since_ms = Some(asked_ms);
        self.record_failure(EndpointFailure::Unreachable, now_ms)
    }

    /// Leaves the endpoint out from now on, twice as long as the last time.
    pub fn pause(&mut self, now_ms: u64) {
        let pause_ms = if self.has_ended {
            MAX_PAUSE_MS
        } else {
            INITIAL_PAUSE_MS << self.consecutive_pauses.min(3)
        };
        self.consecutive_pauses += 1;
        self.paused_until_ms = Some(now_ms + pause_ms.min(MAX_PAUSE_MS));
    }
}
