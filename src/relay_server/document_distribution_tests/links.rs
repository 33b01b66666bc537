//! Links as queues of bytes. Those that are handed something at the same time share their sender's link
//! slice by slice, as connections do.

use std::collections::VecDeque;

use indexmap::IndexMap;

const SLICE_BYTES: usize = 16 << 10;

/// One call's bytes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Transfer {
    pub(super) from: usize,
    pub(super) to: usize,
    pub(super) version: u64,
    /// Length of what is handed over by this call.
    pub(super) bytes: usize,
    unsent_bytes: usize,
}

struct Link {
    bytes_per_ms: usize,
    /// Until when what was sent to this instance takes up its link.
    taken_until_us: u64,
    ready: VecDeque<u64>,
    is_sending: bool,
}

/// What happens on links, and after how long.
pub(super) enum LinkEvent {
    /// A slice of a call has left its sender.
    SliceSent {
        call: u64,
        from: usize,
        bytes: usize,
    },
    /// A slice of a call has come.
    SliceCame { call: u64 },
}

/// All links, and the calls that go over them.
pub(super) struct Links {
    links: Vec<Link>,
    transfers: IndexMap<u64, Transfer>,
    pub(super) most_queued_ms: u64,
    pub(super) wasted_bytes: usize,
}

impl Links {
    pub(super) fn new(speeds_mbps: &[u32]) -> Self {
        let link = |mbps: &u32| Link {
            bytes_per_ms: *mbps as usize * 125,
            taken_until_us: 0,
            ready: VecDeque::new(),
            is_sending: false,
        };
        Self {
            links: speeds_mbps.iter().map(link).collect(),
            transfers: IndexMap::new(),
            most_queued_ms: 0,
            wasted_bytes: 0,
        }
    }

    /// A link carries only a part of what is said of it.
    pub(super) fn slow_down(&mut self, index: usize, times: usize) {
        self.links[index].bytes_per_ms /= times;
    }

    pub(super) fn begin(
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
        let of_it = self.transfers.values().filter(|it| it.from == from);
        let queued_bytes: usize = of_it.map(|it| it.unsent_bytes).sum();
        let queued_ms = (queued_bytes / self.links[from].bytes_per_ms) as u64;
        self.most_queued_ms = self.most_queued_ms.max(queued_ms);
        self.send(from)
    }

    /// The sender's next slice, unless one is on its way out.
    fn send(&mut self, from: usize) -> Option<(u64, LinkEvent)> {
        let link = &mut self.links[from];
        if link.is_sending {
            return None;
        }
        while let Some(call) = link.ready.pop_front() {
            let Some(transfer) = self.transfers.get(&call) else {
                continue;
            };
            link.is_sending = true;
            let bytes = transfer.unsent_bytes.min(SLICE_BYTES);
            let after_us = (bytes * 1_000 / link.bytes_per_ms) as u64;
            return Some((after_us, LinkEvent::SliceSent { call, from, bytes }));
        }
        None
    }

    /// What follows after a slice has left: its arrival, and the sender's next.
    pub(super) fn slice_sent(
        &mut self,
        (call, from, bytes): (u64, usize, usize),
        now_us: u64,
    ) -> Vec<(u64, LinkEvent)> {
        let mut follows = Vec::new();
        self.links[from].is_sending = false;
        if let Some(transfer) = self.transfers.get_mut(&call) {
            transfer.unsent_bytes -= bytes;
            let to = &mut self.links[transfer.to];
            let takes_us = (bytes * 1_000 / to.bytes_per_ms) as u64;
            // It begins to come when it begins to leave.
            to.taken_until_us = now_us.max(to.taken_until_us + takes_us);
            let after_us = to.taken_until_us - now_us;
            follows.push((after_us, LinkEvent::SliceCame { call }));
        }
        follows.extend(self.send(from));
        follows
    }

    /// The call's next slice, or the whole call if it has come.
    pub(super) fn slice_came(&mut self, call: u64) -> (Option<Transfer>, Option<(u64, LinkEvent)>) {
        let Some(transfer) = self.transfers.get(&call).copied() else {
            return (None, None);
        };
        if transfer.unsent_bytes == 0 {
            self.transfers.swap_remove(&call);
            return (Some(transfer), None);
        }
        self.links[transfer.from].ready.push_back(call);
        (None, self.send(transfer.from))
    }

    /// Ends a call that has not come whole.
    pub(super) fn give_up(&mut self, call: u64) {
        if let Some(transfer) = self.transfers.swap_remove(&call) {
            self.wasted_bytes += transfer.bytes - transfer.unsent_bytes;
        }
    }

    /// Ends all calls that an instance answers.
    pub(super) fn cut(&mut self, from: usize) {
        self.transfers.retain(|_, it| it.from != from);
    }
}
