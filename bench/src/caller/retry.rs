//! When a caller comes back.

use std::time::Duration;

use fescueshore::outcome::{Outcome, RefusalCode};
use rand::RngExt;

use super::attempt::Refused;

/// First wait after an attempt that ended without a final word.
const BROKEN_WAIT_MS: u64 = 25;
/// Longest such wait.
const BROKEN_WAIT_LIMIT_MS: u64 = 1_000;
/// Wait of a caller that ignores `Retry-After`.
const IMPATIENT_WAIT_MS: u64 = 20;
/// A wait is drawn between the stated time and this much more, in parts of it.
const JITTER_PART: f64 = 0.5;

/// What a caller does after a final word other than an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NextStep {
    /// It comes back after this.
    Wait(Duration),
    /// It never comes back: it cannot help.
    GiveUp,
}

/// What to do after a refusal.
pub(super) fn after_refusal<R>(refused: &Refused, honours: bool, rng: &mut R) -> NextStep
where
    R: rand::Rng,
{
    let Some(retry_after_ms) = refused.retry_after_ms else {
        return NextStep::GiveUp;
    };
    if refused.code == RefusalCode::Stopping && refused.outcome == Outcome::NotRun {
        return NextStep::Wait(Duration::ZERO);
    }
    if honours {
        NextStep::Wait(with_jitter(retry_after_ms, rng))
    } else {
        NextStep::Wait(Duration::from_millis(IMPATIENT_WAIT_MS))
    }
}

/// How long to wait after `broken` attempts in a row without a final word.
pub(super) fn after_broken<R>(broken: u32, rng: &mut R) -> Duration
where
    R: rand::Rng,
{
    let doublings = broken.saturating_sub(1).min(10);
    let wait_ms = (BROKEN_WAIT_MS << doublings).min(BROKEN_WAIT_LIMIT_MS);
    with_jitter(wait_ms, rng)
}

fn with_jitter<R>(wait_ms: u64, rng: &mut R) -> Duration
where
    R: rand::Rng,
{
    let part: f64 = rng.random_range(0.0..JITTER_PART);
    Duration::from_millis(wait_ms).mul_f64(1.0 + part)
}
