//! Simulated callers that retry until they are answered, and check every answer.

use indexmap::{IndexMap, IndexSet};
use rand::RngExt;
use rand::rngs::SmallRng;
use xxhash_rust::xxh3::xxh3_64;

use super::{Event, Lifetime, Sent, Simulation};
use crate::entry::tests::fixture::*;
use crate::ids::{IdempotencyKey, RequestId};
use crate::instance::{CallerId, CallerRequest, Deadline, EntryEffect, EntryMessage, RequestBody};
use crate::outcome::{Outcome, RefusalCode};
use crate::wire::engine::EndReason;

const REQUEST_COUNT: usize = 60;

/// Expected text of a token.
pub(super) fn expected_token(prompt: &str, position: u32) -> String {
    format!("{prompt}/{position}")
}

/// Expected length of an answer and the reason for its end.
pub(super) fn expected_end(prompt: &str, max_tokens: u32) -> (u32, EndReason) {
    let natural = 1 + (xxh3_64(prompt.as_bytes()) % 40) as u32;
    match natural <= max_tokens {
        true => (natural, EndReason::Stop),
        false => (max_tokens, EndReason::Length),
    }
}

#[derive(Debug)]
struct SimulatedRequest {
    request: CallerRequest,
    deadline_ms: Option<u64>,
    /// The connection on which the caller waits.
    waiting: Option<(Lifetime, CallerId)>,
    tokens: u32,
    /// Whether the final response has arrived.
    settled: bool,
}

pub(super) struct SimulatedRequests {
    all: Vec<SimulatedRequest>,
    next_caller: u64,
    by_caller: IndexMap<CallerId, usize>,
    /// What was sent to endpoints for the running attempt of each request.
    sent: IndexMap<(Lifetime, RequestId), Vec<Sent>>,
    ran: IndexSet<Sent>,
    /// Calls of attempts that were reported as `not-run`.
    reported_not_run: IndexSet<Sent>,
}

impl SimulatedRequests {
    pub(super) fn new(rng: &mut SmallRng) -> Self {
        let new_request = |number: usize| SimulatedRequest {
            request: request(number, rng.random_range(0..3)),
            deadline_ms: (rng.random_range(0..5) == 0).then(|| rng.random_range(500..5_000)),
            waiting: None,
            tokens: 0,
            settled: false,
        };
        Self {
            all: (0..REQUEST_COUNT).map(new_request).collect(),
            next_caller: 0,
            by_caller: IndexMap::new(),
            sent: IndexMap::new(),
            ran: IndexSet::new(),
            reported_not_run: IndexSet::new(),
        }
    }

    /// Requests without a final response.
    pub(super) fn open(&self) -> Vec<&RequestId> {
        let open = self.all.iter().filter(|pending| !pending.settled);
        open.map(|pending| &pending.request.request).collect()
    }
}

fn request(number: usize, kind: u8) -> CallerRequest {
    let id = format!("r{number}");
    let mut request = match kind {
        0 => call(KEY, &id, "GET", "/prices/lamb"),
        1 => CallerRequest {
            idempotency_key: Some(IdempotencyKey::from(format!("key-{number}"))),
            ..call(KEY, &id, "POST", "/stock-counts")
        },
        _ => completion(KEY, &id, 24),
    };
    match &mut request.body {
        RequestBody::Completion { prompt, .. } => *prompt = format!("prompt-{number}"),
        RequestBody::Application { body, .. } => *body = format!("body-{number}").into_bytes(),
    }
    request.digest = [number as u8; 32];
    request
}

impl Simulation {
    pub(super) fn schedule_requests(&mut self) {
        for index in 0..REQUEST_COUNT {
            let wait_ms = self.draw(0, super::FAULT_PERIOD_MS);
            self.schedule(wait_ms, Event::Submit(index));
        }
    }

    pub(super) fn submit(&mut self, index: usize) {
        let pending = &mut self.requests.all[index];
        if pending.settled || pending.waiting.is_some() {
            return;
        }
        self.requests.next_caller += 1;
        let caller = CallerId(self.requests.next_caller);
        let entry = self.rng.random_range(0..self.nodes.len());
        let to = self.nodes[entry].lifetime;
        let pending = &mut self.requests.all[index];
        pending.waiting = Some((to, caller));
        pending.tokens = 0;
        let mut request = pending.request.clone();
        let deadline_ms = pending.deadline_ms.map(|wait_ms| self.now_ms + wait_ms);
        request.deadline = deadline_ms.map(|at_ms| Deadline { at_ms });
        self.requests.by_caller.insert(caller, index);
        self.forget_sent(to, &request.request);
        self.send(1, to, EntryMessage::Arrived { caller, request });
        if self.draw_fault(4) {
            let wait_ms = self.draw(10, 1_500);
            self.schedule(wait_ms, Event::Disconnect(index));
        }
    }

    /// Discards the calls of an attempt that ended without a response.
    fn forget_sent(&mut self, to: Lifetime, request: &RequestId) {
        let attempts = self.nodes[to.entry].entry.attempts.values();
        let mut running = attempts.filter(|attempt| attempt.key.request == *request);
        if running.next().is_none() {
            self.requests.sent.swap_remove(&(to, request.clone()));
        }
    }

    /// Closes a caller's connection and schedules its retry.
    pub(super) fn disconnect(&mut self, index: usize) {
        if let Some((to, caller)) = self.requests.all[index].waiting.take() {
            self.requests.by_caller.swap_remove(&caller);
            self.send(1, to, EntryMessage::CallerGone { caller });
            self.schedule_resubmit(index, 4_000);
        }
    }

    /// Disconnects the callers of a restarted entry and schedules their retries.
    pub(super) fn disconnect_callers(&mut self, entry: usize) {
        for index in 0..REQUEST_COUNT {
            let waiting = self.requests.all[index].waiting;
            if let Some((to, caller)) = waiting.filter(|(to, _)| to.entry == entry) {
                if to == self.nodes[entry].lifetime {
                    continue;
                }
                self.requests.by_caller.swap_remove(&caller);
                self.requests.all[index].waiting = None;
                self.schedule_resubmit(index, 1_000);
            }
        }
    }

    fn schedule_resubmit(&mut self, index: usize, within_ms: u64) {
        let wait_ms = self.draw(1, within_ms);
        self.schedule(wait_ms, Event::Submit(index));
    }

    /// Records a call sent for a request.
    pub(super) fn record_sent(&mut self, by: Lifetime, effect: &EntryEffect) {
        let (call, request) = match effect {
            EntryEffect::OpenStream { call, open, .. } => (*call, open.request.clone()),
            EntryEffect::CallApplication { call, request, .. } => (*call, request.clone()),
            _ => return,
        };
        let sent = self.requests.sent.entry((by, request)).or_default();
        sent.push(Sent { by, call });
    }

    /// Records that a call ran, and checks that it was not reported as `not-run`.
    pub(super) fn record_run(&mut self, sent: Sent) {
        assert!(
            !self.requests.reported_not_run.contains(&sent),
            "{sent:?} ran after not-run"
        );
        self.requests.ran.insert(sent);
    }

    /// Checks a response to a caller.
    pub(super) fn check_response(&mut self, by: Lifetime, effect: EntryEffect) {
        let caller = match &effect {
            EntryEffect::SendToken { caller, .. }
            | EntryEffect::SendEnd { caller, .. }
            | EntryEffect::SendReply { caller, .. }
            | EntryEffect::SendRefusal { caller, .. } => *caller,
            _ => return,
        };
        // A disconnected caller receives nothing.
        let Some(index) = self.requests.by_caller.get(&caller).copied() else {
            return;
        };
        let pending = &mut self.requests.all[index];
        assert_eq!(
            pending.waiting,
            Some((by, caller)),
            "answered twice: {effect:?}"
        );
        match effect {
            EntryEffect::SendToken { position, text, .. } => {
                let RequestBody::Completion { prompt, .. } = &pending.request.body else {
                    panic!("token sent for an application call");
                };
                assert_eq!(position, pending.tokens);
                assert_eq!(text, expected_token(prompt, position));
                pending.tokens += 1;
            }
            EntryEffect::SendEnd {
                positions,
                cut_by_length,
                ..
            } => {
                let RequestBody::Completion {
                    prompt, max_tokens, ..
                } = &pending.request.body
                else {
                    panic!("end sent for an application call");
                };
                let (length, reason) = expected_end(prompt, *max_tokens);
                assert_eq!((positions, pending.tokens), (length, length));
                assert_eq!(cut_by_length, reason == EndReason::Length);
                self.settle(index, by);
            }
            EntryEffect::SendReply { reply, .. } => {
                let RequestBody::Application { body, .. } = &pending.request.body else {
                    panic!("application reply sent for a completion");
                };
                assert_eq!(reply.body, *body);
                self.settle(index, by);
            }
            EntryEffect::SendRefusal { refusal, .. } => self.handle_refusal(index, by, refusal),
            _ => {}
        }
    }

    fn settle(&mut self, index: usize, by: Lifetime) {
        let pending = &mut self.requests.all[index];
        pending.settled = true;
        self.end_wait(index, by);
    }

    /// Ends the wait for a response and returns the calls made for the request.
    fn end_wait(&mut self, index: usize, by: Lifetime) -> Vec<Sent> {
        let pending = &mut self.requests.all[index];
        if let Some((_, caller)) = pending.waiting.take() {
            self.requests.by_caller.swap_remove(&caller);
        }
        let request = pending.request.request.clone();
        let sent = self.requests.sent.swap_remove(&(by, request));
        sent.unwrap_or_default()
    }

    fn handle_refusal(&mut self, index: usize, by: Lifetime, refusal: crate::outcome::Refusal) {
        assert!(
            !matches!(
                refusal.code,
                RefusalCode::KeyReused | RefusalCode::Forbidden | RefusalCode::UnknownModel
            ),
            "{refusal:?}"
        );
        let sent = self.end_wait(index, by);
        if refusal.outcome == Outcome::NotRun {
            for sent in sent {
                assert!(
                    !self.requests.ran.contains(&sent),
                    "false not-run: {sent:?}"
                );
                self.requests.reported_not_run.insert(sent);
            }
        }
        let pending = &mut self.requests.all[index];
        let is_final = refusal.retry_after_ms.is_none() && refusal.outcome == Outcome::Unknown;
        if is_final && pending.request.idempotency_key.is_some() {
            // Not retried, since it may have run.
            pending.settled = true;
            return;
        }
        let wait_ms = refusal.retry_after_ms.unwrap_or(100).max(1);
        self.schedule(wait_ms, Event::Submit(index));
    }
}
