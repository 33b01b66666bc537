//! Callers that come back until they are answered, and check every answer.

use indexmap::{IndexMap, IndexSet};
use rand::RngExt;
use rand::rngs::SmallRng;
use xxhash_rust::xxh3::xxh3_64;

use super::{Event, Lifetime, Sent, World};
use crate::entry::tests::fixture::*;
use crate::ids::{IdempotencyKey, RequestId};
use crate::instance::{CallerId, CallerRequest, Deadline, EntryEffect, EntryMessage, RequestBody};
use crate::outcome::{Outcome, RefusalCode};
use crate::wire::engine::EndReason;

const ASKS: usize = 60;

/// Text of a token.
pub(super) fn expected_token(prompt: &str, position: u32) -> String {
    format!("{prompt}/{position}")
}

/// Length of an answer and why it ends.
pub(super) fn expected_end(prompt: &str, max_tokens: u32) -> (u32, EndReason) {
    let natural = 1 + (xxh3_64(prompt.as_bytes()) % 40) as u32;
    match natural <= max_tokens {
        true => (natural, EndReason::Stop),
        false => (max_tokens, EndReason::Length),
    }
}

#[derive(Debug)]
struct Ask {
    request: CallerRequest,
    deadline_ms: Option<u64>,
    /// The connection it waits on.
    waiting: Option<(Lifetime, CallerId)>,
    tokens: u32,
    /// Whether its final word has come.
    settled: bool,
}

pub(super) struct Asks {
    asks: Vec<Ask>,
    next_caller: u64,
    by_caller: IndexMap<CallerId, usize>,
    /// What was sent to endpoints for the running attempt of each request.
    sent: IndexMap<(Lifetime, RequestId), Vec<Sent>>,
    ran: IndexSet<Sent>,
    /// Calls of attempts that ended with `not-run`.
    denied: IndexSet<Sent>,
}

impl Asks {
    pub(super) fn new(rng: &mut SmallRng) -> Self {
        let ask = |number: usize| Ask {
            request: request(number, rng.random_range(0..3)),
            deadline_ms: (rng.random_range(0..5) == 0).then(|| rng.random_range(500..5_000)),
            waiting: None,
            tokens: 0,
            settled: false,
        };
        Self {
            asks: (0..ASKS).map(ask).collect(),
            next_caller: 0,
            by_caller: IndexMap::new(),
            sent: IndexMap::new(),
            ran: IndexSet::new(),
            denied: IndexSet::new(),
        }
    }

    /// Requests without a final word.
    pub(super) fn open(&self) -> Vec<&RequestId> {
        let open = self.asks.iter().filter(|ask| !ask.settled);
        open.map(|ask| &ask.request.request).collect()
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

impl World {
    pub(super) fn schedule_asks(&mut self) {
        for ask in 0..ASKS {
            let wait_ms = self.draw(0, super::CHAOS_MS);
            self.after(wait_ms, Event::Ask(ask));
        }
    }

    pub(super) fn ask(&mut self, index: usize) {
        let ask = &mut self.asks.asks[index];
        if ask.settled || ask.waiting.is_some() {
            return;
        }
        self.asks.next_caller += 1;
        let caller = CallerId(self.asks.next_caller);
        let entry = self.rng.random_range(0..self.nodes.len());
        let to = self.nodes[entry].lifetime;
        let ask = &mut self.asks.asks[index];
        ask.waiting = Some((to, caller));
        ask.tokens = 0;
        let mut request = ask.request.clone();
        let deadline_ms = ask.deadline_ms.map(|wait_ms| self.now_ms + wait_ms);
        request.deadline = deadline_ms.map(|at_ms| Deadline { at_ms });
        self.asks.by_caller.insert(caller, index);
        self.forget_sent(to, &request.request);
        self.tell(1, to, EntryMessage::Arrived { caller, request });
        if self.fault(4) {
            let wait_ms = self.draw(10, 1_500);
            self.after(wait_ms, Event::Leave(index));
        }
    }

    /// Forgets what was sent for an attempt that has ended without a word.
    fn forget_sent(&mut self, to: Lifetime, request: &RequestId) {
        let attempts = self.nodes[to.entry].entry.attempts.values();
        let mut running = attempts.filter(|attempt| attempt.key.request == *request);
        if running.next().is_none() {
            self.asks.sent.swap_remove(&(to, request.clone()));
        }
    }

    /// A caller closes its connection and comes back.
    pub(super) fn leave(&mut self, index: usize) {
        if let Some((to, caller)) = self.asks.asks[index].waiting.take() {
            self.asks.by_caller.swap_remove(&caller);
            self.tell(1, to, EntryMessage::CallerGone { caller });
            self.come_back(index, 4_000);
        }
    }

    /// The callers of an entry that died come back.
    pub(super) fn lose_callers(&mut self, entry: usize) {
        for index in 0..ASKS {
            let waiting = self.asks.asks[index].waiting;
            if let Some((to, caller)) = waiting.filter(|(to, _)| to.entry == entry) {
                if to == self.nodes[entry].lifetime {
                    continue;
                }
                self.asks.by_caller.swap_remove(&caller);
                self.asks.asks[index].waiting = None;
                self.come_back(index, 1_000);
            }
        }
    }

    fn come_back(&mut self, index: usize, within_ms: u64) {
        let wait_ms = self.draw(1, within_ms);
        self.after(wait_ms, Event::Ask(index));
    }

    /// Notes what is sent for a request.
    pub(super) fn note_sent(&mut self, by: Lifetime, effect: &EntryEffect) {
        let (call, request) = match effect {
            EntryEffect::OpenStream { call, open, .. } => (*call, open.request.clone()),
            EntryEffect::CallApplication { call, request, .. } => (*call, request.clone()),
            _ => return,
        };
        let sent = self.asks.sent.entry((by, request)).or_default();
        sent.push(Sent { by, call });
    }

    /// Notes that a call ran something.
    pub(super) fn ran(&mut self, sent: Sent) {
        assert!(
            !self.asks.denied.contains(&sent),
            "{sent:?} ran after not-run"
        );
        self.asks.ran.insert(sent);
    }

    /// A caller hears something.
    pub(super) fn answer(&mut self, by: Lifetime, effect: EntryEffect) {
        let caller = match &effect {
            EntryEffect::SendToken { caller, .. }
            | EntryEffect::SendEnd { caller, .. }
            | EntryEffect::SendReply { caller, .. }
            | EntryEffect::SendRefusal { caller, .. } => *caller,
            _ => return,
        };
        // A caller that has left hears nothing more.
        let Some(index) = self.asks.by_caller.get(&caller).copied() else {
            return;
        };
        let ask = &mut self.asks.asks[index];
        assert_eq!(
            ask.waiting,
            Some((by, caller)),
            "answered twice: {effect:?}"
        );
        match effect {
            EntryEffect::SendToken { position, text, .. } => {
                let RequestBody::Completion { prompt, .. } = &ask.request.body else {
                    panic!("a token for a call");
                };
                assert_eq!(position, ask.tokens);
                assert_eq!(text, expected_token(prompt, position));
                ask.tokens += 1;
            }
            EntryEffect::SendEnd {
                positions,
                cut_by_length,
                ..
            } => {
                let RequestBody::Completion {
                    prompt, max_tokens, ..
                } = &ask.request.body
                else {
                    panic!("an end for a call");
                };
                let (length, reason) = expected_end(prompt, *max_tokens);
                assert_eq!((positions, ask.tokens), (length, length));
                assert_eq!(cut_by_length, reason == EndReason::Length);
                self.settle(index, by);
            }
            EntryEffect::SendReply { reply, .. } => {
                let RequestBody::Application { body, .. } = &ask.request.body else {
                    panic!("a reply for a completion");
                };
                assert_eq!(reply.body, *body);
                self.settle(index, by);
            }
            EntryEffect::SendRefusal { refusal, .. } => self.refused(index, by, refusal),
            _ => {}
        }
    }

    fn settle(&mut self, index: usize, by: Lifetime) {
        let ask = &mut self.asks.asks[index];
        ask.settled = true;
        self.end_wait(index, by);
    }

    /// Ends the wait of an ask and returns what was sent for it.
    fn end_wait(&mut self, index: usize, by: Lifetime) -> Vec<Sent> {
        let ask = &mut self.asks.asks[index];
        if let Some((_, caller)) = ask.waiting.take() {
            self.asks.by_caller.swap_remove(&caller);
        }
        let request = ask.request.request.clone();
        let sent = self.asks.sent.swap_remove(&(by, request));
        sent.unwrap_or_default()
    }

    fn refused(&mut self, index: usize, by: Lifetime, refusal: crate::outcome::Refusal) {
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
                assert!(!self.asks.ran.contains(&sent), "false not-run: {sent:?}");
                self.asks.denied.insert(sent);
            }
        }
        let ask = &mut self.asks.asks[index];
        let final_word = refusal.retry_after_ms.is_none() && refusal.outcome == Outcome::Unknown;
        if final_word && ask.request.idempotency_key.is_some() {
            // Never sent again: it may have run.
            ask.settled = true;
            return;
        }
        let wait_ms = refusal.retry_after_ms.unwrap_or(100).max(1);
        self.after(wait_ms, Event::Ask(index));
    }
}
