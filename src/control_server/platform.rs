//! Calls of the control to the platform and to engines.

use std::net::SocketAddr;

use serde::Serialize;

use super::traffic::{OtherSide, Traffic};
use crate::clients::{
    EngineApi, EngineCallFailure, HttpEngines, HttpInstances, HttpTable, InstanceListFailure,
    InstanceSource, TableFailure, call_table,
};
use crate::instance::{TableCall, TableReply};
use crate::settings::Settings;
use crate::wire::engine::{EngineOrder, EngineState};
use crate::wire::platform::InstanceList;

/// Bytes of the head of a request or reply, as measured with the HTTP library in use. The adapters
/// hand out bodies only, so heads are counted at this size.
const HEAD_BYTES: usize = 150;

/// The platform's adapters.
pub(super) struct Platform {
    table: HttpTable,
    instances: HttpInstances,
    engines: HttpEngines,
    traffic: Traffic,
}

impl Platform {
    /// Adapters under the settings' addresses.
    pub(super) fn new(settings: &Settings, traffic: Traffic) -> Self {
        Self {
            table: HttpTable::new(&settings.platform.table_url),
            instances: HttpInstances::new(&settings.platform.instances_url)
                .with_reader(settings.instance.name.as_str()),
            engines: HttpEngines::new(),
            traffic,
        }
    }

    /// Calls the table service.
    pub(super) async fn call_table(
        &self,
        call: TableCall,
        timeout_ms: u64,
    ) -> Result<TableReply, TableFailure> {
        self.sent(&call);
        let result = call_table(&self.table, &call, timeout_ms).await;
        self.received(&result);
        result
    }

    /// Reads the instance list.
    pub(super) async fn instances(
        &self,
        timeout_ms: u64,
    ) -> Result<Option<InstanceList>, InstanceListFailure> {
        self.sent(&());
        let result = self.instances.list(timeout_ms).await;
        self.received(&result);
        result
    }

    /// Asks an engine what it holds.
    pub(super) async fn engine_state(
        &self,
        address: SocketAddr,
        timeout_ms: u64,
    ) -> Result<EngineState, EngineCallFailure> {
        self.sent(&());
        let result = self.engines.state(address, timeout_ms).await;
        self.received(&result);
        result
    }

    /// Sends an order to an engine.
    pub(super) async fn order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
        timeout_ms: u64,
    ) -> Result<EngineState, EngineCallFailure> {
        self.sent(order);
        let result = self.engines.order(address, order, timeout_ms).await;
        self.received(&result);
        result
    }

    fn sent<T>(&self, body: &T)
    where
        T: Serialize,
    {
        let bytes = HEAD_BYTES + json_bytes(body);
        self.traffic.sent(OtherSide::Platform, bytes);
    }

    fn received<T, E>(&self, result: &Result<T, E>)
    where
        T: Serialize,
    {
        if let Ok(body) = result {
            let bytes = HEAD_BYTES + json_bytes(body);
            self.traffic.received(OtherSide::Platform, bytes);
        }
    }
}

fn json_bytes<T>(body: &T) -> usize
where
    T: Serialize,
{
    let mut counter = ByteCounter(0);
    match serde_json::to_writer(&mut counter, body) {
        Ok(()) => counter.0,
        Err(_) => 0,
    }
}

struct ByteCounter(usize);

impl std::io::Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
