//! What the callers of one run saw.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fescueshore::ids::AccountId;
use fescueshore::outcome::RefusalCode;
use indexmap::{IndexMap, IndexSet};

use super::attempt::BrokenBy;
use super::check::AnswerFault;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalWord {
    /// A whole answer of its own.
    Answered,
    /// The endpoint's own error, by HTTP status, passed on as its answer.
    EndpointError(u16),
    /// The system said that the result is not known and never will be.
    Unknown,
    /// Refused, and coming back cannot help.
    Refused(RefusalCode),
    /// An answer that claimed to be complete and was not, or was another's.
    Wrong(AnswerFault),
    /// The run ended first.
    Unfinished,
}

/// A request from first attempt to final word.
#[derive(Clone, Debug)]
pub struct Report {
    /// Client account.
    pub account: AccountId,
    /// How it ended.
    pub word: FinalWord,
    /// Attempts made.
    pub attempts: u32,
    /// Attempts refused with `not-run`.
    pub refusals: u32,
    /// Attempts that ended without a final word.
    pub broken: u32,
    /// Attempts answered in a way that the API does not allow.
    pub malformed: Vec<&'static str>,
    /// When the first attempt began.
    pub began: Instant,
    /// How long the request took in all.
    pub took: Duration,
    /// Longest time between two tokens, over all attempts.
    pub longest_pause: Duration,
    /// When each token of the last attempt came.
    pub tokens_at: Vec<Instant>,
}

/// Counts over all requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests.
    pub asked: u64,
    /// Requests with a whole answer of their own.
    pub answered: u64,
    /// Requests answered with the endpoint's own error.
    pub endpoint_errors: u64,
    /// Requests whose result is not known and never will be.
    pub unknown: u64,
    /// Requests refused for good, by code.
    pub refused: IndexMap<RefusalCode, u64>,
    /// Answers of others.
    pub crossed: u64,
    /// Answers with a token twice.
    pub doubled: u64,
    /// Answers that lack tokens although they claimed to be complete.
    pub incomplete: u64,
    /// Requests without a final word when the run ended.
    pub unfinished: u64,
    /// Attempts.
    pub attempts: u64,
    /// Attempts without a final word.
    pub broken: u64,
    /// Attempts answered in a way that the API does not allow.
    pub malformed: u64,
}

/// What one account was served so far, by attempts that may still come to a whole answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Served {
    /// Pieces of text received.
    pub tokens: u64,
    /// Tokens of the prompts whose first piece of text was received.
    pub prompt_tokens: u64,
}

/// What the callers of one run saw.
#[derive(Debug, Default)]
pub struct Book {
    /// Requests begun.
    asked: u64,
    reports: Vec<Report>,
    /// Ids of requests that were answered `not-run` at every attempt and then asked anew under
    /// another id: nothing may have run for them.
    abandoned: IndexSet<String>,
    /// Non-idempotent requests between first attempt and final word.
    writes_in_flight: u64,
    /// Pieces of text received.
    tokens_seen: u64,
    broken: Vec<BrokenAttempt>,
    /// By account; without attempts that ended other than whole.
    served: IndexMap<AccountId, Served>,
}

/// An attempt without a final word.
#[derive(Clone, Copy, Debug)]
pub struct BrokenAttempt {
    /// The entry asked.
    pub entry: SocketAddr,
    /// When the attempt began.
    pub began: Instant,
    /// When it ended.
    pub ended: Instant,
    /// Why.
    pub by: BrokenBy,
}

/// A book shared by the callers of one thread.
pub type SharedBook = Rc<RefCell<Book>>;

impl Book {
    /// Notes a new request.
    pub(super) fn begin(&mut self, write: bool) {
        self.asked += 1;
        self.writes_in_flight += u64::from(write);
    }

    /// Notes how a request ended.
    pub(super) fn end(&mut self, report: Report, write: bool) {
        self.reports.push(report);
        self.writes_in_flight -= u64::from(write);
    }

    /// Notes an id for which nothing may run any more.
    pub(super) fn abandon(&mut self, id: &str) {
        self.abandoned.insert(id.to_owned());
    }

    /// Notes a piece of text; the first one of an attempt stands for the prompt too.
    pub(super) fn note_token(&mut self, account: &AccountId, prompt_tokens: u64) {
        self.tokens_seen += 1;
        let served = self.served.entry(account.clone()).or_default();
        served.tokens += 1;
        served.prompt_tokens += prompt_tokens;
    }

    /// Takes back what an attempt was served that did not come to a whole answer.
    pub(super) fn forfeit(&mut self, account: &AccountId, lost: Served) {
        let served = self.served.entry(account.clone()).or_default();
        served.tokens -= lost.tokens;
        served.prompt_tokens -= lost.prompt_tokens;
    }

    /// What each account was served so far.
    pub fn served(&self) -> &IndexMap<AccountId, Served> {
        &self.served
    }

    /// Notes an attempt without a final word.
    pub(super) fn note_broken(&mut self, attempt: BrokenAttempt) {
        self.broken.push(attempt);
    }

    /// Attempts without a final word.
    pub fn broken(&self) -> &[BrokenAttempt] {
        &self.broken
    }

    /// Pieces of text received so far, by all callers.
    pub fn tokens_seen(&self) -> u64 {
        self.tokens_seen
    }

    /// Non-idempotent requests between first attempt and final word.
    pub fn writes_in_flight(&self) -> u64 {
        self.writes_in_flight
    }

    /// Requests begun.
    pub fn asked(&self) -> u64 {
        self.asked
    }

    /// Requests ended.
    pub fn ended(&self) -> u64 {
        self.reports.len() as u64
    }

    /// The reports so far.
    pub fn reports(&self) -> &[Report] {
        &self.reports
    }

    /// Request ids and keys for which nothing may have run.
    pub fn abandoned(&self) -> &IndexSet<String> {
        &self.abandoned
    }

    /// Counts over all requests.
    pub fn counts(&self) -> Counts {
        let mut counts = Counts {
            asked: self.asked,
            unfinished: self.asked - self.ended(),
            ..Counts::default()
        };
        for report in &self.reports {
            counts.add(report);
        }
        counts
    }
}

impl Counts {
    fn add(&mut self, report: &Report) {
        self.attempts += u64::from(report.attempts);
        self.broken += u64::from(report.broken);
        self.malformed += report.malformed.len() as u64;
        match report.word {
            FinalWord::Answered => self.answered += 1,
            FinalWord::EndpointError(_) => self.endpoint_errors += 1,
            FinalWord::Unknown => self.unknown += 1,
            FinalWord::Refused(code) => *self.refused.entry(code).or_default() += 1,
            FinalWord::Wrong(AnswerFault::Crossed) => self.crossed += 1,
            FinalWord::Wrong(AnswerFault::Doubled) => self.doubled += 1,
            FinalWord::Wrong(AnswerFault::Incomplete) => self.incomplete += 1,
            FinalWord::Unfinished => self.unfinished += 1,
        }
    }
}
