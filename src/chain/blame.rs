//! Which stage of a silent chain is at fault, from what its stages say when probed.

use super::message::ProbeAnswer;

/// What the answers of a round of probes say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Blame {
    /// These stages gave no answer.
    Dead(Vec<usize>),
    /// These stages answer but have lost the stream.
    Lost(Vec<usize>),
    /// The first stage never heard of the stream: the connection to it is silent.
    Connection,
    /// Every stage has finished what the entry waits for: the connection to the first one is silent,
    /// or the link by which the last one hands the token back to it.
    Undelivered,
    /// No stage has moved; this one, or the link to it, holds the chain up.
    Stuck(usize),
    /// No stage has moved, and this one has not heard of the epoch though the one before it has
    /// finished a position: nothing comes over the link between the two.
    Unreached(usize),
    /// Stages move; this one, or the link to it, is behind.
    Behind(usize),
}

/// One round of probes: all stages at once.
#[derive(Clone, Debug)]
pub(crate) struct Round {
    /// Number; grows over the life of a chain.
    pub(crate) number: u32,
    /// When stages that have not answered count as unreachable.
    pub(crate) until_ms: u64,
    answers: Vec<Option<ProbeAnswer>>,
}

impl Round {
    /// Starts a round over `stages` stages.
    pub(crate) fn new(number: u32, stages: usize, until_ms: u64) -> Self {
        Self {
            number,
            until_ms,
            answers: vec![None; stages],
        }
    }

    /// Notes an answer; the first one of a stage counts.
    pub(crate) fn add(&mut self, stage: usize, answer: ProbeAnswer) {
        if let Some(slot) = self.answers.get_mut(stage) {
            slot.get_or_insert(answer);
        }
    }

    /// Whether every stage has answered.
    pub(crate) fn is_complete(&self) -> bool {
        self.answers.iter().all(Option::is_some)
    }

    /// The answers; a missing one counts as unreachable.
    pub(crate) fn into_answers(self) -> Vec<ProbeAnswer> {
        self.answers
            .into_iter()
            .map(|answer| answer.unwrap_or(ProbeAnswer::Unreachable))
            .collect()
    }
}

/// What the entry knows of the epoch that is judged.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Known<'a> {
    /// The epoch.
    pub(crate) epoch: u32,
    /// Tokens held when it was opened: positions that no stage has to finish.
    pub(crate) start: u32,
    /// Tokens held now.
    pub(crate) held: u32,
    /// Answers of the round before, if no token came since.
    pub(crate) before: Option<&'a [ProbeAnswer]>,
}

/// Judges a round of probes.
pub(crate) fn judge(answers: &[ProbeAnswer], known: Known<'_>) -> Blame {
    let dead = indexes(answers, |answer| answer == ProbeAnswer::Unreachable);
    if !dead.is_empty() {
        return Blame::Dead(dead);
    }
    let lost = indexes(answers, |answer| answer == ProbeAnswer::UnknownStream);
    if known.held > known.start && !lost.is_empty() {
        return Blame::Lost(lost);
    }
    if answers.first() == Some(&ProbeAnswer::UnknownStream) {
        return Blame::Connection;
    }
    let positions = positions(answers, known);
    let behind = first_behind(&positions);
    let moved = known.before.is_none_or(|before| before != answers);
    if moved {
        return Blame::Behind(behind);
    }
    if positions.iter().all(|position| *position > known.held) {
        return Blame::Undelivered;
    }
    if behind > 0 && !has_heard(answers[behind], known) {
        return Blame::Unreached(behind);
    }
    Blame::Stuck(behind)
}

/// Whether a stage has heard of the epoch, be it that it waits for a slot there.
fn has_heard(answer: ProbeAnswer, known: Known<'_>) -> bool {
    matches!(answer, ProbeAnswer::Progress(it) if it.epoch == known.epoch)
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

/// Positions finished in the epoch; those before its start count for a stage that has not heard of
/// it yet.
fn positions(answers: &[ProbeAnswer], known: Known<'_>) -> Vec<u32> {
    let finished = |answer: &ProbeAnswer| match answer {
        ProbeAnswer::Progress(it) if has_heard(*answer, known) => it.position.max(known.start),
        _ => known.start,
    };
    answers.iter().map(finished).collect()
}

/// The first stage that has finished fewer positions than the one before it. If there is none, the
/// first stage waits for a token that the last one has made: it is behind.
fn first_behind(positions: &[u32]) -> usize {
    let pairs = positions.windows(2);
    let found = pairs.into_iter().position(|pair| pair[1] < pair[0]);
    found.map_or(0, |index| index + 1)
}
