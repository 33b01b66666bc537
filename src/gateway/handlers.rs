//! HTTP handlers for callers' requests. They parse the request and pass it to the actor, which
//! decides how to process it.

use std::time::Duration;

use actix_web::web::{Data, Payload};
use actix_web::{HttpRequest, HttpResponse};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;

use super::answer::{answer_application, answer_completion};
use super::caller::WaitingCaller;
use super::messages::CallerArrived;
use super::reply::{refuse, refuse_with_message};
use super::request::{
    AnswerShape, BadRequest, RequestHead, digest_request, generate_request_id, read_completion,
    read_content_type, read_head, split_service_path,
};
use super::state::{BodyLimits, Gateway};
use crate::instance::{CallerRequest, Deadline, RequestBody};
use crate::outcome::{Refusal, RefusalCode};

/// `POST /v1/chat/completions`.
pub(crate) async fn complete_chat(
    gateway: Data<Gateway>,
    http: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    complete(&gateway, AnswerShape::Chat, &http, payload).await
}

/// `POST /v1/completions`.
pub(crate) async fn complete_text(
    gateway: Data<Gateway>,
    http: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    complete(&gateway, AnswerShape::Text, &http, payload).await
}

async fn complete(
    gateway: &Gateway,
    shape: AnswerShape,
    http: &HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let (head, body) = match read(gateway, http, payload).await {
        Ok(read) => read,
        Err(refused) => return refused,
    };
    let request = head.request.clone();
    let (request_body, form) = match read_completion(shape, &body) {
        Ok(completion) => completion,
        Err(bad) => return refuse_bad(gateway, &bad, &head),
    };
    let digest = digest_request(http.method().as_str(), http.path(), &body);
    let caller = submit(gateway, head, digest, request_body);
    answer_completion(caller, form, &request, gateway.clock.unix_ms()).await
}

/// Any method, `/v1/services/{service}/{path}`.
pub(crate) async fn call_service(
    gateway: Data<Gateway>,
    http: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let (head, body) = match read(&gateway, &http, payload).await {
        Ok(read) => read,
        Err(refused) => return refused,
    };
    let request = head.request.clone();
    let path_and_query = http.uri().path_and_query();
    let path_and_query = path_and_query.map_or("", |path| path.as_str());
    let Some((service, path)) = split_service_path(path_and_query) else {
        return refuse(
            &Refusal::not_run(RefusalCode::UnknownService, None),
            &request,
        );
    };
    let method = http.method().as_str();
    let digest = digest_request(method, path, &body);
    let request_body = RequestBody::Application {
        service,
        method: method.to_owned(),
        path: path.to_owned(),
        content_type: read_content_type(http.headers()),
        body: body.to_vec(),
    };
    let caller = submit(&gateway, head, digest, request_body);
    answer_application(caller, &request).await
}

/// Reads headers and body, or returns the error response for an unreadable request.
async fn read(
    gateway: &Gateway,
    http: &HttpRequest,
    payload: Payload,
) -> Result<(RequestHead, Bytes), HttpResponse> {
    let head = read_head(http.headers()).map_err(|bad| {
        gateway.counters.count("entry.unreadable_requests");
        refuse_with_message(&bad.refusal(), &bad.to_string(), &generate_request_id())
    })?;
    match read_body(payload, gateway.body_limits).await {
        Ok(body) => Ok((head, body)),
        Err(bad) => Err(refuse_bad(gateway, &bad, &head)),
    }
}

async fn read_body(mut payload: Payload, limits: BodyLimits) -> Result<Bytes, BadRequest> {
    let timeout_ms = limits.timeout_ms;
    let incomplete = BadRequest::BodyIncomplete { timeout_ms };
    let receive = async {
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|_| incomplete.clone())?;
            if body.len() + chunk.len() > limits.max_bytes {
                return Err(BadRequest::BodyTooLarge {
                    limit_bytes: limits.max_bytes,
                });
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    };
    let read = tokio::time::timeout(Duration::from_millis(timeout_ms), receive).await;
    read.unwrap_or_else(|_| Err(incomplete.clone()))
}

fn refuse_bad(gateway: &Gateway, bad: &BadRequest, head: &RequestHead) -> HttpResponse {
    gateway.counters.count("entry.unreadable_requests");
    refuse_with_message(&bad.refusal(), &bad.to_string(), &head.request)
}

fn submit(
    gateway: &Gateway,
    head: RequestHead,
    digest: [u8; 32],
    body: RequestBody,
) -> WaitingCaller {
    let (caller, events) = WaitingCaller::open(gateway.actor.clone(), gateway.callers.clone());
    let now_ms = gateway.clock.now_ms();
    let deadline = head.deadline_ms.map(|deadline_ms| Deadline {
        at_ms: now_ms + deadline_ms,
    });
    gateway.actor.do_send(CallerArrived {
        caller: caller.id(),
        request: CallerRequest {
            key: head.key,
            request: head.request,
            idempotency_key: head.idempotency_key,
            deadline,
            digest,
            body,
        },
        events,
    });
    caller
}
