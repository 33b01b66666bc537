//! Orders to change the chain of a running stream, and the fencing tokens that they bear.

use std::cell::RefCell;

use indexmap::IndexMap;
use tokio::sync::Mutex;

use super::adapter::{Adapter, EngineControl, OrderFailure};
use super::node::Node;
use super::store_calls::StoreCall;
use crate::clients::TableService;
use crate::clock::boot_ms;
use crate::fleet::Chain;
use crate::ids::ServiceName;
use crate::lease::{KnownToken, OrderToken, lease_read, lease_token};

/// Maximum wait for the response to an order. Callers notice a pause of 200 ms.
const ORDER_TIMEOUT_MS: u64 = 150;
/// Maximum wait for the lease, for the same reason.
const LEASE_READ_TIMEOUT_MS: u64 = 150;
/// Maximum number of times that one order is sent: the token of the first may be out of date.
const MAX_SENDS: u32 = 2;

/// What orders to change chains need, by service.
#[derive(Debug, Default)]
pub(crate) struct Reroutes {
    tokens: RefCell<IndexMap<ServiceName, KnownToken>>,
    /// Locked during a read of a lease, so that all streams of a lost engine read it once.
    reading: Mutex<()>,
}

impl Reroutes {
    fn token(&self, service: &ServiceName, now_ms: u64) -> OrderToken {
        let tokens = self.tokens.borrow();
        let known = tokens.get(service).copied().unwrap_or_default();
        known.for_order(now_ms)
    }

    fn update<F>(&self, service: &ServiceName, update: F)
    where
        F: FnOnce(&mut KnownToken),
    {
        let mut tokens = self.tokens.borrow_mut();
        update(tokens.entry(service.clone()).or_default());
    }
}

/// Name of an order's outcome in counters and log lines.
pub(super) fn outcome_name(result: Result<(), OrderFailure>) -> &'static str {
    result.map_or_else(OrderFailure::name, |()| "taken")
}

impl<A> Node<A>
where
    A: Adapter,
{
    /// Orders the first engine of a running request to switch to another chain.
    ///
    /// # Errors
    ///
    /// [`OrderFailure::Fenced`] also if every known fencing token has been refused.
    pub(crate) async fn reroute(
        &self,
        service: &ServiceName,
        request: &str,
        chain: &Chain,
    ) -> Result<(), OrderFailure> {
        for _ in 0..MAX_SENDS {
            let token = self.reroute_token(service).await?;
            let engines = self.adapter.engines();
            let result = engines
                .reroute(request, chain, token, ORDER_TIMEOUT_MS)
                .await;
            self.count_reroute(result);
            if result != Err(OrderFailure::Fenced) {
                return result;
            }
            log::info!(
                request,
                first = chain.first().endpoint.as_str(),
                fence = token;
                "engine refuses the fencing token of an order to change a chain"
            );
            self.reroutes
                .update(service, |known| known.record_refused(token));
        }
        Err(OrderFailure::Fenced)
    }

    /// The token for an order that is sent now.
    async fn reroute_token(&self, service: &ServiceName) -> Result<Option<u64>, OrderFailure> {
        if let OrderToken::Ready(token) = self.reroutes.token(service, boot_ms()) {
            return Ok(token);
        }
        let _reading = self.reroutes.reading.lock().await;
        // Another stream may have read the lease meanwhile.
        if self.reroutes.token(service, boot_ms()) == OrderToken::ReadFirst {
            self.read_reroute_token(service).await;
        }
        match self.reroutes.token(service, boot_ms()) {
            OrderToken::Ready(token) => Ok(token),
            OrderToken::ReadFirst | OrderToken::Outdated => Err(OrderFailure::Fenced),
        }
    }

    async fn read_reroute_token(&self, service: &ServiceName) {
        let store = self.adapter.store();
        let rows = store
            .read(&lease_read(service), LEASE_READ_TIMEOUT_MS)
            .await;
        self.count_store_call(StoreCall::Lease, rows.is_ok());
        let token = rows.ok().and_then(|rows| lease_token(&rows.rows, service));
        log::info!(service = service.as_str(), fence = token; "read the fencing token for orders to change chains");
        self.reroutes
            .update(service, |known| known.record_read(token, boot_ms()));
    }

    fn count_reroute(&self, result: Result<(), OrderFailure>) {
        let outcome = outcome_name(result);
        self.counters.count("relay.reroutes");
        self.counters.count(&format!("relay.reroutes.{outcome}"));
    }
}
