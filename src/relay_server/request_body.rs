//! Reads the bodies of callers' requests, within the memory that all of them share.

use std::time::Duration;

use actix_http::header::{CONTENT_LENGTH, HeaderMap};
use actix_http::{BoxedPayloadStream, Payload};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;

use super::memory_budget::{MemoryBudget, MemoryShare};
use crate::event_loop::timeout;

/// Timeout for the arrival of a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Size up to which a body may use the whole budget.
const SMALL_BODY_BYTES: usize = 16 << 10;
/// Part of the budget, as a divisor, that is reserved for small bodies.
const SMALL_BODIES_PART: usize = 8;

/// A body that has been read completely.
#[derive(Debug)]
pub(crate) struct RequestBody {
    pub(super) bytes: Bytes,
    /// Its memory, to be kept as long as the body.
    pub(super) share: MemoryShare,
}

/// Why a request body was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyError {
    /// It is longer than the operator allows.
    TooLarge,
    /// It did not arrive in time.
    TimedOut,
    /// It is malformed, or its caller has left.
    Malformed,
    /// The bodies of other requests use the memory.
    NoMemory,
    /// The instance stopped before it had arrived.
    ServingEnded,
}

/// Reads the body of a request. Memory for a body of announced length is taken before it is read, so that bodies
/// which are half read do not block one another. A body without memory is read to its end and discarded, because
/// a caller that is still sending would not read the refusal.
pub(super) async fn read_body(
    headers: &HeaderMap,
    mut payload: Payload<BoxedPayloadStream>,
    limit_bytes: usize,
    budget: &MemoryBudget,
) -> Result<RequestBody, BodyError> {
    let announced_bytes = announced_bytes(headers);
    if announced_bytes > limit_bytes {
        return Err(BodyError::TooLarge);
    }
    let read = async {
        let mut held = HeldBody::new(budget);
        held.reserve(announced_bytes);
        let mut read_bytes = 0;
        while let Some(piece) = payload.next().await {
            let piece = piece.map_err(|_| BodyError::Malformed)?;
            read_bytes += piece.len();
            if read_bytes > limit_bytes {
                return Err(BodyError::TooLarge);
            }
            held.reserve(read_bytes);
            held.push(&piece);
        }
        held.into_body().ok_or(BodyError::NoMemory)
    };
    let read = timeout(BODY_TIMEOUT, read).await;
    read.unwrap_or(Err(BodyError::TimedOut))
}

/// The part of a body that has been read, as long as there is memory for it.
struct HeldBody<'a> {
    budget: &'a MemoryBudget,
    held: Option<(BytesMut, MemoryShare)>,
}

impl<'a> HeldBody<'a> {
    fn new(budget: &'a MemoryBudget) -> Self {
        Self {
            budget,
            held: Some((BytesMut::new(), budget.begin())),
        }
    }

    /// Takes memory for a body of this size, or drops what is held if there is not enough.
    fn reserve(&mut self, body_bytes: usize) {
        let budget = self.budget;
        let _ = self
            .held
            .take_if(|(_, share)| !take_memory(share, body_bytes, budget));
        if let Some((bytes, _)) = &mut self.held {
            // A buffer that grows as the body arrives takes up to three times its size.
            bytes.reserve(body_bytes.saturating_sub(bytes.len()));
        }
    }

    fn push(&mut self, piece: &[u8]) {
        if let Some((bytes, _)) = &mut self.held {
            bytes.extend_from_slice(piece);
        }
    }

    fn into_body(self) -> Option<RequestBody> {
        let (bytes, share) = self.held?;
        Some(RequestBody {
            bytes: bytes.freeze(),
            share,
        })
    }
}

/// Takes memory for a body of this size. Returns whether there is enough. Large bodies leave part of the budget to
/// small ones, so that a few callers cannot block all others.
fn take_memory(share: &mut MemoryShare, body_bytes: usize, budget: &MemoryBudget) -> bool {
    if body_bytes <= SMALL_BODY_BYTES {
        return share.grow_to(body_bytes);
    }
    let max_bytes = budget.max_bytes() - budget.max_bytes() / SMALL_BODIES_PART;
    let further_bytes = share.missing_bytes(body_bytes);
    budget.used_bytes() + further_bytes <= max_bytes && share.grow_to(body_bytes)
}

/// Length of the body as its head announces it; 0 if it does not.
fn announced_bytes(headers: &HeaderMap) -> usize {
    let length = headers.get(CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.trim().parse().ok());
    length.unwrap_or(0)
}
