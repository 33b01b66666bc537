//! Whole events of a stream, so that runs are only joined between two events.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// Longest event that is held until it is whole.
const EVENT_LIMIT_BYTES: usize = 1 << 20;
/// Field that numbers an event.
const ID_FIELD: &[u8] = b"id:";

/// Why a stream cannot go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SplitError {
    /// An event is longer than any that is held.
    #[error("an event is too long")]
    TooLong,
    /// An event does not follow the last one that was passed on.
    #[error("event {found} follows event {last}")]
    OutOfOrder {
        /// Number of the last event passed on.
        last: u64,
        /// Number that came.
        found: u64,
    },
}

/// Events that can be passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WholeEvents {
    /// Their bytes, as they came.
    pub bytes: Bytes,
    /// How many.
    pub count: u32,
}

/// Cuts a stream of server-sent events into whole ones and follows their numbers over all runs
/// of a request. Invariant: numbers of the events passed on grow by one, whatever runs they are of.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    waiting: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Starts behind an event that the caller has already.
    pub fn behind(last_id: Option<u64>) -> Self {
        Self {
            waiting: BytesMut::new(),
            last_id,
        }
    }

    /// Number of the last event passed on.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether part of an event is held.
    pub fn is_within_event(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Drops the part of an event that is held: its run ended within it.
    pub fn drop_partial(&mut self) {
        self.waiting.clear();
    }

    /// Takes bytes of the present run and returns the events that are whole now.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<WholeEvents>, SplitError> {
        let searched = self.waiting.len().saturating_sub(3);
        self.waiting.extend_from_slice(bytes);
        let mut end = 0;
        let mut count = 0;
        let mut from = searched;
        // Noted only with the bytes that are handed out: after a fault the next run must bring the rest.
        let mut last_id = self.last_id;
        while let Some(next) = event_end(&self.waiting, from) {
            let id = event_id(&self.waiting[end..next]);
            last_id = follow(last_id, id)?;
            end = next;
            from = next;
            count += 1;
        }
        if self.waiting.len() - end > EVENT_LIMIT_BYTES {
            return Err(SplitError::TooLong);
        }
        self.last_id = last_id;
        let whole = (count > 0).then(|| WholeEvents {
            bytes: self.waiting.split_to(end).freeze(),
            count,
        });
        Ok(whole)
    }
}

/// The last id behind an event; an error if the event does not follow.
fn follow(last_id: Option<u64>, id: Option<u64>) -> Result<Option<u64>, SplitError> {
    match (last_id, id) {
        (_, None) => Ok(last_id),
        (Some(last), Some(found)) if found != last + 1 => {
            Err(SplitError::OutOfOrder { last, found })
        }
        (_, found) => Ok(found),
    }
}

/// End of the first event that ends behind `from`: an empty line.
fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    for at in from..bytes.len() {
        if bytes[at] != b'\n' {
            continue;
        }
        let rest = &bytes[at + 1..];
        if rest.first() == Some(&b'\n') {
            return Some(at + 2);
        }
        if rest.starts_with(b"\r\n") {
            return Some(at + 3);
        }
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(ID_FIELD)?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
