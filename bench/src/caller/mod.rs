//! Callers: programs that speak the callers' API, retry for ever and check every answer.

mod attempt;
mod book;
mod check;
mod locate;
mod request;
mod retry;
mod run;

pub use attempt::{AnswerBody, AttemptEnd, BrokenBy, Patience, Refused, attempt};
pub use book::{Book, BrokenAttempt, Counts, FinalWord, Report, Served, SharedBook};
pub use check::{AnswerFault, check_answer, check_echo, check_text};
pub use locate::Locator;
pub use request::{Ask, ModelTarget, Request, Shape};
pub use run::{Caller, CallerOptions};

#[cfg(test)]
mod tests;
