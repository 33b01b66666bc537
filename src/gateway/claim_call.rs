//! Queries to other entries about the claims they hold.

use std::net::SocketAddr;
use std::rc::Rc;

use actix_web::http::header::AUTHORIZATION;

use super::calls::OutboundClients;
use super::messages::Deliver;
use crate::clients::{HttpCall, HttpFailure};
use crate::ids::{Incarnation, InstanceId};
use crate::instance::{CallId, EntryMessage};
use crate::wire::WIRE_VERSION;
use crate::wire::claim::{CLAIMS_PATH, ClaimStatusRequest, ClaimStatusResponse};

/// Maximum size of a response to a claim query.
const MAX_REPLY_BYTES: usize = 4 << 10;

/// Asks the holder of a claim whether it is still processing the claimed request.
pub(crate) async fn query_holder(
    outbound: Rc<OutboundClients>,
    call: CallId,
    address: SocketAddr,
    question: ClaimStatusRequest,
    timeout_ms: u64,
) -> Deliver {
    let working = query_claim(&outbound, address, &question, timeout_ms).await;
    Deliver(EntryMessage::HolderAnswered { call, working })
}

/// Builds a claim query.
pub(crate) fn claim_question(
    instance: InstanceId,
    incarnation: Incarnation,
    claim: String,
) -> ClaimStatusRequest {
    ClaimStatusRequest {
        wire_version: WIRE_VERSION,
        instance,
        incarnation,
        claim,
    }
}

/// Sends the query over HTTP. A holder listens for as long as its process lives, so a refused
/// connection proves that it is gone. A paused holder still listens but does not answer.
async fn query_claim(
    outbound: &OutboundClients,
    address: SocketAddr,
    question: &ClaimStatusRequest,
    timeout_ms: u64,
) -> Option<bool> {
    let bearer = format!("Bearer {}", outbound.peer_key.expose());
    let mut http_call = HttpCall::post_json(CLAIMS_PATH, question).ok()?;
    http_call.headers.push((AUTHORIZATION, &bearer));
    let peer = outbound.entries.at(address);
    let called = peer.call(http_call, timeout_ms, MAX_REPLY_BYTES).await;
    let reply = match called {
        Ok(reply) if reply.status == 200 => reply,
        Err(HttpFailure::NoListener) => return Some(false),
        _ => return None,
    };
    let answer: ClaimStatusResponse = serde_json::from_slice(&reply.body).ok()?;
    Some(answer.working)
}
