//! Decides when a stream without events is checked and when its run is given up.

/// Minimum silence after which a run is checked. Events arrive every 20 to 60 ms at full batches;
/// callers regard a pause of up to 200 ms as on time, so the repair must start well before that.
const MIN_STALL_MS: u64 = 90;
/// Silence after which a run is checked, in mean gaps between its events so far.
const STALL_GAPS: f64 = 3.0;
/// Minimum silence after which the engines of a run are probed: a few gaps of the fastest engines.
const MIN_PROBE_SILENCE_MS: u64 = 50;
/// Silence after which the engines are probed, in mean gaps and in mean deviations beyond the mean
/// gap. Probes are not free, and engines that process prompts between events produce gaps of up to
/// twice the mean.
const PROBE_GAPS: f64 = 2.0;
const PROBE_DEVIATIONS: f64 = 6.0;
/// Silence before the first event after which a run is checked: processing a typical prompt takes
/// 50 to 150 ms through all stages.
const FIRST_EVENT_STALL_MS: u64 = 350;
/// Pause between the first two checks of one silence; each further pause is twice as long.
const RECHECK_INTERVAL_MS: u64 = 250;
/// Silence between events after which a run is given up although every stage answers. Callers leave
/// after two seconds without an event. A run without any event is not given up: it is queued behind
/// others and would be queued again elsewhere.
const STALL_TIMEOUT_MS: u64 = 1_300;
/// Weight of the newest gap in the running mean.
const GAP_WEIGHT: f64 = 0.1;
/// Weight of the newest gap in the running mean of deviations.
const DEVIATION_WEIGHT: f64 = 0.25;

/// What to do about a silence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StallAction {
    /// Keep waiting.
    Wait,
    /// Probe the engines.
    Probe,
    /// End this run and start another.
    GiveUp,
}

/// Statistics of the gaps between the events of a stream, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct GapStats {
    mean: f64,
    /// Mean absolute deviation from the mean gap.
    deviation: f64,
}

impl GapStats {
    /// Starts from a single gap, which does not yet show the variation.
    fn from_first(gap: f64) -> Self {
        Self {
            mean: gap,
            deviation: gap / 2.0,
        }
    }

    fn updated(self, gap: f64) -> Self {
        let distance = (gap - self.mean).abs();
        Self {
            mean: self.mean + GAP_WEIGHT * (gap - self.mean),
            deviation: self.deviation + DEVIATION_WEIGHT * (distance - self.deviation),
        }
    }

    /// Longest gap that is within the normal variation.
    fn normal_ms(self) -> u64 {
        let varied = self.mean + PROBE_DEVIATIONS * self.deviation;
        varied.max(PROBE_GAPS * self.mean) as u64
    }
}

/// Tracks the progress of one stream.
#[derive(Clone, Copy, Debug)]
pub struct StallDetector {
    gaps: Option<GapStats>,
    /// Time of the last event, or of the start of the run.
    last_progress_ms: u64,
    has_event: bool,
    /// Time of the last event of any run.
    last_event_ms: Option<u64>,
    /// When the engines are to be probed before the run counts as silent; `None` once that is done.
    probe_at_ms: Option<u64>,
    check_at_ms: u64,
    /// Number of checks of the current silence.
    checks: u32,
    /// End of the period in which a silence is within the normal gaps.
    normal_until_ms: u64,
}

impl StallDetector {
    /// Starts tracking a stream whose first run starts.
    pub fn new(now_ms: u64) -> Self {
        Self {
            gaps: None,
            last_progress_ms: now_ms,
            has_event: false,
            last_event_ms: None,
            probe_at_ms: None,
            check_at_ms: now_ms + FIRST_EVENT_STALL_MS,
            checks: 0,
            normal_until_ms: now_ms,
        }
    }

    /// Records the start of a run.
    pub fn run_started(&mut self, now_ms: u64) {
        self.last_progress_ms = now_ms;
        self.has_event = false;
        self.probe_at_ms = None;
        self.check_at_ms = now_ms + FIRST_EVENT_STALL_MS;
        self.normal_until_ms = now_ms;
    }

    /// Records an event.
    pub fn record_event(&mut self, now_ms: u64) {
        if self.has_event {
            let gap = now_ms.saturating_sub(self.last_progress_ms) as f64;
            let gaps = self
                .gaps
                .map_or(GapStats::from_first(gap), |it| it.updated(gap));
            self.gaps = Some(gaps);
        }
        self.has_event = true;
        self.last_event_ms = Some(now_ms);
        self.checks = 0;
        self.last_progress_ms = now_ms;
        let gaps_ms = (self.gaps.map_or(0.0, |it| it.mean) * STALL_GAPS) as u64;
        self.check_at_ms = now_ms + gaps_ms.max(MIN_STALL_MS);
        self.normal_until_ms = self.check_at_ms;
        self.probe_at_ms = self.gaps.map(|gaps| {
            let normal_ms = gaps.normal_ms().max(MIN_PROBE_SILENCE_MS);
            now_ms + normal_ms
        });
    }

    /// Records a change of the chain: the new stages process all tokens again first.
    pub fn chain_changed(&mut self, now_ms: u64) {
        self.probe_at_ms = None;
        self.check_at_ms = now_ms + FIRST_EVENT_STALL_MS;
        self.last_progress_ms = now_ms;
        self.normal_until_ms = now_ms;
    }

    /// Whether the silence exceeds the normal gaps, so that the run itself does not contradict a
    /// reported loss of an engine. Also true before the first event, which may come at any time.
    pub fn is_silent(&self, now_ms: u64) -> bool {
        now_ms >= self.normal_until_ms
    }

    /// When to probe the engines of the run although it does not count as silent yet, so that a
    /// dead engine is known by the time it does. `None` if the next check is due no later.
    pub fn probe_due_ms(&self) -> Option<u64> {
        self.probe_at_ms
            .filter(|probe_at_ms| *probe_at_ms < self.next_check_ms())
    }

    /// Whether the engines are to be probed now; returns `true` once per silence.
    pub fn take_due_probe(&mut self, now_ms: u64) -> bool {
        let is_due = self
            .probe_due_ms()
            .is_some_and(|probe_at_ms| probe_at_ms <= now_ms);
        if is_due {
            self.probe_at_ms = None;
        }
        is_due
    }

    /// When the next check is due.
    pub fn next_check_ms(&self) -> u64 {
        if self.has_event {
            self.check_at_ms
                .min(self.last_progress_ms + STALL_TIMEOUT_MS)
        } else {
            self.check_at_ms
        }
    }

    /// Time without an event of the current run, or since the last change of its chain.
    pub fn silence_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.last_progress_ms)
    }

    /// Time since the caller received an event, over all runs; `None` before the first event.
    pub fn pause_ms(&self, now_ms: u64) -> Option<u64> {
        self.last_event_ms.map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// The action that is due now.
    pub fn next_action(&mut self, now_ms: u64) -> StallAction {
        if self.has_event && self.silence_ms(now_ms) >= STALL_TIMEOUT_MS {
            return StallAction::GiveUp;
        }
        if now_ms < self.check_at_ms {
            return StallAction::Wait;
        }
        self.check_at_ms = now_ms + (RECHECK_INTERVAL_MS << self.checks.min(3));
        self.checks += 1;
        StallAction::Probe
    }
}
