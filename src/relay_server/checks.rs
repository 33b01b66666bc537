//! Checks of engines by a direct question, shared by all streams of the instance.

use std::net::SocketAddr;
use std::rc::Rc;

use futures_util::future::join_all;
use indexmap::IndexMap;

use super::adapter::{Adapter, EngineControl, EngineReport};
use super::node::Node;
use crate::clock::boot_ms;
use crate::fleet::{Chain, ChainStage, Trouble};
use crate::ids::EndpointId;

/// Longest wait for an engine's report. A round trip takes a few milliseconds at most.
const REPORT_TIMEOUT_MS: u64 = 90;
/// A report that is newer than this is taken for all streams.
const FRESH_MS: u64 = 120;

/// What the newest checks have shown.
#[derive(Debug, Default)]
pub(crate) struct CheckBook {
    /// When each check under way began; one whose stream went away never says how it ended.
    begun_at_ms: IndexMap<EndpointId, u64>,
    sound_at_ms: IndexMap<EndpointId, u64>,
}

impl CheckBook {
    fn is_due(&self, id: &EndpointId, now_ms: u64) -> bool {
        let is_fresh = self
            .sound_at_ms
            .get(id)
            .is_some_and(|at_ms| now_ms < at_ms + FRESH_MS);
        let is_under_way = self
            .begun_at_ms
            .get(id)
            .is_some_and(|at_ms| now_ms < at_ms + REPORT_TIMEOUT_MS);
        !is_fresh && !is_under_way
    }

    /// Forgets checks that say nothing any more.
    pub(crate) fn sweep(&mut self, now_ms: u64) {
        self.sound_at_ms
            .retain(|_, at_ms| now_ms < *at_ms + FRESH_MS);
        self.begun_at_ms
            .retain(|_, at_ms| now_ms < *at_ms + REPORT_TIMEOUT_MS);
    }
}

/// Asks every stage of a chain how it is. Engines that do not answer, or no longer hold their
/// layers, are left out from here on. Returns an engine that the first stage waits for.
pub(crate) async fn check_chain<A>(
    node: &Rc<Node<A>>,
    id: &str,
    chain: &Chain,
) -> Option<SocketAddr>
where
    A: Adapter,
{
    let reports = join_all(chain.stages().iter().map(|stage| check(node, stage))).await;
    let first = reports.into_iter().next().flatten()?;
    let waits = first.stalled.into_iter().find(|(stalled, _)| stalled == id);
    waits.map(|(_, address)| address)
}

async fn check<A>(node: &Rc<Node<A>>, stage: &ChainStage) -> Option<EngineReport>
where
    A: Adapter,
{
    let id = &stage.endpoint;
    if !node.checks.borrow().is_due(id, boot_ms()) {
        return None;
    }
    node.checks
        .borrow_mut()
        .begun_at_ms
        .insert(id.clone(), boot_ms());
    let engines = node.adapter.engines();
    let report = engines.report(stage.address, REPORT_TIMEOUT_MS).await.ok();
    node.checks.borrow_mut().begun_at_ms.swap_remove(id);
    node.counters.count("relay.checks");
    let holds = |report: &EngineReport| {
        let held = report.layers;
        held.is_some_and(|held| held.covers(stage.layers))
    };
    match report {
        Some(report) if holds(&report) => {
            let mut checks = node.checks.borrow_mut();
            checks.sound_at_ms.insert(id.clone(), boot_ms());
            Some(report)
        }
        Some(_) => {
            log::warn!(endpoint = id.as_str(); "engine does not hold its layers any more");
            node.troubled(id, Trouble::Unreachable);
            None
        }
        None => {
            node.troubled(id, Trouble::Unreachable);
            None
        }
    }
}

/// Asks the endpoints whose pause is over, and lets those that are sound take work again.
pub(crate) async fn check_paused<A>(node: &Rc<Node<A>>)
where
    A: Adapter,
{
    let now_ms = boot_ms();
    let due: Vec<(EndpointId, SocketAddr, bool)> = node
        .fleet
        .borrow()
        .iter()
        .filter(|known| known.standing.needs_check(now_ms))
        .map(|known| {
            let listed = &known.listed;
            (listed.id.clone(), listed.address, listed.kind.is_some())
        })
        .collect();
    let checks = due.into_iter().map(|(id, address, is_engine)| async move {
        // Replicas without layers make no report; a request will show whether one is sound.
        let is_sound = !is_engine
            || node
                .adapter
                .engines()
                .report(address, REPORT_TIMEOUT_MS)
                .await
                .is_ok();
        let mut fleet = node.fleet.borrow_mut();
        let Some(known) = fleet.get_mut(&id) else {
            return;
        };
        if is_sound {
            log::info!(endpoint = id.as_str(); "endpoint takes work again");
            known.standing.clear();
        } else {
            known.standing.pause(boot_ms());
        }
    });
    join_all(checks).await;
}
