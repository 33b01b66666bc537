//! When a stream that brings nothing is looked into, and when its run is given up.

/// Silence after which a run is looked into, at least. Events come every 20 to 60 ms at full
/// batches; callers take a pause of up to 200 ms for one on time, so the repair must begin well
/// before.
const LEAST_SILENCE_MS: u64 = 90;
/// Silence after which a run is looked into, in mean gaps between its events so far.
const SILENCE_GAPS: f64 = 3.0;
/// Silence after which the engines of a run are asked, at least: a few gaps of the fastest engines.
const LEAST_ASK_MS: u64 = 50;
/// The same in mean gaps, and in mean deviations beyond the mean gap: each question is paid for, and
/// engines that read prompts between events make gaps of up to twice the usual.
const ASK_GAPS: f64 = 2.0;
const ASK_DEVIATIONS: f64 = 6.0;
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
/// Weight of the newest gap in the running mean of deviations.
const DEVIATION_WEIGHT: f64 = 0.25;

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

/// Gaps between the events of a stream, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Gaps {
    mean: f64,
    /// Mean of how far a gap is from the mean.
    deviation: f64,
}

impl Gaps {
    /// The first gap, which says nothing of how even they are.
    fn first(gap: f64) -> Self {
        Self {
            mean: gap,
            deviation: gap / 2.0,
        }
    }

    fn with(self, gap: f64) -> Self {
        let off = (gap - self.mean).abs();
        Self {
            mean: self.mean + GAP_WEIGHT * (gap - self.mean),
            deviation: self.deviation + DEVIATION_WEIGHT * (off - self.deviation),
        }
    }

    /// Longest gap that is nothing to wonder at.
    fn usual_ms(self) -> u64 {
        let uneven = self.mean + ASK_DEVIATIONS * self.deviation;
        uneven.max(ASK_GAPS * self.mean) as u64
    }
}

/// Follows the progress of one stream.
#[derive(Clone, Copy, Debug)]
pub struct StallWatch {
    gaps: Option<Gaps>,
    /// Last event, or the start of the run.
    progress_ms: u64,
    has_event: bool,
    /// Last event of any run.
    last_event_ms: Option<u64>,
    /// When the engines are asked before the run counts as silent, until that is done.
    ask_ms: Option<u64>,
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
            gaps: None,
            progress_ms: now_ms,
            has_event: false,
            last_event_ms: None,
            ask_ms: None,
            look_ms: now_ms + FIRST_SILENCE_MS,
            looks: 0,
            usual_until_ms: now_ms,
        }
    }

    /// Notes that a run begins.
    pub fn run_begins(&mut self, now_ms: u64) {
        self.progress_ms = now_ms;
        self.has_event = false;
        self.ask_ms = None;
        self.look_ms = now_ms + FIRST_SILENCE_MS;
        self.usual_until_ms = now_ms;
    }

    /// Notes an event.
    pub fn event(&mut self, now_ms: u64) {
        if self.has_event {
            let gap = now_ms.saturating_sub(self.progress_ms) as f64;
            let gaps = self.gaps.map_or(Gaps::first(gap), |it| it.with(gap));
            self.gaps = Some(gaps);
        }
        self.has_event = true;
        self.last_event_ms = Some(now_ms);
        self.looks = 0;
        self.progress_ms = now_ms;
        let gaps_ms = (self.gaps.map_or(0.0, |it| it.mean) * SILENCE_GAPS) as u64;
        self.look_ms = now_ms + gaps_ms.max(LEAST_SILENCE_MS);
        self.usual_until_ms = self.look_ms;
        self.ask_ms = self.gaps.map(|gaps| {
            let usual_ms = gaps.usual_ms().max(LEAST_ASK_MS);
            now_ms + usual_ms
        });
    }

    /// Notes that the chain was changed: the new stages read all tokens again first.
    pub fn repaired(&mut self, now_ms: u64) {
        self.ask_ms = None;
        self.look_ms = now_ms + FIRST_SILENCE_MS;
        self.progress_ms = now_ms;
        self.usual_until_ms = now_ms;
    }

    /// Whether nothing has come for longer than usual, so that the run itself does not speak against a
    /// loss of which others tell. True before the first event, which nothing promises.
    pub fn is_silent(&self, now_ms: u64) -> bool {
        now_ms >= self.usual_until_ms
    }

    /// When the engines of the run are to be asked though it does not count as silent yet: if one of
    /// them is dead, that is known by the time it does. Before the step that is due anyway, or never.
    pub fn ask_due_ms(&self) -> Option<u64> {
        self.ask_ms.filter(|ask_ms| *ask_ms < self.due_ms())
    }

    /// Whether the engines are to be asked now; true once for each silence.
    pub fn takes_ask(&mut self, now_ms: u64) -> bool {
        let is_due = self.ask_due_ms().is_some_and(|ask_ms| ask_ms <= now_ms);
        if is_due {
            self.ask_ms = None;
        }
        is_due
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
