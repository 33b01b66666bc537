//! Splits a stream into complete events, so that runs are joined only between two events.

use bytes::Bytes;
use thiserror::Error;

use crate::block_buffer::BlockBuffer;

/// Maximum size of an incomplete event.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Bytes on one side of a seam between two pieces that may belong to the end of an event: one less than the longest end.
const SEAM_BYTES: usize = 2;
/// Field that carries the number of an event.
const ID_FIELD: &[u8] = b"id:";

/// Why a stream cannot continue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SplitError {
    /// An event exceeds the buffer limit.
    #[error("event exceeds {} bytes", MAX_EVENT_BYTES)]
    TooLong,
    /// An event does not follow the last one that was forwarded.
    #[error("event {found} received after event {last}")]
    OutOfOrder {
        /// Number of the last event that was forwarded.
        last: u64,
        /// Number of the event that arrived.
        found: u64,
    },
}

/// Events that can be forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteEvents {
    /// The bytes as received.
    pub bytes: Bytes,
    /// Number of events.
    pub count: u32,
}

/// Splits a stream of server-sent events into complete events and tracks their numbers over all
/// runs of a request. Invariant: the numbers of forwarded events increase by one, across runs.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    /// The incomplete event behind those that were returned.
    partial: BlockBuffer,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Starts after an event that the caller already has.
    pub fn resuming_after(last_id: Option<u64>) -> Self {
        Self {
            partial: BlockBuffer::default(),
            last_id,
        }
    }

    /// Number of the last event that was forwarded.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Size of the incomplete event.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Whether there is an incomplete event.
    pub fn has_partial_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Discards the incomplete event, because its run ended in the middle of it.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// Takes bytes of the current run and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<CompleteEvents>, SplitError> {
        if !self.completes_event(bytes) {
            self.keep(bytes)?;
            return Ok(None);
        }
        let mut from = self.partial.len().saturating_sub(SEAM_BYTES);
        let mut received = self.partial.take_joined(bytes);
        let mut end = 0;
        let mut count = 0;
        // Stored only together with the returned bytes: after an error, the next run must resend
        // the rest.
        let mut last_id = self.last_id;
        while let Some(next) = event_end(&received, from) {
            let id = event_id(&received[end..next]);
            last_id = next_id(last_id, id)?;
            end = next;
            from = next;
            count += 1;
        }
        self.keep(&received[end..])?;
        self.last_id = last_id;
        Ok(Some(CompleteEvents {
            bytes: received.split_to(end).freeze(),
            count,
        }))
    }

    /// Whether the incomplete event ends in these bytes.
    fn completes_event(&self, bytes: &[u8]) -> bool {
        let mut seam = self.partial.tail(SEAM_BYTES);
        seam.extend(bytes.iter().take(SEAM_BYTES));
        event_end(&seam, 0).is_some() || event_end(bytes, 0).is_some()
    }

    fn keep(&mut self, bytes: &[u8]) -> Result<(), SplitError> {
        if self.partial.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(SplitError::TooLong);
        }
        self.partial.push(bytes);
        Ok(())
    }
}

/// The id of the last event after `id`, or an error if the event is out of sequence.
fn next_id(last_id: Option<u64>, id: Option<u64>) -> Result<Option<u64>, SplitError> {
    match (last_id, id) {
        (_, None) => Ok(last_id),
        (Some(last), Some(found)) if found != last + 1 => {
            Err(SplitError::OutOfOrder { last, found })
        }
        (_, found) => Ok(found),
    }
}

/// End of the first event that ends after `from`, which is marked by an empty line.
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
