//! When a stream that brings nothing is looked into, and when its run is given up.

/// Silence after which a run is looked into, at least. Events come every 20 to 60 ms at full
/// batches; callers take a pause of up to 200 ms for one on time, so the repair must begin well
/// before.
const LEAST_SILENCE_MS: u64 = 90;
/// Silence after which a run is looked into, in mean gaps between its events so far.
const SILENCE_GAPS: f64 = 3.0;
/// Silence before the first event after which a run is looked into: reading a usual prompt takes
/// 50 to 150 ms through all stages.
const FIRST_SILENCE_MS: u64 = 350;
/// Pause between the first two looks at one silence; each further one is twice as long.
const LOOK_AGAIN_MS: u64 = 250;
/// Silence between events after which a run is given up though every stage answers. Callers leave
/// after two seconds without an event. A run that has brought nothing yet is not given up: it
/// waits behind others, and would wait again elsewhere.
const GIVE_UP_MS: u64 = 1_300;
/// Weight of the newest gap in the running mean.
const GAP_WEIGHT: f64 = 0.1;

/// What to do about a silence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StallStep {
    /// Go on waiting.
    Wait,
    /// Ask the engines.
    Look,
    /// End this run and begin another.
    GiveUp,
}

/// Follows the progress of one stream.
#[derive(Clone, Copy, Debug)]
pub struct StallWatch {
    mean_gap_ms: Option<f64>,
    /// Last event, or the start of the run.
    progress_ms: u64,
    has_event: bool,
    /// Last event of any run.
    last_event_ms: Option<u64>,
    look_ms: u64,
    /// Looks at the present silence.
    looks: u32,
    /// Until when a silence is within the usual gaps.
    usual_until_ms: u64,
}

impl StallWatch {
    /// A stream whose first run begins.
    pub fn start(now_ms: u64) -> Self {
        Self {
            mean_gap_ms: None,
            progress_ms: now_ms,
            has_event: false,
            last_event_ms: None,
            look_ms: now_ms + FIRST_SILENCE_MS,
            looks: 0,
            usual_until_ms: now_ms,
        }
    }

    /// Notes that a run begins.
    pub fn run_begins(&mut self, now_ms: u64) {
        self.progress_ms = now_ms;
        self.has_event = false;
        self.look_ms = now_ms + FIRST_SILENCE_MS;
        self.usual_until_ms = now_ms;
    }

    /// Notes an event.
    pub fn event(&mut self, now_ms: u64) {
        if self.has_event {
            let gap_ms = now_ms.saturating_sub(self.progress_ms) as f64;
            let mean = self.mean_gap_ms.unwrap_or(gap_ms);
            self.mean_gap_ms = Some(mean + GAP_WEIGHT * (gap_ms - mean));
        }
        self.has_event = true;
        self.last_event_ms = Some(now_ms);
        self.looks = 0;
        self.progress_ms = now_ms;
        let gaps_ms = (self.mean_gap_ms.unwrap_or(0.0) * SILENCE_GAPS) as u64;
        self.look_ms = now_ms + gaps_ms.max(LEAST_SILENCE_MS);
        self.usual_until_ms = self.look_ms;
    }

    /// Notes that the chain was changed: the new stages read all tokens again first.
    pub fn repaired(&mut self, now_ms: u64) {
        self.look_ms = now_ms + FIRST_SILENCE_MS;
        self.progress_ms = now_ms;
        self.usual_until_ms = now_ms;
    }

    /// Whether nothing has come for longer than usual, so that the run itself does not speak against a
    /// loss of which others tell. True before the first event, which nothing promises.
    pub fn is_silent(&self, now_ms: u64) -> bool {
        now_ms >= self.usual_until_ms
    }

    /// When the next step is due.
    pub fn due_ms(&self) -> u64 {
        if self.has_event {
            self.look_ms.min(self.progress_ms + GIVE_UP_MS)
        } else {
            self.look_ms
        }
    }

    /// How long the present run, or the chain since its last change, has brought nothing.
    pub fn silence_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.progress_ms)
    }

    /// How long the caller has had no event, over all runs, if it has had one.
    pub fn pause_ms(&self, now_ms: u64) -> Option<u64> {
        self.last_event_ms.map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// The step that is due now.
    pub fn step(&mut self, now_ms: u64) -> StallStep {
        if self.has_event && self.silence_ms(now_ms) >= GIVE_UP_MS {
            return StallStep::GiveUp;
        }
        if now_ms < self.look_ms {
            return StallStep::Wait;
        }
        self.look_ms = now_ms + (LOOK_AGAIN_MS << self.looks.min(3));
        self.looks += 1;
        StallStep::Look
    }
}
