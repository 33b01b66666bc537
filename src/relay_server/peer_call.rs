//! HTTP calls between instances, at the address for peers. Bodies are binary.

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::clients::{HttpCall, HttpFailure, HttpPeer};

/// Timeout of a call. It covers the connection and one part of a document or list, which occupies a
/// 20 Mbit/s link for 25 ms. If documents were sent in one piece, concurrent requests to the same peer would
/// all time out with the document half received.
pub(super) const PEER_CALL_TIMEOUT_MS: u64 = 400;

/// Why a call to a peer failed.
#[derive(Debug, Error)]
pub(super) enum PeerCallError {
    #[error("{0}")]
    Call(#[from] HttpFailure),
    #[error("peer responded with status {0}")]
    Status(u16),
    #[error("malformed reply: {0}")]
    Malformed(#[from] postcard::Error),
}

/// Sends a request to a peer and decodes its reply, which may have up to `max_bytes`.
pub(super) async fn call_peer<T>(
    peer: &HttpPeer,
    path: &str,
    max_bytes: usize,
) -> Result<T, PeerCallError>
where
    T: DeserializeOwned,
{
    let call = HttpCall::get(path);
    let reply = peer.call(call, PEER_CALL_TIMEOUT_MS, max_bytes).await?;
    if reply.status != StatusCode::OK.as_u16() {
        return Err(PeerCallError::Status(reply.status));
    }
    Ok(postcard::from_bytes(&reply.body)?)
}

/// The response to a peer's request.
pub(super) fn peer_response<T>(reply: &T) -> Response<BoxBody>
where
    T: Serialize,
{
    match postcard::to_stdvec(reply) {
        Ok(bytes) => Response::with_body(StatusCode::OK, BoxBody::new(bytes)),
        Err(error) => {
            log::error!(error:% = error; "cannot serialize a reply to a peer");
            Response::with_body(StatusCode::INTERNAL_SERVER_ERROR, BoxBody::new(()))
        }
    }
}
