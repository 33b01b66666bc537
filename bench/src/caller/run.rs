//! A caller that asks until it has a final word.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fescueshore::outcome::{Outcome, RefusalCode};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::attempt::{AnswerBody, AttemptEnd, BrokenBy, Patience, Refused, attempt};
use super::book::{BrokenAttempt, FinalWord, Report, Served, SharedBook};
use super::check::{AnswerFault, check_answer};
use super::locate::Locator;
use super::request::Request;
use super::retry::{NextStep, after_broken, after_refusal};

/// How a caller behaves.
#[derive(Clone, Copy, Debug)]
pub struct CallerOptions {
    /// How long it waits for bytes.
    pub patience: Patience,
    /// Whether it waits as long as `Retry-After` says.
    pub honours_retry_after: bool,
    /// How often, out of 100, it asks anew under another id after a `not-run`.
    pub renew_percent: u32,
    /// When it stops asking.
    pub until: Instant,
    /// Seed of its jitter.
    pub seed: u64,
}

impl CallerOptions {
    /// A well-behaved caller that asks for at most `limit`.
    pub fn new(seed: u64, limit: Duration) -> Self {
        Self {
            patience: Patience::default(),
            honours_retry_after: true,
            renew_percent: 0,
            until: Instant::now() + limit,
            seed,
        }
    }
}

/// A caller with connections of its own.
pub struct Caller {
    http: awc::Client,
    locator: Locator,
    options: CallerOptions,
    rng: StdRng,
    book: SharedBook,
}

/// What is known of a request so far.
struct Progress {
    began: Instant,
    attempts: u32,
    refusals: u32,
    broken: u32,
    /// Attempts without a final word since the last one with.
    broken_in_row: u32,
    malformed: Vec<&'static str>,
    /// Whether every attempt under the present id was answered `not-run`.
    all_not_run: bool,
    last_token_at: Option<Instant>,
    longest_pause: Duration,
    tokens_at: Vec<Instant>,
}

impl Caller {
    /// A caller that knows some entries and writes into a book.
    pub fn new(seeds: Vec<SocketAddr>, options: CallerOptions, book: SharedBook) -> Self {
        let connector = awc::Connector::new().limit(0);
        let http = awc::Client::builder()
            .connector(connector)
            .disable_timeout()
            .finish();
        Self {
            http,
            locator: Locator::new(seeds),
            options,
            rng: StdRng::seed_from_u64(options.seed),
            book,
        }
    }

    /// Uses this entry first, as if `locate` had named it.
    pub fn prefer(&mut self, entry: SocketAddr) {
        self.locator.prefer(entry);
    }

    /// Asks until there is a final word, and writes down how it went.
    pub async fn ask(&mut self, mut request: Request) -> FinalWord {
        let write = request.idempotency_key().is_some();
        self.book.borrow_mut().begin(write);
        let mut progress = Progress::begin();
        let word = loop {
            if Instant::now() >= self.options.until {
                break FinalWord::Unfinished;
            }
            match self.try_once(&mut request, &mut progress).await {
                Some(word) => break word,
                None => continue,
            }
        };
        let report = progress.report(&request, word);
        self.book.borrow_mut().end(report, write);
        word
    }

    /// Makes one attempt, then waits; returns the final word if there is one.
    async fn try_once(
        &mut self,
        request: &mut Request,
        progress: &mut Progress,
    ) -> Option<FinalWord> {
        let Some(entry) = self.locator.find(&self.http, request.service()).await else {
            self.wait_broken(progress).await;
            return None;
        };
        progress.attempts += 1;
        progress.tokens_at.clear();
        let prompt_tokens = request.prompt_tokens();
        let on_token = || {
            let prompt = if progress.tokens_at.is_empty() {
                prompt_tokens
            } else {
                0
            };
            progress.note_token(Instant::now());
            let mut book = self.book.borrow_mut();
            book.note_token(&request.account, prompt);
        };
        let patience = self.options.patience;
        let began = Instant::now();
        // An entry that says that it is at work keeps a caller waiting, but not past the run.
        let left = self.options.until.saturating_duration_since(began);
        let trying = attempt(&self.http, entry, request, patience, on_token);
        let tried = actix_rt::time::timeout(left, trying).await;
        let end = tried.unwrap_or(AttemptEnd::Broken(BrokenBy::Silent));
        if !matches!(end, AttemptEnd::Answered(_)) {
            self.forfeit(request, progress);
        }
        match end {
            AttemptEnd::Answered(AnswerBody::Reply { status, .. }) if status >= 400 => {
                Some(FinalWord::EndpointError(status))
            }
            AttemptEnd::Answered(body) => Some(match check_answer(request, &body) {
                Ok(()) => FinalWord::Answered,
                Err(fault) => {
                    report_wrong(request, &body, fault, entry);
                    FinalWord::Wrong(fault)
                }
            }),
            AttemptEnd::Refused(refused) => {
                progress.broken_in_row = 0;
                self.take_refusal(&refused, entry, request, progress).await
            }
            AttemptEnd::Broken(by) => {
                self.note_broken(entry, began, by);
                self.locator.avoid(entry);
                self.wait_broken(progress).await;
                None
            }
            AttemptEnd::Malformed(what) => {
                progress.malformed.push(what);
                self.locator.avoid(entry);
                self.wait_broken(progress).await;
                None
            }
        }
    }

    async fn take_refusal(
        &mut self,
        refused: &Refused,
        entry: SocketAddr,
        request: &mut Request,
        progress: &mut Progress,
    ) -> Option<FinalWord> {
        if refused.code == RefusalCode::Stopping {
            self.locator.avoid(entry);
            self.locator.forget();
        }
        if refused.outcome == Outcome::NotRun {
            progress.refusals += 1;
        } else {
            progress.all_not_run = false;
        }
        let honours = self.options.honours_retry_after;
        match after_refusal(refused, honours, &mut self.rng) {
            NextStep::GiveUp if refused.outcome == Outcome::Unknown => {
                return Some(FinalWord::Unknown);
            }
            NextStep::GiveUp => return Some(FinalWord::Refused(refused.code)),
            NextStep::Wait(wait) => self.sleep(wait).await,
        }
        if progress.all_not_run && self.rng.random_range(0..100) < self.options.renew_percent {
            self.abandon(request);
            *request = request.renewed();
        }
        None
    }

    /// The attempt's tokens are of no use: the next attempt brings all of them again.
    fn forfeit(&self, request: &Request, progress: &Progress) {
        let tokens = progress.tokens_at.len() as u64;
        let prompt_tokens = if tokens > 0 {
            request.prompt_tokens()
        } else {
            0
        };
        let lost = Served {
            tokens,
            prompt_tokens,
        };
        self.book.borrow_mut().forfeit(&request.account, lost);
    }

    /// Nothing may run under the request's ids any more: every attempt was answered `not-run`.
    fn abandon(&mut self, request: &Request) {
        let mut book = self.book.borrow_mut();
        book.abandon(&request.id);
        if let Some(key) = request.idempotency_key() {
            book.abandon(key);
        }
    }

    fn note_broken(&self, entry: SocketAddr, began: Instant, by: BrokenBy) {
        self.book.borrow_mut().note_broken(BrokenAttempt {
            entry,
            began,
            ended: Instant::now(),
            by,
        });
    }

    async fn wait_broken(&mut self, progress: &mut Progress) {
        progress.broken += 1;
        progress.broken_in_row += 1;
        progress.all_not_run = false;
        let wait = after_broken(progress.broken_in_row, &mut self.rng);
        self.sleep(wait).await;
    }

    /// Sleeps, but not past the end of the run.
    async fn sleep(&self, wait: Duration) {
        let left = self.options.until.saturating_duration_since(Instant::now());
        actix_rt::time::sleep(wait.min(left)).await;
    }
}

impl Progress {
    fn begin() -> Self {
        Self {
            began: Instant::now(),
            attempts: 0,
            refusals: 0,
            broken: 0,
            broken_in_row: 0,
            malformed: Vec::new(),
            all_not_run: true,
            last_token_at: None,
            longest_pause: Duration::ZERO,
            tokens_at: Vec::new(),
        }
    }

    fn note_token(&mut self, now: Instant) {
        if let Some(before) = self.last_token_at.replace(now) {
            self.longest_pause = self.longest_pause.max(now - before);
        }
        self.tokens_at.push(now);
    }

    fn report(self, request: &Request, word: FinalWord) -> Report {
        Report {
            account: request.account.clone(),
            word,
            attempts: self.attempts,
            refusals: self.refusals,
            broken: self.broken,
            malformed: self.malformed,
            began: self.began,
            took: self.began.elapsed(),
            longest_pause: self.longest_pause,
            tokens_at: self.tokens_at,
        }
    }
}

/// Says which answer was wrong: the evidence is gone once the run ends.
fn report_wrong(request: &Request, body: &AnswerBody, fault: AnswerFault, entry: SocketAddr) {
    let call = format!("{} {}", request.method(), request.path());
    eprintln!(
        "fescue-load: wrong answer ({fault}) to {call} {} of {} from {entry}: {body:?}",
        request.id, request.account
    );
}
