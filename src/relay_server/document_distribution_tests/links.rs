//! Links modelled as queues of bytes. Concurrent transfers from the same sender share its link
//! chunk by chunk, as TCP connections do.

use std::collections::VecDeque;

use indexmap::IndexMap;

const CHUNK_BYTES: usize = 16 << 10;

/// The response to one call.
#[derive(Clone, Copy, Debug)]
pub(super) struct Transfer {
    pub(super) from: usize,
    pub(super) to: usize,
    pub(super) version: u64,
    pub(super) bytes: usize,
    unsent_bytes: usize,
}

struct Link {
    bytes_per_ms: usize,
    /// Until when the link is busy receiving.
    busy_until_us: u64,
    /// Calls with unsent chunks.
    ready: VecDeque<u64>,
    is_sending: bool,
}

/// What happens on links. The functions below return it with the delay after which it happens.
pub(super) enum LinkEvent {
    /// A chunk has left its sender.
    ChunkSent {
        call: u64,
        from: usize,
        bytes: usize,
    },
    /// A chunk has arrived.
    ChunkReceived { call: u64 },
}

/// All links and the transfers over them.
pub(super) struct Links {
    links: Vec<Link>,
    transfers: IndexMap<u64, Transfer>,
    pub(super) max_queued_ms: u64,
    pub(super) wasted_bytes: usize,
}

impl Links {
    pub(super) fn new(speeds_mbps: &[u32]) -> Self {
        let link = |mbps: &u32| Link {
            bytes_per_ms: *mbps as usize * 125,
            busy_until_us: 0,
            ready: VecDeque::new(),
            is_sending: false,
        };
        Self {
            links: speeds_mbps.iter().map(link).collect(),
            transfers: IndexMap::new(),
            max_queued_ms: 0,
            wasted_bytes: 0,
        }
    }

    /// Divides the actual speed of a link. Its announced speed stays the same.
    pub(super) fn slow_down(&mut self, index: usize, factor: usize) {
        self.links[index].bytes_per_ms /= factor;
    }

    pub(super) fn start_transfer(
        &mut self,
        call: u64,
        (from, to): (usize, usize),
        (version, bytes): (u64, usize),
    ) -> Option<(u64, LinkEvent)> {
        let transfer = Transfer {
            from,
            to,
            version,
            bytes,
            unsent_bytes: bytes,
        };
        self.transfers.insert(call, transfer);
        self.links[from].ready.push_back(call);
        let from_same_sender = self.transfers.values().filter(|it| it.from == from);
        let queued_bytes: usize = from_same_sender.map(|it| it.unsent_bytes).sum();
        let queued_ms = (queued_bytes / self.links[from].bytes_per_ms) as u64;
        self.max_queued_ms = self.max_queued_ms.max(queued_ms);
        self.send_next_chunk(from)
    }

    /// Sends the sender's next chunk, unless it is already sending one.
    fn send_next_chunk(&mut self, from: usize) -> Option<(u64, LinkEvent)> {
        let link = &mut self.links[from];
        if link.is_sending {
            return None;
        }
        while let Some(call) = link.ready.pop_front() {
            let Some(transfer) = self.transfers.get(&call) else {
                continue;
            };
            link.is_sending = true;
            let bytes = transfer.unsent_bytes.min(CHUNK_BYTES);
            let after_us = (bytes * 1_000 / link.bytes_per_ms) as u64;
            return Some((after_us, LinkEvent::ChunkSent { call, from, bytes }));
        }
        None
    }

    /// Returns the chunk's arrival and the end of sending the next one.
    pub(super) fn on_chunk_sent(
        &mut self,
        (call, from, bytes): (u64, usize, usize),
        now_us: u64,
    ) -> Vec<(u64, LinkEvent)> {
        let mut events = Vec::new();
        self.links[from].is_sending = false;
        if let Some(transfer) = self.transfers.get_mut(&call) {
            transfer.unsent_bytes -= bytes;
            let to = &mut self.links[transfer.to];
            let receive_us = (bytes * 1_000 / to.bytes_per_ms) as u64;
            // The receiver gets the first bytes as soon as the sender starts sending.
            to.busy_until_us = now_us.max(to.busy_until_us + receive_us);
            let after_us = to.busy_until_us - now_us;
            events.push((after_us, LinkEvent::ChunkReceived { call }));
        }
        events.extend(self.send_next_chunk(from));
        events
    }

    /// Returns the transfer if it is complete, or else the end of sending the next chunk.
    pub(super) fn on_chunk_received(
        &mut self,
        call: u64,
    ) -> (Option<Transfer>, Option<(u64, LinkEvent)>) {
        let Some(transfer) = self.transfers.get(&call).copied() else {
            return (None, None);
        };
        if transfer.unsent_bytes == 0 {
            self.transfers.swap_remove(&call);
            return (Some(transfer), None);
        }
        self.links[transfer.from].ready.push_back(call);
        (None, self.send_next_chunk(transfer.from))
    }

    /// Aborts an incomplete transfer.
    pub(super) fn abort(&mut self, call: u64) {
        if let Some(transfer) = self.transfers.swap_remove(&call) {
            self.wasted_bytes += transfer.bytes - transfer.unsent_bytes;
        }
    }

    /// Drops all transfers from a sender.
    pub(super) fn drop_sender(&mut self, from: usize) {
        self.transfers.retain(|_, it| it.from != from);
    }
}
