//! Every message and effect of one instance, in one place.
//!
//! An instance is two state machines, entry and control. A driver hands each message to its
//! machine together with the present time and carries out the effects that come back; the
//! product's drivers do so with sockets and timers, a test with plain values.

mod control;
mod entry;
mod key;

pub use control::{
    CONTROL_TICK_MS, ControlEffect, ControlMessage, OperatorAnswer, OperatorCall, PeerAnswer,
    PeerCall, PeerFailure,
};
pub use entry::{
    ApplicationFailure, ApplicationReply, CallId, CallerId, CallerRequest, Deadline, EntryEffect,
    EntryMessage, RequestBody, StreamFailure, TICK_MS, TableCall, TableReply,
};
pub use key::PresentedKey;
