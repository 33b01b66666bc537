//! Renders errors and application responses.

use actix_web::http::StatusCode;
use actix_web::http::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use actix_web::{HttpResponse, HttpResponseBuilder};

use crate::ids::RequestId;
use crate::instance::ApplicationReply;
use crate::outcome::{OUTCOME_HEADER, Outcome, REQUEST_ID_HEADER, Refusal, RefusalCode};
use crate::wire::caller::{ErrorDetail, ErrorResponse};

/// Response header that marks a stored response of an earlier call.
const REPLAYED_HEADER: &str = "x-fescue-replayed";

/// Starts a response with its status, outcome and request id.
pub(crate) fn begin(
    status: StatusCode,
    outcome: Outcome,
    request: &RequestId,
) -> HttpResponseBuilder {
    let mut response = HttpResponse::build(status);
    response.insert_header((
        HeaderName::from_static(OUTCOME_HEADER),
        HeaderValue::from_static(outcome.as_str()),
    ));
    response.insert_header((REQUEST_ID_HEADER, request.as_str()));
    response
}

/// Renders a refusal with the default message of its code.
pub(crate) fn refuse(refusal: &Refusal, request: &RequestId) -> HttpResponse {
    refuse_with_message(refusal, message(refusal.code), request)
}

/// Renders a refusal with a custom message.
pub(crate) fn refuse_with_message(
    refusal: &Refusal,
    message: &str,
    request: &RequestId,
) -> HttpResponse {
    let mut response = begin(status(refusal.code), refusal.outcome, request);
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        response.insert_header((RETRY_AFTER, retry_after_s(retry_after_ms)));
    }
    response.json(error_answer(refusal, message))
}

/// Forwards an application's response unchanged.
pub(crate) fn forward_reply(
    reply: ApplicationReply,
    replayed: bool,
    request: &RequestId,
) -> HttpResponse {
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = begin(status, Outcome::Done, request);
    if replayed {
        response.insert_header((REPLAYED_HEADER, "true"));
    }
    if let Some(content_type) = reply.content_type {
        response.insert_header((CONTENT_TYPE, content_type));
    }
    response.body(reply.body)
}

/// The body of a refusal.
pub(crate) fn error_answer(refusal: &Refusal, message: &str) -> ErrorResponse {
    ErrorResponse {
        error: ErrorDetail {
            code: refusal.code,
            message: message.to_owned(),
            outcome: refusal.outcome,
            retry_after_ms: refusal.retry_after_ms,
        },
    }
}

/// Converts to seconds, rounded up and at least 1, so that callers do not retry too early.
fn retry_after_s(retry_after_ms: u64) -> u64 {
    retry_after_ms.div_ceil(1_000).max(1)
}

/// HTTP status of a code.
pub(crate) fn status(code: RefusalCode) -> StatusCode {
    match code {
        RefusalCode::Unauthenticated => StatusCode::UNAUTHORIZED,
        RefusalCode::Forbidden => StatusCode::FORBIDDEN,
        RefusalCode::UnknownService | RefusalCode::UnknownModel => StatusCode::NOT_FOUND,
        RefusalCode::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalCode::MalformedBody | RefusalCode::MissingHeader | RefusalCode::BadHeader => {
            StatusCode::BAD_REQUEST
        }
        RefusalCode::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalCode::KeyTooOld | RefusalCode::ResultUnknown => StatusCode::CONFLICT,
        RefusalCode::AccountOverloaded => StatusCode::TOO_MANY_REQUESTS,
        RefusalCode::EndpointFailed => StatusCode::BAD_GATEWAY,
        RefusalCode::Overloaded
        | RefusalCode::DeadlineTooShort
        | RefusalCode::NoEndpoint
        | RefusalCode::StoreUnavailable
        | RefusalCode::Stopping
        | RefusalCode::NotReady => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Default message of a code.
pub(crate) fn message(code: RefusalCode) -> &'static str {
    match code {
        RefusalCode::Unauthenticated => "the key is missing, or no service lists it",
        RefusalCode::Forbidden => "the service does not list this account; ask its operators",
        RefusalCode::UnknownService => "there is no such service",
        RefusalCode::UnknownModel => "the model, adapter or version is not offered",
        RefusalCode::BodyTooLarge => "the body is too large; send less",
        RefusalCode::MalformedBody => "the body is not a valid request",
        RefusalCode::MissingHeader => "this call must not run twice: send an Idempotency-Key",
        RefusalCode::BadHeader => "a header has a value that cannot be used",
        RefusalCode::KeyReused => "the idempotency key was used with another body; use a new one",
        RefusalCode::KeyTooOld => "the idempotency key is older than keys are remembered",
        RefusalCode::ResultUnknown => "the call was sent out and its result is not known",
        RefusalCode::AccountOverloaded => "the account has used its share; come back later",
        RefusalCode::Overloaded => "the service has no capacity left; come back later",
        RefusalCode::DeadlineTooShort => "the deadline cannot be met",
        RefusalCode::NoEndpoint => "no endpoint can serve the request now; come back later",
        RefusalCode::StoreUnavailable => "the table service cannot be reached; come back later",
        RefusalCode::EndpointFailed => "the endpoint failed",
        RefusalCode::Stopping => "this instance is stopping; ask locate for another address",
        RefusalCode::NotReady => "this instance has no document yet; use another address",
    }
}
