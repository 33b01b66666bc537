//! A small fleet's stand-ins without the system between them.

use std::net::SocketAddr;
use std::time::Duration;

use fescue_bench::deployment;
use fescue_bench::fleet::Fleet;
use fescue_bench::standin::faults::{Fault, FaultRequest};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// How long anything that must happen may take on a busy machine.
pub const LIMIT: Duration = Duration::from_secs(60);

/// Starts the stand-ins of the small fleet.
pub async fn start() -> Fleet {
    let small = deployment::read("small").expect("deployment");
    let mut fleet = Fleet::prepare(small).expect("fleet");
    fleet.start_standins().await.expect("stand-ins");
    fleet
}

/// Applies a fault.
pub async fn apply(fleet: &Fleet, address: SocketAddr, request: FaultRequest) {
    let posted = fleet.standins().post(address, "/standin/faults", &request);
    posted.await.expect("fault");
}

/// Applies a fault of the asked listener itself.
pub async fn apply_here(fleet: &Fleet, address: SocketAddr, fault: Fault) {
    apply(fleet, address, FaultRequest::here(fault)).await;
}

/// Posts JSON and reads the whole reply; `None` without one, or if it refuses.
pub async fn post<A, R>(address: SocketAddr, path: &str, ask: &A) -> Option<R>
where
    A: Serialize,
    R: DeserializeOwned,
{
    let client = awc::Client::builder().timeout(LIMIT).finish();
    let sent = client.post(format!("http://{address}{path}"));
    let mut reply = sent.send_json(ask).await.ok()?;
    reply.json().await.ok()
}
