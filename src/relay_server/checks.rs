//! Health checks of engines by direct probes, shared by all streams of the instance.

use std::cmp::Ordering;
use std::net::SocketAddr;
use std::rc::Rc;

use futures_util::future::join_all;
use indexmap::IndexMap;

use super::adapter::{Adapter, EngineReport};
use super::node::Node;
use super::probes::{ProbeResult, probe, probe_with_controls};
use crate::clock::boot_ms;
use crate::fleet::{Chain, ChainStage, EndpointFailure, Fleet, KnownEndpoint};
use crate::ids::EndpointId;
use crate::relay::SilenceCause;

/// How long a report is reused by all streams.
const REPORT_TTL_MS: u64 = 400;

/// Results of the most recent checks.
#[derive(Debug, Default)]
pub(crate) struct CheckCache {
    /// Start time of each check in progress. An entry stays if the stream that runs the check is
    /// dropped.
    started_at_ms: IndexMap<EndpointId, u64>,
    healthy: IndexMap<EndpointId, HealthReport>,
}

/// The newest report of a healthy engine.
#[derive(Debug)]
struct HealthReport {
    at_ms: u64,
    /// Requests that wait for another engine, with the address of that engine.
    stalled: Vec<(String, SocketAddr)>,
}

impl CheckCache {
    fn is_due(&self, id: &EndpointId, now_ms: u64) -> bool {
        let is_fresh = self
            .healthy
            .get(id)
            .is_some_and(|report| now_ms < report.at_ms + REPORT_TTL_MS);
        let is_in_progress = self
            .started_at_ms
            .get(id)
            .is_some_and(|at_ms| now_ms < at_ms + REPORT_TTL_MS);
        !is_fresh && !is_in_progress
    }

    /// The engine that a request waits for, according to a report of its first stage from
    /// `since_ms` or later.
    fn waits_for(&self, request: &str, first: &EndpointId, since_ms: u64) -> Option<SocketAddr> {
        let report = self.healthy.get(first).filter(|it| it.at_ms >= since_ms)?;
        let mut stalled = report.stalled.iter();
        let (_, address) = stalled.find(|(id, _)| id == request)?;
        Some(*address)
    }

    /// Drops results that are no longer valid.
    pub(crate) fn sweep(&mut self, now_ms: u64) {
        self.healthy
            .retain(|_, report| now_ms < report.at_ms + REPORT_TTL_MS);
        self.started_at_ms
            .retain(|_, at_ms| now_ms < *at_ms + REPORT_TTL_MS);
    }
}

/// Which process lifetime of an engine a report belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnsweringLifetime {
    /// The lifetime that was probed.
    Current,
    /// The report has no start time.
    Unknown,
    /// A later lifetime: the probed process has exited.
    Newer,
    /// An earlier lifetime: its report is of no use.
    Older,
}

impl AnsweringLifetime {
    /// Whether it may be the lifetime that was probed.
    pub(super) fn may_be_current(self) -> bool {
        matches!(self, Self::Current | Self::Unknown)
    }
}

/// Compares the lifetime that was probed with the one that answered.
pub(super) fn answering_lifetime(probed: &EndpointId, report: &EngineReport) -> AnsweringLifetime {
    let (Some(probed_ms), Some(started_ms)) = (probed.started_unix_ms(), report.started_unix_ms)
    else {
        return AnsweringLifetime::Unknown;
    };
    match started_ms.cmp(&probed_ms) {
        Ordering::Equal => AnsweringLifetime::Current,
        Ordering::Greater => AnsweringLifetime::Newer,
        Ordering::Less => AnsweringLifetime::Older,
    }
}

/// Probes every stage of a chain. Engines that do not answer or have restarted are no longer used.
/// Returns an engine that the first stage has been waiting for, if the run has been silent since
/// `silent_since_ms`.
pub(crate) async fn check_chain<A>(
    node: &Rc<Node<A>>,
    id: &str,
    chain: &Chain,
    silent_since_ms: u64,
) -> Option<SocketAddr>
where
    A: Adapter,
{
    join_all(chain.stages().iter().map(|stage| check(node, stage))).await;
    let first = &chain.first().endpoint;
    node.checks.borrow().waits_for(id, first, silent_since_ms)
}

/// Checks every stage of a chain in the background.
pub(crate) fn check_chain_in_background<A>(node: &Rc<Node<A>>, chain: &Chain)
where
    A: Adapter,
{
    for stage in chain.stages() {
        spawn_check(node, stage);
    }
}

/// Checks one stage in the background.
pub(crate) fn check_in_background<A>(node: &Rc<Node<A>>, stage: &ChainStage)
where
    A: Adapter,
{
    // A failure has just been seen, so an earlier result is no longer valid.
    node.checks
        .borrow_mut()
        .healthy
        .swap_remove(&stage.endpoint);
    spawn_check(node, stage);
}

fn spawn_check<A>(node: &Rc<Node<A>>, stage: &ChainStage)
where
    A: Adapter,
{
    let node = Rc::clone(node);
    let stage = stage.clone();
    actix_rt::spawn(async move { check(&node, &stage).await });
}

async fn check<A>(node: &Rc<Node<A>>, stage: &ChainStage)
where
    A: Adapter,
{
    let id = &stage.endpoint;
    if !node.checks.borrow().is_due(id, boot_ms()) {
        return;
    }
    node.checks
        .borrow_mut()
        .started_at_ms
        .insert(id.clone(), boot_ms());
    let result = probe(node, id, stage.address).await;
    if matches!(result, ProbeResult::Unanswered(_, SilenceCause::Unclear)) {
        // Runs in the background, because the stream that requested the check has events to
        // forward.
        resolve_in_background(node, stage, result);
        return;
    }
    node.checks.borrow_mut().started_at_ms.swap_remove(id);
    handle_result(node, stage, result);
}

/// Determines in the background whether the engine or the link is the cause of the silence.
fn resolve_in_background<A>(node: &Rc<Node<A>>, stage: &ChainStage, unclear: ProbeResult)
where
    A: Adapter,
{
    let node = Rc::clone(node);
    let stage = stage.clone();
    actix_rt::spawn(async move {
        let result = probe_with_controls(&node, &stage.endpoint, stage.address, unclear).await;
        node.checks
            .borrow_mut()
            .started_at_ms
            .swap_remove(&stage.endpoint);
        handle_result(&node, &stage, result);
    });
}

/// Acts on the result of a probe.
pub(super) fn handle_result<A>(node: &Rc<Node<A>>, stage: &ChainStage, result: ProbeResult)
where
    A: Adapter,
{
    apply_result(node, stage, result);
    node.update_quarantine();
}

fn apply_result<A>(node: &Node<A>, stage: &ChainStage, result: ProbeResult)
where
    A: Adapter,
{
    let id = &stage.endpoint;
    let report = match result {
        ProbeResult::Healthy(report) => report,
        ProbeResult::NotListening => {
            node.record_refused(id);
            return;
        }
        ProbeResult::Unanswered(probed_ms, SilenceCause::EngineDead) => {
            node.note_unreachable(id);
            node.record_unanswered(id, probed_ms);
            return;
        }
        ProbeResult::Unanswered(probed_ms, silence) => {
            if silence == SilenceCause::Unclear {
                node.note_unreachable(id);
            }
            log::info!(
                endpoint = id.as_str(),
                shows:? = silence,
                asked_ago_ms = boot_ms().saturating_sub(probed_ms),
                heard_ago_ms = boot_ms().saturating_sub(node.last_heard_ms(id));
                "engine did not answer a probe; not treated as failed"
            );
            node.counters.count("relay.checks.unclear");
            return;
        }
        ProbeResult::Inconclusive => return,
    };
    match answering_lifetime(id, &report) {
        AnsweringLifetime::Current | AnsweringLifetime::Unknown if !report.is_unplaced => {}
        AnsweringLifetime::Current | AnsweringLifetime::Unknown | AnsweringLifetime::Newer => {
            log::warn!(endpoint = id.as_str(), born_unix_ms = report.started_unix_ms; "engine process has restarted");
            node.record_failure(id, EndpointFailure::Ended);
            return;
        }
        AnsweringLifetime::Older => return,
    }
    if let Some(known) = node.fleet.borrow_mut().get_mut(id) {
        // Newer than the endpoint list, which lags behind. An engine whose layers are being changed
        // still completes the runs it has started.
        known.set_reported_layers(report.layers, boot_ms());
    }
    node.record_slowness(id, report.slowness);
    let mut checks = node.checks.borrow_mut();
    let healthy = HealthReport {
        at_ms: boot_ms(),
        stalled: report.stalled,
    };
    checks.healthy.insert(id.clone(), healthy);
}

/// Checks the engines that were slow again.
pub(crate) async fn check_slow<A>(node: &Rc<Node<A>>)
where
    A: Adapter,
{
    let now_ms = boot_ms();
    let slow: Vec<ChainStage> = node
        .fleet
        .borrow()
        .iter()
        .filter(|known| known.health.slowness(now_ms) > 1.0)
        .filter_map(KnownEndpoint::stage)
        .collect();
    join_all(slow.iter().map(|stage| check(node, stage))).await;
}

/// Checks the endpoints whose pause is over and readmits the healthy ones.
pub(crate) async fn check_paused<A>(node: &Rc<Node<A>>)
where
    A: Adapter,
{
    end_unfounded_pauses(node);
    let now_ms = boot_ms();
    let due = paused_to_check(&node.fleet.borrow(), now_ms);
    let checks = due.into_iter().map(|(id, address, is_engine)| async move {
        // Replicas without layers provide no report; the next request shows whether one is healthy.
        let result = if is_engine {
            Some(probe(node, &id, address).await)
        } else {
            None
        };
        let mut fleet = node.fleet.borrow_mut();
        let Some(known) = fleet.get_mut(&id) else {
            return;
        };
        match result {
            // Silence that the link may have caused says nothing new about a suspected engine.
            Some(
                ProbeResult::NotListening
                | ProbeResult::Unanswered(_, SilenceCause::EngineDead | SilenceCause::Unclear),
            ) => {
                known.health.pause(boot_ms());
            }
            Some(ProbeResult::Healthy(report))
                if !answering_lifetime(&id, &report).may_be_current() =>
            {
                known.health.pause(boot_ms());
            }
            Some(ProbeResult::Healthy(report)) => {
                known.set_reported_layers(report.layers, boot_ms());
                readmit_endpoint(known);
            }
            Some(
                ProbeResult::Inconclusive | ProbeResult::Unanswered(_, SilenceCause::EngineLives),
            )
            | None => {
                readmit_endpoint(known);
            }
        }
    });
    join_all(checks).await;
}

/// Endpoints whose pause is over, with their addresses and whether they are engines. The first connection to an
/// endpoint of a service that is not reached ends the pauses of the others.
fn paused_to_check(fleet: &Fleet, now_ms: u64) -> Vec<(EndpointId, SocketAddr, bool)> {
    let due = fleet
        .iter()
        .filter(|known| known.health.needs_check(now_ms))
        .filter(|known| !fleet.reach.is_lost(&known.listed.service));
    let due = due.map(|known| {
        let listed = &known.listed;
        (listed.id.clone(), listed.address, listed.kind.is_some())
    });
    due.collect()
}

/// Ends the pause of engines from which data has arrived since the probe that they did not answer.
fn end_unfounded_pauses<A>(node: &Node<A>) {
    let mut fleet = node.fleet.borrow_mut();
    let living: Vec<EndpointId> = fleet
        .iter()
        .filter(|known| known.heard_since_probe())
        .map(|known| known.id().clone())
        .collect();
    for id in &living {
        if let Some(known) = fleet.get_mut(id) {
            readmit_endpoint(known);
        }
    }
}

fn readmit_endpoint(known: &mut KnownEndpoint) {
    log::info!(endpoint = known.id().as_str(); "endpoint accepts requests again");
    known.health.clear();
}
