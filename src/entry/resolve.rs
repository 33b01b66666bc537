//! Validation of requests against the limits and the documents in force.

use super::arrival::saturating_u32;
use super::attempt::{ApplicationCall, Attempt, AttemptId, Completion, RetrySafety, Work};
use super::book::BookKey;
use super::machine::Entry;
use super::verdict::Evidence;
use super::views::not_ready;
use crate::document::{Document, ModelOffer, ServiceKind};
use crate::ids::{AccountId, IdempotencyKey, ServiceName, StreamId};
use crate::instance::{CallerId, CallerRequest, PresentedKey, RequestBody};
use crate::outcome::{Refusal, RefusalCode};
use crate::routing::Policy;

impl<P> Entry<P>
where
    P: Policy,
{
    /// Checks a request's body size and `max_tokens` against the limits.
    pub(super) fn check_size(&self, body: &RequestBody) -> Result<(), Refusal> {
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
    pub(super) fn resolve(
        &mut self,
        caller: CallerId,
        request: CallerRequest,
    ) -> Result<Attempt, Refusal> {
        if self.directory.is_empty() {
            return Err(not_ready());
        }
        let key = request.key.as_ref().map(PresentedKey::expose);
        let resolved = match request.body {
            RequestBody::Completion { .. } => {
                let stream = StreamId::generate(&mut self.rng);
                self.resolve_completion(key, stream, request.body)
            }
            RequestBody::Application { .. } => {
                self.resolve_call(key, request.idempotency_key, request.body)
            }
        };
        let Resolved {
            service,
            account,
            work,
        } = resolved?;
        Ok(Attempt {
            id: AttemptId(caller),
            key: BookKey {
                account,
                request: request.request,
            },
            service,
            digest: request.digest,
            deadline: request.deadline,
            callers: vec![caller],
            sent_tokens: 0,
            orphaned_at_ms: None,
            evidence: Evidence::default(),
            work,
        })
    }

    fn resolve_completion(
        &self,
        key: Option<&str>,
        stream: StreamId,
        body: RequestBody,
    ) -> Result<Resolved, Refusal> {
        let missing = RefusalCode::UnknownModel;
        let RequestBody::Completion {
            model,
            prompt,
            max_tokens,
        } = body
        else {
            return Err(Refusal::not_run(missing, None));
        };
        let (name, adapter) = split_model(&model);
        let service = self.directory.service_of_model(name);
        let (document, account) = self.directory.authenticate(key, service, missing)?;
        let completion = Completion {
            stream,
            model: offered(document, name, adapter)?,
            adapter: adapter.map(str::to_owned),
            prompt_tokens: count_tokens(&prompt),
            prompt,
            max_tokens,
            chain: None,
            stream_call: None,
        };
        let work = Work::Completion(Box::new(completion));
        Ok(Resolved::new(document, account, work))
    }

    fn resolve_call(
        &self,
        key: Option<&str>,
        idempotency_key: Option<IdempotencyKey>,
        body: RequestBody,
    ) -> Result<Resolved, Refusal> {
        let missing = RefusalCode::UnknownService;
        let RequestBody::Application {
            service,
            method,
            path,
            content_type,
            body,
        } = body
        else {
            return Err(Refusal::not_run(missing, None));
        };
        let (document, account) = self.directory.authenticate(key, Some(&service), missing)?;
        if document.kind != ServiceKind::Application {
            return Err(Refusal::not_run(missing, None));
        }
        let call = ApplicationCall {
            retry_safety: retry_safety_of(document, &method, &path, idempotency_key.as_ref())?,
            method,
            path,
            content_type,
            body,
            idempotency_key,
            replica: None,
            failed_replicas: Vec::new(),
            sent_at_ms: 0,
        };
        let work = Work::Application(Box::new(call));
        Ok(Resolved::new(document, account, work))
    }
}

/// A request permitted by the documents in force.
struct Resolved {
    service: ServiceName,
    account: AccountId,
    work: Work,
}

impl Resolved {
    fn new(document: &Document, account: &AccountId, work: Work) -> Self {
        Self {
            service: document.service.clone(),
            account: account.clone(),
            work,
        }
    }
}

/// Splits `model:adapter`.
fn split_model(text: &str) -> (&str, Option<&str>) {
    match text.split_once(':') {
        Some((model, adapter)) => (model, Some(adapter)),
        None => (text, None),
    }
}

fn offered(document: &Document, name: &str, adapter: Option<&str>) -> Result<ModelOffer, Refusal> {
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

/// Determines whether a call may be retried. A non-idempotent call requires an idempotency key.
fn retry_safety_of(
    document: &Document,
    method: &str,
    path: &str,
    key: Option<&IdempotencyKey>,
) -> Result<RetrySafety, Refusal> {
    let Some(rule) = document.non_idempotent_rule(method, path) else {
        return Ok(RetrySafety::AnyReplica);
    };
    if key.is_none() {
        return Err(Refusal::not_run(RefusalCode::MissingHeader, None));
    }
    if rule.endpoint_deduplicates {
        Ok(RetrySafety::Deduplicated)
    } else {
        Ok(RetrySafety::OnlyIfNotRun)
    }
}

/// Counts tokens the way engines do: by splitting at white space.
fn count_tokens(text: &str) -> u32 {
    saturating_u32(text.split_whitespace().count())
}
