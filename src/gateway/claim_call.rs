//! Questions to other entries about claims.

use std::net::SocketAddr;
use std::rc::Rc;

use actix_web::http::header::AUTHORIZATION;

use super::calls::Outside;
use super::messages::Deliver;
use crate::clients::{HttpCall, HttpFailure};
use crate::ids::{Incarnation, InstanceId};
use crate::instance::{CallId, EntryMessage};
use crate::wire::WIRE_VERSION;
use crate::wire::claim::{CLAIMS_PATH, ClaimStatusRequest, ClaimStatusResponse};

/// Largest answer to a question about a claim.
const REPLY_LIMIT_BYTES: usize = 4 << 10;

/// Asks the holder of a claim whether it still works on it.
pub(crate) async fn ask_holder(
    outside: Rc<Outside>,
    call: CallId,
    address: SocketAddr,
    question: ClaimStatusRequest,
    timeout_ms: u64,
) -> Deliver {
    let working = ask_claim(&outside, address, &question, timeout_ms).await;
    Deliver(EntryMessage::HolderAnswered { call, working })
}

/// Words a question about a claim.
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

/// Asks over HTTP. A holder listens for as long as it lives, so where nothing listens it is gone;
/// a paused one still listens, and gives no answer.
async fn ask_claim(
    outside: &Outside,
    address: SocketAddr,
    question: &ClaimStatusRequest,
    timeout_ms: u64,
) -> Option<bool> {
    let bearer = format!("Bearer {}", outside.peer_key.expose());
    let mut http_call = HttpCall::post_json(CLAIMS_PATH, question).ok()?;
    http_call.headers.push((AUTHORIZATION, &bearer));
    let peer = outside.entries.at(address);
    let called = peer.call(http_call, timeout_ms, REPLY_LIMIT_BYTES).await;
    let reply = match called {
        Ok(reply) if reply.status == 200 => reply,
        Err(HttpFailure::NoListener) => return Some(false),
        _ => return None,
    };
    let answer: ClaimStatusResponse = serde_json::from_slice(&reply.body).ok()?;
    Some(answer.working)
}
