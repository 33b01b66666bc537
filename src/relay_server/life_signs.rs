//! Signs of life of replicas, which a request awaits before it is sent to another one of them.
//!
//! Replicas that stand still together look like healthy ones: what they did before was sound, and the kernel goes on
//! accepting their connections. A request that is sent to one of them then is read once it goes on, when its caller may
//! have left. Only data that arrives from a replica shows that it is running.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexSet;
use tokio::time::{sleep, timeout};

use super::adapter::{Adapter, EngineControl, OrderFailure};
use super::node::Node;
use crate::clock::boot_ms;
use crate::ids::EndpointId;

/// Maximum number of replicas that are probed for one request at a time.
const MAX_PROBED: usize = 3;
/// Timeout of a probe. A replica that stands still answers it as soon as it goes on.
const PROBE_TIMEOUT_MS: u64 = 1_000;
/// Interval after which a request looks for replicas again although none was heard: probes may have been lost, and
/// the list may have changed.
const RECHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Replicas that are being probed for signs of life, or whose probe has just failed. All requests share the probes.
pub(crate) type ProbedReplicas = IndexSet<EndpointId>;

impl<A> Node<A>
where
    A: Adapter,
{
    /// Records that data has arrived from an endpoint.
    pub(crate) fn record_heard(&self, endpoint: &EndpointId) {
        if let Some(known) = self.fleet.borrow().get(endpoint) {
            known.last_heard.record(boot_ms());
        }
        self.replica_signal.notify_waiters();
    }

    /// When data last arrived from an endpoint or through it; 0 if none has.
    pub(crate) fn last_heard_ms(&self, endpoint: &EndpointId) -> u64 {
        let fleet = self.fleet.borrow();
        fleet
            .get(endpoint)
            .map_or(0, |known| known.last_heard.at_ms())
    }

    /// Waits until `choose` returns a result. Meanwhile, the replicas that it names are probed. It is called again
    /// whenever an endpoint has been heard, and from time to time.
    pub(super) async fn await_life_sign<T, F>(
        self: &Rc<Self>,
        health_path: &str,
        mut choose: F,
    ) -> T
    where
        F: FnMut() -> Result<T, Vec<EndpointId>>,
    {
        loop {
            let mut heard = pin!(self.replica_signal.notified());
            heard.as_mut().enable();
            match choose() {
                Ok(chosen) => return chosen,
                Err(silent) => {
                    for endpoint in silent.iter().take(MAX_PROBED) {
                        self.probe_for_life(endpoint, health_path);
                    }
                }
            }
            // Without a sign of life, replicas are looked for again after the interval.
            let _ = timeout(RECHECK_INTERVAL, heard).await;
        }
    }

    /// Probes a replica in the background, unless a probe of it is in progress or has just failed.
    fn probe_for_life(self: &Rc<Self>, endpoint: &EndpointId, health_path: &str) {
        if !self.probed_replicas.borrow_mut().insert(endpoint.clone()) {
            return;
        }
        let (node, endpoint, path) = (Rc::clone(self), endpoint.clone(), health_path.to_owned());
        actix_rt::spawn(async move {
            if !probe(&node, &endpoint, &path).await {
                // A refused connection would be repeated at once for as long as a request waits.
                sleep(RECHECK_INTERVAL).await;
            }
            node.probed_replicas.borrow_mut().swap_remove(&endpoint);
        });
    }
}

/// Probes a replica. Returns whether it has answered.
async fn probe<A>(node: &Node<A>, endpoint: &EndpointId, health_path: &str) -> bool
where
    A: Adapter,
{
    let Some(address) = node.address_of(endpoint) else {
        return false;
    };
    node.counters.count("relay.checks");
    let asked_ms = boot_ms();
    let engines = node.adapter.engines();
    let answer = engines
        .identify(address, health_path, PROBE_TIMEOUT_MS)
        .await;
    log::info!(
        endpoint = endpoint.as_str(),
        took_ms = boot_ms().saturating_sub(asked_ms),
        failure = answer.as_ref().err().map(ToString::to_string);
        "replica was probed for a sign of life"
    );
    match answer {
        Ok(name) if name.as_ref().is_none_or(|it| *it == endpoint.name()) => {
            node.record_heard(endpoint);
            return true;
        }
        // Another process has taken over the address.
        Ok(_) => {}
        Err(OrderFailure::NoListener) => node.record_refused(endpoint),
        // It may be this instance that is partitioned from the replica.
        Err(_) => node.note_unreachable(endpoint),
    }
    false
}
