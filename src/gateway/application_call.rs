//! Calls to application endpoints.

use std::net::SocketAddr;
use std::rc::Rc;

use actix_web::http::Method;
use actix_web::http::header::{CONTENT_TYPE, HeaderName};
use bytes::Bytes;

use super::calls::OutboundClients;
use super::messages::Deliver;
use crate::clients::{HttpCall, HttpFailure};
use crate::instance::{ApplicationFailure, ApplicationReply, CallId, EntryMessage};
use crate::outcome::{IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER};

/// Maximum size of a response from an application endpoint.
const MAX_REPLY_BYTES: usize = 16 << 20;

/// A call to an application endpoint.
#[derive(Debug)]
pub(crate) struct ApplicationCall {
    pub(crate) method: String,
    /// Path and query.
    pub(crate) path: String,
    /// `Content-Type`, `X-Request-Id` and `Idempotency-Key`, each if present.
    pub(crate) headers: Vec<(HeaderName, String)>,
    pub(crate) body: Vec<u8>,
    /// Time limit for receiving the complete response.
    pub(crate) timeout_ms: u64,
    /// Whether to open a new connection instead of using a pooled one.
    pub(crate) fresh_connection: bool,
}

impl ApplicationCall {
    /// Builds the headers forwarded to an endpoint.
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

/// Calls an application endpoint and returns the result as a message for the state machine.
pub(crate) async fn call_application(
    outbound: Rc<OutboundClients>,
    call: CallId,
    address: SocketAddr,
    request: ApplicationCall,
) -> Deliver {
    let result = send_application_call(&outbound, address, request).await;
    Deliver(EntryMessage::ApplicationAnswered {
        call,
        result: result.map_err(|failure| match failure {
            HttpFailure::NotSent | HttpFailure::NoListener => ApplicationFailure::NotSent,
            HttpFailure::ReplyLost => ApplicationFailure::ReplyLost,
        }),
    })
}

async fn send_application_call(
    outbound: &OutboundClients,
    address: SocketAddr,
    request: ApplicationCall,
) -> Result<ApplicationReply, HttpFailure> {
    let method = Method::from_bytes(request.method.as_bytes()).map_err(|_| HttpFailure::NotSent)?;
    let headers = request.headers.iter();
    let http_call = HttpCall {
        method,
        path: &request.path,
        headers: headers
            .map(|(name, value)| (name.clone(), value.as_str()))
            .collect(),
        body: Bytes::from(request.body),
    };
    let peer = outbound.applications.at(address);
    if request.fresh_connection {
        peer.discard_connections();
    }
    let reply = peer
        .call(http_call, request.timeout_ms, MAX_REPLY_BYTES)
        .await?;
    Ok(ApplicationReply {
        status: reply.status,
        content_type: reply.header(CONTENT_TYPE).map(str::to_owned),
        body: reply.body.to_vec(),
    })
}
