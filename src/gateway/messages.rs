//! What reaches the entry's actor.

use actix::Message;

use super::caller::CallerSender;
use crate::entry::ModelView;
use crate::ids::ServiceName;
use crate::instance::{CallId, CallerId, CallerRequest, EntryMessage, PresentedKey, StreamFailure};
use crate::outcome::Refusal;
use crate::wire::claim::ClaimStatusRequest;
use crate::wire::engine::StreamEvent;
use crate::wire::locate::LocateResponse;

/// A message for the state machine, as it is.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Deliver(pub(crate) EntryMessage);

/// A caller asks.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct CallerArrived {
    /// The caller.
    pub(crate) caller: CallerId,
    /// The request.
    pub(crate) request: CallerRequest,
    /// Where its events go.
    pub(crate) events: CallerSender,
}

/// A caller went away before the final word.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct CallerLeft {
    /// The caller.
    pub(crate) caller: CallerId,
}

/// Events of one open stream that arrived together.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct StreamRead {
    /// The call that opened it.
    pub(crate) call: CallId,
    /// The events, in order.
    pub(crate) events: Vec<StreamEvent>,
    /// Set if none will follow although the stream has not ended.
    pub(crate) failure: Option<StreamFailure>,
}

/// Another entry asks about a claim.
#[derive(Debug, Message)]
#[rtype(result = "bool")]
pub(crate) struct AskClaim(pub(crate) ClaimStatusRequest);

/// A caller asks which addresses to use.
#[derive(Debug, Message)]
#[rtype(result = "Result<LocateResponse, Refusal>")]
pub(crate) struct Locate {
    /// The service.
    pub(crate) service: ServiceName,
    /// Text that tells callers apart.
    pub(crate) caller: String,
}

/// A caller asks which models it may use.
#[derive(Debug, Message)]
#[rtype(result = "Result<Vec<ModelView>, Refusal>")]
pub(crate) struct ListModels {
    /// Key of the client account.
    pub(crate) key: Option<PresentedKey>,
}

/// Whether the instance takes new requests.
#[derive(Debug, Message)]
#[rtype(result = "bool")]
pub(crate) struct IsReady;
