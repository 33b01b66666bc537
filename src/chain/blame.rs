//! Determines which stage of a silent chain is at fault from the stages' probe results.

use super::message::ProbeAnswer;

/// Cause of a silent chain, as indicated by one probe round.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Blame {
    /// These stages did not answer.
    Unreachable(Vec<usize>),
    /// These stages answer but no longer know the stream.
    StreamLost(Vec<usize>),
    /// The first stage never received the stream: the connection to it is silent.
    ConnectionSilent,
    /// Every stage has finished the position that the entry waits for: either the connection to the
    /// first stage is silent, or the link on which the last stage returns the token to it.
    Undelivered,
    /// No stage has made progress; this one, or the link to it, blocks the chain.
    Stalled(usize),
    /// No stage has made progress, and this one has not seen the epoch although the stage before it
    /// has finished a position: the link between the two delivers nothing.
    LinkSilent(usize),
    /// The stages make progress; this one, or the link to it, is behind.
    Lagging(usize),
}

/// One probe round: every stage is probed at once.
#[derive(Clone, Debug)]
pub(crate) struct ProbeRound {
    /// Round number; increases over the lifetime of a chain.
    pub(crate) number: u32,
    /// Time at which stages that have not answered count as unreachable.
    pub(crate) until_ms: u64,
    answers: Vec<Option<ProbeAnswer>>,
}

impl ProbeRound {
    /// Starts a round for a chain of `stages` stages.
    pub(crate) fn new(number: u32, stages: usize, until_ms: u64) -> Self {
        Self {
            number,
            until_ms,
            answers: vec![None; stages],
        }
    }

    /// Records an answer; only the first one of a stage counts.
    pub(crate) fn add(&mut self, stage: usize, answer: ProbeAnswer) {
        if let Some(slot) = self.answers.get_mut(stage) {
            slot.get_or_insert(answer);
        }
    }

    /// Whether every stage has answered.
    pub(crate) fn is_complete(&self) -> bool {
        self.answers.iter().all(Option::is_some)
    }

    /// Returns the answers; a missing one counts as unreachable.
    pub(crate) fn into_answers(self) -> Vec<ProbeAnswer> {
        self.answers
            .into_iter()
            .map(|answer| answer.unwrap_or(ProbeAnswer::Unreachable))
            .collect()
    }
}

/// The entry's state of the probed epoch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EpochContext<'a> {
    /// Epoch number.
    pub(crate) epoch: u32,
    /// Tokens delivered before the epoch was opened: positions that no stage has to finish.
    pub(crate) start_position: u32,
    /// Tokens delivered so far.
    pub(crate) delivered: u32,
    /// Answers of the previous round, if no token has arrived since.
    pub(crate) previous: Option<&'a [ProbeAnswer]>,
}

/// Determines the cause of the silence from the answers of a probe round.
pub(crate) fn diagnose(answers: &[ProbeAnswer], context: EpochContext<'_>) -> Blame {
    let unreachable = indexes(answers, |answer| answer == ProbeAnswer::Unreachable);
    if !unreachable.is_empty() {
        return Blame::Unreachable(unreachable);
    }
    let lost = indexes(answers, |answer| answer == ProbeAnswer::UnknownStream);
    if context.delivered > context.start_position && !lost.is_empty() {
        return Blame::StreamLost(lost);
    }
    if answers.first() == Some(&ProbeAnswer::UnknownStream) {
        return Blame::ConnectionSilent;
    }
    let positions = positions(answers, context);
    let behind = first_behind(&positions);
    let progressed = context.previous.is_none_or(|previous| previous != answers);
    if progressed {
        return Blame::Lagging(behind);
    }
    if positions
        .iter()
        .all(|position| *position > context.delivered)
    {
        return Blame::Undelivered;
    }
    if behind > 0 && !has_seen_epoch(answers[behind], context) {
        return Blame::LinkSilent(behind);
    }
    Blame::Stalled(behind)
}

/// Whether a stage has seen the epoch, even if its work still waits for a slot there.
fn has_seen_epoch(answer: ProbeAnswer, context: EpochContext<'_>) -> bool {
    matches!(answer, ProbeAnswer::Progress(progress) if progress.epoch == context.epoch)
}

fn indexes<F>(answers: &[ProbeAnswer], holds: F) -> Vec<usize>
where
    F: Fn(ProbeAnswer) -> bool,
{
    let all = answers.iter().enumerate();
    all.filter(|(_, answer)| holds(**answer))
        .map(|(index, _)| index)
        .collect()
}

/// Finished positions per stage. For a stage that has not seen the epoch yet, the positions before
/// the epoch's start count as finished.
fn positions(answers: &[ProbeAnswer], context: EpochContext<'_>) -> Vec<u32> {
    let finished = |answer: &ProbeAnswer| match answer {
        ProbeAnswer::Progress(progress) if has_seen_epoch(*answer, context) => {
            progress.position.max(context.start_position)
        }
        _ => context.start_position,
    };
    answers.iter().map(finished).collect()
}

/// Returns the first stage that has finished fewer positions than the one before it. If there is
/// none, the first stage is behind: it waits for a token that the last stage has produced.
fn first_behind(positions: &[u32]) -> usize {
    let pairs = positions.windows(2);
    let found = pairs.into_iter().position(|pair| pair[1] < pair[0]);
    found.map_or(0, |index| index + 1)
}
