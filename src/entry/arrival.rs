//! From a caller's request to a place in the queue, a running or recorded answer, or a refusal.

use super::attempt::{ApplicationCall, Attempt, AttemptId, Completion, Repeat, Work};
use super::book::{Answer, BookKey, Known, OtherDigest};
use super::machine::{Entry, not_ready};
use super::verdict::Evidence;
use crate::admission::QueueAsk;
use crate::document::{Document, Priority, ServiceKind};
use crate::ids::{AccountId, IdempotencyKey, StreamId};
use crate::instance::{CallerId, CallerRequest, EntryEffect, PresentedKey, RequestBody};
use crate::outcome::{Refusal, RefusalCode};
use crate::routing::Policy;

/// When callers should come back to an instance that holds as many requests as it may.
const CROWDED_RETRY_MS: u64 = 1_000;
/// When callers of a stopping instance should come back; other instances serve them at once.
const STOPPING_RETRY_MS: u64 = 100;

impl<P> Entry<P>
where
    P: Policy,
{
    /// Takes a request: queued, joined, answered from the record, or refused.
    pub(super) fn on_arrived(&mut self, caller: CallerId, request: CallerRequest, now_ms: u64) {
        self.counts.count("entry.requests.arrived");
        if let Err(refusal) = self.admit(caller, request, now_ms) {
            self.refuse_caller(caller, refusal);
        }
    }

    /// Sends a refusal to one caller.
    pub(super) fn refuse_caller(&mut self, caller: CallerId, refusal: Refusal) {
        self.counts.count("entry.requests.refused");
        self.out.push(EntryEffect::SendRefusal { caller, refusal });
    }

    fn admit(
        &mut self,
        caller: CallerId,
        request: CallerRequest,
        now_ms: u64,
    ) -> Result<(), Refusal> {
        self.check_size(&request.body)?;
        let attempt = self.resolve(caller, request)?;
        match self.book.find(&attempt.key, &attempt.digest) {
            Err(OtherDigest) => Err(Refusal::not_run(RefusalCode::KeyReused, None)),
            Ok(Some(Known::Running(running))) => {
                let running = *running;
                self.join(caller, running)
            }
            Ok(Some(Known::Recorded(answer))) => {
                let answer = answer.clone();
                self.replay(caller, answer);
                Ok(())
            }
            Ok(None) => self.queue(attempt, now_ms),
        }
    }

    fn check_size(&self, body: &RequestBody) -> Result<(), Refusal> {
        let (size_bytes, max_tokens) = match body {
            RequestBody::Completion {
                prompt, max_tokens, ..
            } => (prompt.len(), *max_tokens),
            RequestBody::Application { body, .. } => (body.len(), 1),
        };
        if size_bytes > self.config.limits.max_body_bytes {
            return Err(Refusal::not_run(RefusalCode::BodyTooLarge, None));
        }
        if max_tokens == 0 || max_tokens > self.config.limits.max_tokens {
            return Err(Refusal::not_run(RefusalCode::MalformedBody, None));
        }
        Ok(())
    }

    /// Checks a request against the documents in force.
    fn resolve(&mut self, caller: CallerId, request: CallerRequest) -> Result<Attempt, Refusal> {
        if self.directory.is_empty() {
            return Err(not_ready());
        }
        let stream = StreamId::draw(&mut self.rng);
        let key = request.key.as_ref().map(PresentedKey::expose);
        let (document, account, work) = match request.body {
            RequestBody::Completion {
                model,
                prompt,
                max_tokens,
            } => {
                let (name, adapter) = split_model(&model);
                let service = self.directory.service_of_model(name);
                let missing = RefusalCode::UnknownModel;
                let (document, account) = self.directory.authenticate(key, service, missing)?;
                let completion = Completion {
                    stream,
                    model: offered(document, name, adapter)?,
                    adapter: adapter.map(str::to_owned),
                    prompt_tokens: count_tokens(&prompt),
                    prompt,
                    max_tokens,
                    priority: priority_of(document, account),
                    chain: None,
                    open_call: None,
                };
                (document, account, Work::Completion(Box::new(completion)))
            }
            RequestBody::Application {
                service,
                method,
                path,
                content_type,
                body,
            } => {
                let missing = RefusalCode::UnknownService;
                let (document, account) =
                    self.directory.authenticate(key, Some(&service), missing)?;
                if document.kind != ServiceKind::Application {
                    return Err(Refusal::not_run(missing, None));
                }
                let idempotency_key = request.idempotency_key;
                let call = ApplicationCall {
                    repeat: repeat_of(document, &method, &path, idempotency_key.as_ref())?,
                    method,
                    path,
                    content_type,
                    body,
                    idempotency_key,
                    replica: None,
                    tried: Vec::new(),
                    sent_at_ms: 0,
                };
                (document, account, Work::Application(Box::new(call)))
            }
        };
        Ok(Attempt {
            id: AttemptId(caller),
            key: BookKey {
                account: account.clone(),
                request: request.request,
            },
            service: document.service.clone(),
            digest: request.digest,
            deadline: request.deadline,
            callers: vec![caller],
            sent_tokens: 0,
            orphaned_at_ms: None,
            evidence: Evidence::default(),
            work,
        })
    }

    /// Lets a caller share a running answer: it gets every token from the first.
    fn join(&mut self, caller: CallerId, running: AttemptId) -> Result<(), Refusal> {
        let Some(attempt) = self.attempts.get_mut(&running) else {
            return Err(not_ready());
        };
        if attempt.callers.len() >= self.config.limits.max_joined {
            let refusal = Refusal::unknown(RefusalCode::Overloaded, Some(CROWDED_RETRY_MS));
            return Err(refusal);
        }
        attempt.callers.push(caller);
        attempt.orphaned_at_ms = None;
        self.callers.insert(caller, running);
        self.counts.count("entry.requests.joined");
        if let Work::Completion(completion) = &attempt.work
            && let Some(chain) = &completion.chain
        {
            let tokens = chain.tokens().to_vec();
            self.send_tokens(caller, tokens);
        }
        Ok(())
    }

    /// Sends a recorded answer.
    fn replay(&mut self, caller: CallerId, answer: Answer) {
        self.counts.count("entry.requests.replayed");
        match answer {
            Answer::Completion {
                tokens,
                cut_by_length,
            } => {
                let positions = position(tokens.len());
                self.send_tokens(caller, tokens);
                self.out.push(EntryEffect::SendEnd {
                    caller,
                    positions,
                    cut_by_length,
                });
            }
            Answer::Reply(reply) => self.out.push(EntryEffect::SendReply {
                caller,
                reply,
                replayed: true,
            }),
        }
    }

    fn send_tokens(&mut self, caller: CallerId, tokens: Vec<String>) {
        for (index, text) in tokens.into_iter().enumerate() {
            self.out.push(EntryEffect::SendToken {
                caller,
                position: position(index),
                text,
            });
        }
    }

    /// Queues a request that is new to the book.
    fn queue(&mut self, attempt: Attempt, now_ms: u64) -> Result<(), Refusal> {
        if self.stopping {
            let refusal = Refusal::not_run(RefusalCode::Stopping, Some(STOPPING_RETRY_MS));
            return Err(refusal);
        }
        if self.attempts.len() >= self.config.limits.max_attempts {
            let refusal = Refusal::not_run(RefusalCode::Overloaded, Some(CROWDED_RETRY_MS));
            return Err(refusal);
        }
        let ask = QueueAsk {
            caller: attempt.id.0,
            service: &attempt.service,
            account: attempt.account(),
            cost_tokens: cost_tokens(&attempt.work),
            deadline: attempt.deadline,
        };
        if let Err(refusal) = self.admission.offer(ask, now_ms) {
            self.note_refused(&attempt, refusal, now_ms);
            return Err(refusal);
        }
        self.dispatch_due = true;
        self.book
            .open(attempt.key.clone(), attempt.digest, attempt.id);
        self.callers.insert(attempt.id.0, attempt.id);
        self.attempts.insert(attempt.id, attempt);
        Ok(())
    }
}

/// Splits `model:adapter`.
fn split_model(text: &str) -> (&str, Option<&str>) {
    match text.split_once(':') {
        Some((model, adapter)) => (model, Some(adapter)),
        None => (text, None),
    }
}

fn offered(
    document: &Document,
    name: &str,
    adapter: Option<&str>,
) -> Result<crate::document::ModelOffer, Refusal> {
    let unknown = Refusal::not_run(RefusalCode::UnknownModel, None);
    let ServiceKind::Model(models) = &document.kind else {
        return Err(unknown);
    };
    let Some(offer) = models.get(name) else {
        return Err(unknown);
    };
    let has_adapter = |adapter: &str| offer.adapters.iter().any(|known| known == adapter);
    if adapter.is_some_and(|adapter| !has_adapter(adapter)) {
        return Err(unknown);
    }
    Ok(offer.clone())
}

fn priority_of(document: &Document, account: &AccountId) -> u8 {
    let settings = document.accounts.get(account);
    match settings.map(|settings| settings.priority) {
        Some(Priority::Interactive) => 0,
        Some(Priority::Standard) | None => 1,
        Some(Priority::Batch) => 2,
    }
}

/// Whether a call may be sent again. A non-idempotent one needs an idempotency key.
fn repeat_of(
    document: &Document,
    method: &str,
    path: &str,
    key: Option<&IdempotencyKey>,
) -> Result<Repeat, Refusal> {
    let Some(rule) = document.non_idempotent_rule(method, path) else {
        return Ok(Repeat::Anywhere);
    };
    if key.is_none() {
        return Err(Refusal::not_run(RefusalCode::MissingHeader, None));
    }
    if rule.endpoint_deduplicates {
        Ok(Repeat::Deduplicated)
    } else {
        Ok(Repeat::Never)
    }
}

/// Tokens of a text: engines split it by white space.
fn count_tokens(text: &str) -> u32 {
    position(text.split_whitespace().count())
}

/// A count as a position.
pub(super) fn position(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

fn cost_tokens(work: &Work) -> u32 {
    match work {
        Work::Completion(completion) => completion
            .prompt_tokens
            .saturating_add(completion.max_tokens),
        Work::Application(_) => 1,
    }
}
