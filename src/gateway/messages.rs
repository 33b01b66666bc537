//! Messages of the entry's actor.

use actix::Message;

use super::caller::CallerSender;
use crate::entry::ModelView;
use crate::ids::ServiceName;
use crate::instance::{CallId, CallerId, CallerRequest, EntryMessage, PresentedKey, StreamFailure};
use crate::outcome::Refusal;
use crate::wire::claim::ClaimStatusRequest;
use crate::wire::engine::StreamEvent;
use crate::wire::locate::LocateResponse;

/// A message passed to the state machine unchanged.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Deliver(pub(crate) EntryMessage);

/// A caller sent a request.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct CallerArrived {
    /// The caller.
    pub(crate) caller: CallerId,
    /// The request.
    pub(crate) request: CallerRequest,
    /// Channel for the caller's events.
    pub(crate) events: CallerSender,
}

/// A caller disconnected before the final response.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct CallerLeft {
    /// The caller.
    pub(crate) caller: CallerId,
}

/// Consecutive events of one open stream, received together.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct StreamRead {
    /// The call that opened the stream.
    pub(crate) call: CallId,
    /// The events, in order.
    pub(crate) events: Vec<StreamEvent>,
    /// Set if the stream failed before its last event.
    pub(crate) failure: Option<StreamFailure>,
}

/// A query from another entry about a claim.
#[derive(Debug, Message)]
#[rtype(result = "bool")]
pub(crate) struct QueryClaim(pub(crate) ClaimStatusRequest);

/// Requests the addresses at which a service can be reached.
#[derive(Debug, Message)]
#[rtype(result = "Result<LocateResponse, Refusal>")]
pub(crate) struct Locate {
    /// The service.
    pub(crate) service: ServiceName,
    /// Text that identifies the caller.
    pub(crate) caller: String,
}

/// Requests the models that a client account may use.
#[derive(Debug, Message)]
#[rtype(result = "Result<Vec<ModelView>, Refusal>")]
pub(crate) struct ListModels {
    /// Key of the client account.
    pub(crate) key: Option<PresentedKey>,
}

/// Requests whether the instance accepts new requests.
#[derive(Debug, Message)]
#[rtype(result = "bool")]
pub(crate) struct IsReady;
