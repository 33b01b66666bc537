//! Checks of engines by a direct question, shared by all streams of the instance.

use std::cmp::Ordering;
use std::net::SocketAddr;
use std::rc::Rc;

use futures_util::future::join_all;
use indexmap::IndexMap;

use super::adapter::{Adapter, EngineReport};
use super::node::Node;
use super::probes::{Finding, ask, ask_beside_control};
use crate::clock::boot_ms;
use crate::fleet::{Chain, ChainStage, EndpointFailure, KnownEndpoint};
use crate::ids::EndpointId;
use crate::relay::NoAnswer;

/// A report that is newer than this is taken for all streams.
const FRESH_MS: u64 = 400;

/// What the newest checks have shown.
#[derive(Debug, Default)]
pub(crate) struct CheckCache {
    /// When each check under way began; one whose stream went away never says how it ended.
    begun_at_ms: IndexMap<EndpointId, u64>,
    sound: IndexMap<EndpointId, SoundReport>,
}

/// What the newest report of a sound engine says.
#[derive(Debug)]
struct SoundReport {
    at_ms: u64,
    /// Requests that wait for another engine, and that one's address.
    stalled: Vec<(String, SocketAddr)>,
}

impl CheckCache {
    fn is_due(&self, id: &EndpointId, now_ms: u64) -> bool {
        let is_fresh = self
            .sound
            .get(id)
            .is_some_and(|report| now_ms < report.at_ms + FRESH_MS);
        let is_under_way = self
            .begun_at_ms
            .get(id)
            .is_some_and(|at_ms| now_ms < at_ms + FRESH_MS);
        !is_fresh && !is_under_way
    }

    /// The engine that a request waits for, by a report of its first stage from `since_ms` or later.
    fn waits_for(&self, request: &str, first: &EndpointId, since_ms: u64) -> Option<SocketAddr> {
        let report = self.sound.get(first).filter(|it| it.at_ms >= since_ms)?;
        let mut stalled = report.stalled.iter();
        let (_, address) = stalled.find(|(id, _)| id == request)?;
        Some(*address)
    }

    /// Forgets checks that say nothing any more.
    pub(crate) fn sweep(&mut self, now_ms: u64) {
        self.sound
            .retain(|_, report| now_ms < report.at_ms + FRESH_MS);
        self.begun_at_ms
            .retain(|_, at_ms| now_ms < *at_ms + FRESH_MS);
    }
}

/// Which lifetime of an engine's process a report is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnsweringLifetime {
    /// The one that was asked for, as far as the report says.
    Current,
    /// One that has begun since: the one that was asked for has ended.
    Newer,
    /// One that ended before: its word says nothing.
    Older,
}

/// Compares the lifetime that was asked for with the one that has answered.
pub(super) fn answering_lifetime(asked: &EndpointId, report: &EngineReport) -> AnsweringLifetime {
    let (Some(asked_ms), Some(born_ms)) = (asked.started_unix_ms(), report.started_unix_ms) else {
        return AnsweringLifetime::Current;
    };
    match born_ms.cmp(&asked_ms) {
        Ordering::Equal => AnsweringLifetime::Current,
        Ordering::Greater => AnsweringLifetime::Newer,
        Ordering::Less => AnsweringLifetime::Older,
    }
}

/// Asks every stage of a chain how it is. Engines that do not answer, or have started anew, are
/// left out from here on. Returns an engine that the first stage waits for, where the run has been
/// silent since `silent_since_ms`.
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

/// Checks every stage of a chain beside whatever else goes on.
pub(crate) fn check_chain_beside<A>(node: &Rc<Node<A>>, chain: &Chain)
where
    A: Adapter,
{
    for stage in chain.stages() {
        spawn_check(node, stage);
    }
}

/// Checks one stage beside whatever else goes on.
pub(crate) fn check_in_background<A>(node: &Rc<Node<A>>, stage: &ChainStage)
where
    A: Adapter,
{
    // Something was wrong just now, so an older finding says nothing.
    node.checks.borrow_mut().sound.swap_remove(&stage.endpoint);
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
        .begun_at_ms
        .insert(id.clone(), boot_ms());
    let finding = ask(node, id, stage.address).await;
    if matches!(finding, Finding::Unanswered(_, NoAnswer::Unclear)) {
        // Not waited for: the stream that asks has events to pass on.
        settle_beside(node, stage, finding);
        return;
    }
    node.checks.borrow_mut().begun_at_ms.swap_remove(id);
    take_finding(node, stage, finding);
}

/// Finds out beside the asking stream whether the engine or the link is silent.
fn settle_beside<A>(node: &Rc<Node<A>>, stage: &ChainStage, unclear: Finding)
where
    A: Adapter,
{
    let node = Rc::clone(node);
    let stage = stage.clone();
    actix_rt::spawn(async move {
        let finding = ask_beside_control(&node, &stage.endpoint, stage.address, unclear).await;
        node.checks
            .borrow_mut()
            .begun_at_ms
            .swap_remove(&stage.endpoint);
        take_finding(&node, &stage, finding);
    });
}

/// Acts on what a question has shown.
fn take_finding<A>(node: &Rc<Node<A>>, stage: &ChainStage, finding: Finding)
where
    A: Adapter,
{
    read_finding(node, stage, finding);
    node.update_quarantine();
}

fn read_finding<A>(node: &Node<A>, stage: &ChainStage, finding: Finding)
where
    A: Adapter,
{
    let id = &stage.endpoint;
    let report = match finding {
        Finding::Sound(report) => report,
        Finding::Ended => {
            node.record_failure(id, EndpointFailure::Ended);
            return;
        }
        Finding::Unanswered(asked_ms, NoAnswer::EngineDead) => {
            node.record_unanswered(id, asked_ms);
            return;
        }
        Finding::Unanswered(asked_ms, no_answer) => {
            log::info!(
                endpoint = id.as_str(),
                shows:? = no_answer,
                asked_ago_ms = boot_ms().saturating_sub(asked_ms),
                heard_ago_ms = boot_ms().saturating_sub(node.last_heard_ms(id));
                "engine did not answer; not counted against it"
            );
            node.counters.count("relay.checks.unclear");
            return;
        }
        Finding::Nothing => return,
    };
    match answering_lifetime(id, &report) {
        AnsweringLifetime::Current if !report.is_unplaced => {}
        AnsweringLifetime::Current | AnsweringLifetime::Newer => {
            log::warn!(endpoint = id.as_str(), born_unix_ms = report.started_unix_ms; "engine has started anew");
            node.record_failure(id, EndpointFailure::Ended);
            return;
        }
        AnsweringLifetime::Older => return,
    }
    if let Some(known) = node.fleet.borrow_mut().get_mut(id) {
        // Newer than the list, which shows layers with a lag. An engine that is being moved still
        // runs what it has begun.
        known.set_reported_layers(report.layers, boot_ms());
    }
    node.record_slowness(id, report.slowness);
    let mut checks = node.checks.borrow_mut();
    let sound = SoundReport {
        at_ms: boot_ms(),
        stalled: report.stalled,
    };
    checks.sound.insert(id.clone(), sound);
}

/// Asks the engines that were slow again.
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

/// Asks the endpoints whose pause is over, and lets those that are sound take work again.
pub(crate) async fn check_paused<A>(node: &Rc<Node<A>>)
where
    A: Adapter,
{
    end_false_pauses(node);
    let now_ms = boot_ms();
    let due: Vec<(EndpointId, SocketAddr, bool)> = node
        .fleet
        .borrow()
        .iter()
        .filter(|known| known.health.needs_check(now_ms))
        .map(|known| {
            let listed = &known.listed;
            (listed.id.clone(), listed.address, listed.kind.is_some())
        })
        .collect();
    let checks = due.into_iter().map(|(id, address, is_engine)| async move {
        // Replicas without layers make no report; a request will show whether one is sound.
        let finding = if is_engine {
            Some(ask(node, &id, address).await)
        } else {
            None
        };
        let mut fleet = node.fleet.borrow_mut();
        let Some(known) = fleet.get_mut(&id) else {
            return;
        };
        match finding {
            // Silence that may be the link's says nothing new of an engine in doubt.
            Some(
                Finding::Ended | Finding::Unanswered(_, NoAnswer::EngineDead | NoAnswer::Unclear),
            ) => {
                known.health.pause(boot_ms());
            }
            Some(Finding::Sound(report))
                if answering_lifetime(&id, &report) != AnsweringLifetime::Current =>
            {
                known.health.pause(boot_ms());
            }
            Some(Finding::Sound(report)) => {
                known.set_reported_layers(report.layers, boot_ms());
                takes_work_again(known);
            }
            Some(Finding::Nothing | Finding::Unanswered(_, NoAnswer::EngineLives)) | None => {
                takes_work_again(known);
            }
        }
    });
    join_all(checks).await;
}

/// Ends the pause of engines from which something has come since the question that they did not answer.
fn end_false_pauses<A>(node: &Node<A>) {
    let mut fleet = node.fleet.borrow_mut();
    let living: Vec<EndpointId> = fleet
        .iter()
        .filter(|known| known.heard_since_probe())
        .map(|known| known.id().clone())
        .collect();
    for id in &living {
        if let Some(known) = fleet.get_mut(id) {
            takes_work_again(known);
        }
    }
}

fn takes_work_again(known: &mut KnownEndpoint) {
    log::info!(endpoint = known.id().as_str(); "endpoint takes work again");
    known.health.clear();
}
