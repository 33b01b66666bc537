//! Streams of model engines: their runs, one after another, and events passed on as they come.
//! Which chain a run gets is in `plan`, what an answer under way waits for between two runs in `go_on`,
//! what is done about a silence in `repair`, what is written of its end in `ending`.

mod ending;
mod go_on;
mod plan;
mod repair;
mod withheld;

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::{ResponseHead, StatusCode};
use bytes::{Bytes, BytesMut};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until, timeout_at};

use self::ending::{EndOfRelay, Finish};
use super::adapter::Adapter;
use super::checks::check_in_background;
use super::headers;
use super::held_tokens::HeldTokens;
use super::node::Node;
use super::request::{RelayedRequest, instant_at};
use super::send_context::SendView;
use super::stream_response::Opening;
use super::upstream::{AnswerBody, Exchange, UpstreamFailure};
use crate::clock::boot_ms;
use crate::fleet::{Chain, ChainStage, EndpointFailure};
use crate::ids::EndpointId;
use crate::quarantine::RunStage;
use crate::relay::{
    AttemptEnd, Attempts, EventSplitter, FinalError, GivenUp, NextStep, RefusalCause, RetryPurpose,
    StallWatch,
};

/// Longest failure of an engine that is held to be passed on.
const FAILURE_LIMIT_BYTES: usize = 1 << 20;

/// Pieces with events from which on a run that is past its beginning shows that its engines go on under
/// the request. On a slow engine the time alone would not: the first event may come after a second.
const CLEARING_EVENTS: u32 = 10;

/// How a run of the request ended.
enum RunEnd {
    /// The stream is whole.
    Whole,
    /// Nobody takes the events; dropping the connection ends the engines' work.
    CallerLeft,
    /// The request is withheld from engines; dropping the connection keeps it from running here.
    Withheld,
    /// The run is over before its end.
    Failed(AttemptEnd, EndpointFailure, EndpointId),
}

/// One stream, over all its runs.
pub(super) struct StreamRelay<A> {
    node: Rc<Node<A>>,
    request: RelayedRequest,
    attempts: Attempts,
    splitter: EventSplitter,
    stall: StallWatch,
    opening: Option<oneshot::Sender<Result<Opening, FinalError>>>,
    pieces: mpsc::Sender<Result<Bytes, io::Error>>,
    /// The newest failure that an engine answered with, whole.
    failure: Option<Opening>,
    /// The line on the end has been written.
    is_logged: bool,
    /// The chain of the newest run, for the log.
    chain: Option<Chain>,
    /// What was known when the newest run was sent.
    sent: SendView,
    runs: u32,
    /// When the head of the newest run's answer came.
    head_ms: Option<u64>,
    /// Pieces with whole events that the newest run has brought.
    run_events: u32,
    /// An engine was seen to go on under the request.
    is_cleared: bool,
    repairs: u32,
    /// Longest time without an event.
    longest_gap_ms: u64,
    first_event_ms: Option<u64>,
}

impl<A> StreamRelay<A>
where
    A: Adapter,
{
    /// A stream that is about to begin.
    pub(super) fn new(
        node: &Rc<Node<A>>,
        request: RelayedRequest,
        opening: oneshot::Sender<Result<Opening, FinalError>>,
        pieces: mpsc::Sender<Result<Bytes, io::Error>>,
    ) -> Self {
        Self {
            node: Rc::clone(node),
            attempts: Attempts::new(request.route.repeat, request.route.max_endpoints),
            splitter: EventSplitter::behind(request.ask.resume_after),
            stall: StallWatch::start(boot_ms()),
            request,
            opening: Some(opening),
            pieces,
            failure: None,
            is_logged: false,
            chain: None,
            sent: SendView::default(),
            runs: 0,
            head_ms: None,
            run_events: 0,
            is_cleared: false,
            repairs: 0,
            longest_gap_ms: 0,
            first_event_ms: None,
        }
    }

    /// Relays the stream to its end.
    pub(super) async fn run(self) {
        let mut end = EndOfRelay(self);
        end.0.relay().await;
    }

    async fn relay(&mut self) {
        let until = instant_at(self.request.deadline_ms, boot_ms());
        let finish = match timeout_at(until, self.serve()).await {
            Ok(finish) => finish,
            Err(_) => Finish::Word(self.attempts.give_up(RefusalCause::TooLate)),
        };
        self.is_logged = true;
        self.log_end(&finish);
        self.note_run_time(&finish);
        if matches!(finish, Finish::Whole) {
            self.clear_request();
        }
        if let Finish::Word(GivenUp { word, limit }) = finish {
            self.node.count_given_up(limit);
            // A failure that an engine answered with says more than a word of our own.
            let answer = self.failure.take().ok_or(word);
            match self.opening.take() {
                // A caller that is gone takes no word; there is nobody else to tell.
                Some(opening) => drop(opening.send(answer)),
                None => {
                    let broken = io::Error::new(io::ErrorKind::ConnectionAborted, word.name());
                    drop(self.pieces.send(Err(broken)).await);
                }
            }
        }
    }

    async fn serve(&mut self) -> Finish {
        loop {
            let chain = match self.next_chain().await {
                Ok(chain) => chain,
                Err(cause) => {
                    self.log_no_chain(cause);
                    return Finish::Word(self.attempts.give_up(cause));
                }
            };
            if !self.request.has_time(boot_ms()) {
                return Finish::Word(self.attempts.give_up(RefusalCause::TooLate));
            }
            let first = chain.first().endpoint.clone();
            self.attempts.sending(&first);
            let stages = chain.stages().iter().map(|stage| &stage.endpoint);
            self.sent = SendView::new(&self.node, stages);
            self.chain = Some(chain.clone());
            self.runs += 1;
            self.head_ms = None;
            self.run_events = 0;
            let (end, cause_name, at_fault) = match self.run_once(chain).await {
                RunEnd::Whole => return Finish::Whole,
                RunEnd::CallerLeft => return Finish::CallerLeft,
                RunEnd::Withheld => {
                    return Finish::Word(self.attempts.give_up(RefusalCause::Withheld));
                }
                RunEnd::Failed(end, trouble, at_fault) => (end, trouble.name(), at_fault),
            };
            self.splitter.drop_partial();
            log::info!(
                request = self.request.ask.id.as_str(),
                digest = self.request.shown_digest().as_str(),
                first = first.as_str(),
                at_fault = at_fault.as_str(),
                end:? = end,
                cause = cause_name,
                known_at_send = self.sent.endpoints.as_str(),
                list_at_send = self.sent.list.as_str(),
                last_event = self.splitter.last_id(),
                head_ago_ms = self.head_ago_ms(boot_ms()),
                run_events = self.run_events,
                silent_ms = self.stall.silence_ms(boot_ms());
                "run failed"
            );
            self.attempts.exclude_for(&at_fault, end);
            self.note_broken_run(&at_fault, end);
            let node = &self.node;
            let service = &self.request.service;
            let purpose = self.repeat_purpose();
            if self.attempts.gives_back(end) {
                node.cancel_retry(service);
            }
            match self
                .attempts
                .ended(end, || node.take_retry(service, purpose))
            {
                NextStep::TryAgain | NextStep::GoOn => {}
                NextStep::PassOn(limit) => {
                    let word = FinalError::Unknown;
                    return Finish::Word(GivenUp { word, limit });
                }
                NextStep::GiveUp(end) => return Finish::Word(end),
            }
        }
    }

    async fn next_chain(&mut self) -> Result<Chain, RefusalCause> {
        self.wait_for_verdict().await?;
        if self.attempts.has_begun() {
            return self.chain_to_go_on().await;
        }
        self.forget_ended();
        self.plan_with_room().await
    }

    async fn run_once(&mut self, chain: Chain) -> RunEnd {
        let mut held = HeldTokens::start(&self.node, chain, self.request.held_tokens());
        self.stall.run_begins(boot_ms());
        let exchange = match self.send(held.chain()).await {
            Ok(exchange) => exchange,
            Err(failure) => return self.broken(failure, held.chain()),
        };
        let (head, body) = match self.head(exchange, &mut held).await {
            Ok(answer) => answer,
            Err(end) => return end,
        };
        let facts = self.node.adapter.parse_response_metadata(&head);
        if facts.id.as_deref() != Some(self.request.ask.id.as_str()) {
            return self.broken(UpstreamFailure::Garbled, held.chain());
        }
        let first = &held.chain().first().endpoint;
        self.node.apply_pacing(first, facts.pacing);
        if facts.not_run || head.status == StatusCode::MISDIRECTED_REQUEST {
            let at_fault = facts
                .at_fault
                .and_then(|address| stage_at(held.chain(), address));
            let at_fault = at_fault.unwrap_or_else(|| held.chain().first().clone());
            self.note_full(&at_fault.endpoint);
            // It may be full, leaving, or dead; the answer does not say which.
            check_in_background(&self.node, &at_fault);
            return RunEnd::Failed(
                AttemptEnd::TurnedAway,
                EndpointFailure::Full,
                at_fault.endpoint,
            );
        }
        if !head.status.is_success() || !facts.is_sealed {
            let first = held.chain().first().endpoint.clone();
            self.failure = self.read_failure(&head, body).await;
            return RunEnd::Failed(AttemptEnd::Failed, EndpointFailure::Failed, first);
        }
        self.head_ms = Some(boot_ms());
        self.node.record_accepted(held.chain());
        self.attempts.answer_begins();
        if let Some(opening) = self.opening.take() {
            let sent = opening.send(Ok(Opening {
                status: head.status,
                headers: headers::end_to_end_headers(&head.headers),
                body: None,
            }));
            if sent.is_err() {
                return RunEnd::CallerLeft;
            }
        }
        let keep_alive_ms = headers::keep_alive_ms(&head);
        self.events(body, keep_alive_ms, &mut held).await
    }

    /// Reads an answer that is a failure; `None` if it cannot be passed on.
    async fn read_failure(&self, head: &ResponseHead, mut body: AnswerBody) -> Option<Opening> {
        // A success without seal counts for nothing, and these statuses promise that nothing ran.
        let misleads = head.status.is_success() || matches!(head.status.as_u16(), 408 | 429 | 503);
        if misleads {
            return None;
        }
        let mut whole = BytesMut::new();
        while let Some(bytes) = body.next().await.ok()? {
            if whole.len() + bytes.len() > FAILURE_LIMIT_BYTES {
                return None;
            }
            whole.extend_from_slice(&bytes);
        }
        Some(Opening {
            status: head.status,
            headers: headers::end_to_end_headers(&head.headers),
            body: Some(whole.freeze()),
        })
    }

    async fn send(&self, chain: &Chain) -> Result<Exchange, UpstreamFailure> {
        let first = chain.first();
        let resume_after = self.splitter.last_id();
        let head = self
            .request
            .head_for(&self.node, &first.endpoint, Some(chain), resume_after);
        let body = self.request.body.clone();
        let node = &self.node;
        let may_send = || {
            let mut stages = chain.stages().iter();
            stages.all(|stage| node.accepts_requests(&stage.endpoint))
        };
        node.send_with_permit(&first.endpoint, first.address, head, body, may_send)
            .await
    }

    /// Waits for the head of the answer, and looks into a silence.
    async fn head(
        &mut self,
        exchange: Exchange,
        held: &mut HeldTokens<A>,
    ) -> Result<(ResponseHead, AnswerBody), RunEnd> {
        let mut news = self.node.chain_check_signal.subscribe();
        let mut head = std::pin::pin!(exchange.head());
        loop {
            let due = self.next_look(boot_ms());
            tokio::select! {
                // What has come goes before what others say, and before a silence that it ends.
                biased;
                answer = &mut head => {
                    return answer.map_err(|failure| self.broken(failure, held.chain()));
                }
                () = sleep_until(due) => self.look(held).await?,
                _ = news.changed() => self.act_on_news(held).await?,
            }
        }
    }

    /// Passes events on until the stream is whole.
    async fn events(
        &mut self,
        mut body: AnswerBody,
        keep_alive_ms: Option<u64>,
        held: &mut HeldTokens<A>,
    ) -> RunEnd {
        let mut news = self.node.chain_check_signal.subscribe();
        loop {
            let due = self.next_look(boot_ms());
            let step = tokio::select! {
                // Events that came while this stream was busy go before what others say, and before
                // a silence that they end.
                biased;
                piece = body.next() => match piece {
                    Ok(Some(bytes)) => self.take_piece(&bytes, held).await,
                    Ok(None) if self.splitter.is_within_event() => {
                        Err(self.broken(UpstreamFailure::Broken, held.chain()))
                    }
                    Ok(None) => {
                        self.node.upstreams.release(body, keep_alive_ms, boot_ms());
                        return RunEnd::Whole;
                    }
                    Err(failure) => Err(self.broken(failure, held.chain())),
                },
                () = sleep_until(due) => self.look(held).await,
                _ = news.changed() => self.act_on_news(held).await,
            };
            if let Err(end) = step {
                return end;
            }
        }
    }

    /// When the run is to be looked at again if it brings nothing until then.
    fn next_look(&self, now_ms: u64) -> Instant {
        let ask_ms = self.stall.ask_due_ms();
        instant_at(ask_ms.unwrap_or(self.stall.due_ms()), now_ms)
    }

    async fn take_piece(&mut self, bytes: &[u8], held: &HeldTokens<A>) -> Result<(), RunEnd> {
        let whole = match self.splitter.push(bytes) {
            Ok(Some(whole)) => whole,
            Ok(None) => return Ok(()),
            Err(error) => {
                log::warn!(request = self.request.ask.id.as_str(), error:% = error; "events are out of order");
                return Err(self.broken(UpstreamFailure::Garbled, held.chain()));
            }
        };
        let now_ms = boot_ms();
        self.run_events += 1;
        let is_past_beginning = RunStage::of_run(self.head_ago_ms(now_ms)).is_none();
        if is_past_beginning && self.run_events >= CLEARING_EVENTS {
            self.clear_request();
        }
        self.note_event(now_ms);
        held.record_event(now_ms);
        if self.pieces.send(Ok(whole.bytes)).await.is_err() {
            return Err(RunEnd::CallerLeft);
        }
        Ok(())
    }

    fn note_event(&mut self, now_ms: u64) {
        match self.stall.pause_ms(now_ms) {
            Some(pause_ms) => self.longest_gap_ms = self.longest_gap_ms.max(pause_ms),
            None => self.first_event_ms = Some(now_ms),
        }
        self.stall.event(now_ms);
    }

    /// Time since the head of the newest run's answer, if it has come.
    fn head_ago_ms(&self, now_ms: u64) -> Option<u64> {
        self.head_ms.map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    fn note_full(&self, endpoint: &EndpointId) {
        self.node.record_full(endpoint);
    }

    /// What another run would be for.
    fn repeat_purpose(&self) -> RetryPurpose {
        // The answer's head has gone out: whatever ends the request now cuts it off.
        if self.attempts.has_begun() {
            RetryPurpose::Resume
        } else {
            RetryPurpose::Start
        }
    }

    /// Engines that have ended do not count among those on which the request ran.
    fn forget_ended(&mut self) {
        let fleet = self.node.fleet.borrow();
        // One that has only left the list may go on with what it has.
        self.attempts.forget_ended(|id| fleet.has_ended(id));
    }

    fn broken(&self, failure: UpstreamFailure, chain: &Chain) -> RunEnd {
        let first = chain.first().endpoint.clone();
        match failure {
            UpstreamFailure::NoListener => self.node.record_failure(&first, EndpointFailure::Ended),
            UpstreamFailure::NoConnection | UpstreamFailure::Broken => {
                check_in_background(&self.node, chain.first());
            }
            UpstreamFailure::Garbled | UpstreamFailure::Withdrawn => {}
        }
        let (end, trouble) = failure.meaning();
        RunEnd::Failed(end, trouble, first)
    }

    /// Takes that the request is one under which engines go on.
    fn clear_request(&mut self) {
        if !self.is_cleared {
            self.is_cleared = true;
            self.node.clear_request(self.request.digest);
        }
    }
}

fn stage_at(chain: &Chain, address: SocketAddr) -> Option<ChainStage> {
    let mut stages = chain.stages().iter();
    stages.find(|stage| stage.address == address).cloned()
}
