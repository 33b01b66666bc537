//! Calls of application endpoints.

use std::net::SocketAddr;
use std::rc::Rc;

use actix_web::http::Method;
use actix_web::http::header::{CONTENT_TYPE, HeaderName};
use bytes::Bytes;

use super::calls::Outside;
use super::messages::Deliver;
use crate::clients::{HttpCall, HttpFailure};
use crate::instance::{ApplicationFailure, ApplicationReply, CallId, EntryMessage};
use crate::outcome::{IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER};

/// Largest answer of an application endpoint.
const REPLY_LIMIT_BYTES: usize = 16 << 20;

/// A call of an application endpoint.
#[derive(Debug)]
pub(crate) struct ApplicationCall {
    /// Method.
    pub(crate) method: String,
    /// Path and query.
    pub(crate) path: String,
    /// `Content-Type`, `X-Request-Id`, `Idempotency-Key`, as far as present.
    pub(crate) headers: Vec<(HeaderName, String)>,
    /// Body.
    pub(crate) body: Vec<u8>,
    /// How long to wait for the whole reply.
    pub(crate) timeout_ms: u64,
    /// Whether a pooled connection must not be used.
    pub(crate) fresh_connection: bool,
}

impl ApplicationCall {
    /// Names the headers passed on to an endpoint.
    pub(crate) fn headers(
        content_type: Option<String>,
        request: &str,
        idempotency_key: Option<&str>,
    ) -> Vec<(HeaderName, String)> {
        let request = (
            HeaderName::from_static(REQUEST_ID_HEADER),
            request.to_owned(),
        );
        let key = idempotency_key.map(|key| {
            let name = HeaderName::from_static(IDEMPOTENCY_KEY_HEADER);
            (name, key.to_owned())
        });
        let content_type = content_type.map(|value| (CONTENT_TYPE, value));
        content_type
            .into_iter()
            .chain(key)
            .chain([request])
            .collect()
    }
}

/// Calls an application endpoint.
pub(crate) async fn call_application(
    outside: Rc<Outside>,
    call: CallId,
    address: SocketAddr,
    ask: ApplicationCall,
) -> Deliver {
    let result = ask_application(&outside, address, ask).await;
    Deliver(EntryMessage::ApplicationAnswered {
        call,
        result: result.map_err(|failure| match failure {
            HttpFailure::NotSent | HttpFailure::NoListener => ApplicationFailure::NotSent,
            HttpFailure::ReplyLost => ApplicationFailure::ReplyLost,
        }),
    })
}

async fn ask_application(
    outside: &Outside,
    address: SocketAddr,
    ask: ApplicationCall,
) -> Result<ApplicationReply, HttpFailure> {
    let method = Method::from_bytes(ask.method.as_bytes()).map_err(|_| HttpFailure::NotSent)?;
    let headers = ask.headers.iter();
    let http_call = HttpCall {
        method,
        path: &ask.path,
        headers: headers
            .map(|(name, value)| (name.clone(), value.as_str()))
            .collect(),
        body: Bytes::from(ask.body),
    };
    let peer = outside.applications.at(address);
    if ask.fresh_connection {
        peer.discard_connections();
    }
    let reply = peer
        .call(http_call, ask.timeout_ms, REPLY_LIMIT_BYTES)
        .await?;
    Ok(ApplicationReply {
        status: reply.status,
        content_type: reply.content_type,
        body: reply.body.to_vec(),
    })
}
