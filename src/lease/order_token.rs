//! The fencing token of orders that a process gives without holding the lease.

/// How long after a read that brought no newer token the next one is due.
const READ_INTERVAL_MS: u64 = 500;

/// What an order needs before it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderToken {
    /// It can be sent with this token, or without one.
    Ready(Option<u64>),
    /// Engines have refused the newest token known here, so that the lease has to be read first.
    ReadFirst,
    /// The same, and the lease was read a moment ago.
    Outdated,
}

/// Newest fencing token of a service that this process knows.
///
/// Some engines refuse an order without a token, or with one older than another that they have seen. Orders bear
/// none until an engine has refused one. A token that was refused is never sent again.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KnownToken {
    /// Newest token read from the lease; 0 if none was.
    newest: u64,
    /// Highest token that was refused, 0 for an order without one; `None` until an engine has refused an order.
    refused: Option<u64>,
    /// When the lease may be read again.
    read_due_ms: u64,
}

impl KnownToken {
    /// The token for an order that is sent at `now_ms`.
    pub(crate) fn for_order(&self, now_ms: u64) -> OrderToken {
        match self.refused {
            None => OrderToken::Ready(None),
            Some(refused) if self.newest > refused => OrderToken::Ready(Some(self.newest)),
            Some(_) if now_ms >= self.read_due_ms => OrderToken::ReadFirst,
            Some(_) => OrderToken::Outdated,
        }
    }

    /// Records that an engine has refused an order with this token.
    pub(crate) fn record_refused(&mut self, token: Option<u64>) {
        self.refused = self.refused.max(Some(token.unwrap_or(0)));
    }

    /// Records the token in the lease, or that it could not be read.
    pub(crate) fn record_read(&mut self, token: Option<u64>, now_ms: u64) {
        self.newest = self.newest.max(token.unwrap_or(0));
        self.read_due_ms = now_ms + READ_INTERVAL_MS;
    }
}
