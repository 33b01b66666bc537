//! Probes of engines, and whether a missing reply is caused by the engine or by the link.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream::FuturesUnordered;
use indexmap::IndexMap;
use tokio::time::sleep;

use super::adapter::{Adapter, EngineControl, EngineReport, OrderFailure};
use super::node::Node;
use crate::clock::boot_ms;
use crate::fleet::{Fleet, KnownEndpoint};
use crate::ids::EndpointId;
use crate::relay::{PROBE_OFFSETS_MS, PROBE_TIMEOUT_MS, PROMPT_REPLY_MS, SilenceCause};

/// Maximum wait for a report where the link may be saturated. The stream that requested the check
/// checks again 250 ms after its first check.
const EXTENDED_TIMEOUT_MS: u64 = 130;
/// A probe that overran its timeout by this much says nothing about the engine: this process was
/// not scheduled.
const LOCAL_DELAY_MS: u64 = 40;

/// The result of a probe.
pub(super) enum ProbeResult {
    Healthy(EngineReport),
    /// No process listens at its address.
    NotListening,
    /// The probes sent from this time on were not answered.
    Unanswered(u64, SilenceCause),
    /// This process itself was delayed.
    Inconclusive,
}

/// Probes an engine.
pub(super) async fn probe<A>(node: &Node<A>, id: &EndpointId, address: SocketAddr) -> ProbeResult
where
    A: Adapter,
{
    let probed_ms = boot_ms();
    let mut probes: FuturesUnordered<_> = PROBE_OFFSETS_MS
        .into_iter()
        .map(|after_ms| delayed_probe(node, id, address, after_ms))
        .collect();
    while let Some(answer) = probes.next().await {
        match answer {
            Ok(report) => return ProbeResult::Healthy(report),
            Err(OrderFailure::NoListener) => return ProbeResult::NotListening,
            // A reset connection does not mean silence; the other probes may be answered.
            Err(_) => {}
        }
    }
    sleep_until_ms(probed_ms + PROBE_TIMEOUT_MS).await;
    if boot_ms() > probed_ms + PROBE_TIMEOUT_MS + LOCAL_DELAY_MS {
        return ProbeResult::Inconclusive;
    }
    ProbeResult::Unanswered(probed_ms, classify_silence(node, id, probed_ms))
}

/// Probes an engine after a delay, with the rest of the probe timeout.
async fn delayed_probe<A>(
    node: &Node<A>,
    id: &EndpointId,
    address: SocketAddr,
    after_ms: u64,
) -> Result<EngineReport, OrderFailure>
where
    A: Adapter,
{
    sleep(Duration::from_millis(after_ms)).await;
    send_probe(node, id, address, PROBE_TIMEOUT_MS - after_ms).await
}

/// Probes an engine whose silence is unclear once more, with a longer timeout, together with other
/// engines. If one of those answers promptly, the silent engine is dead.
pub(super) async fn probe_with_controls<A>(
    node: &Rc<Node<A>>,
    id: &EndpointId,
    address: SocketAddr,
    unclear: ProbeResult,
) -> ProbeResult
where
    A: Adapter,
{
    let ProbeResult::Unanswered(probed_ms, SilenceCause::Unclear) = unclear else {
        return unclear;
    };
    let control_engines = control_engines(&node.fleet.borrow(), id);
    if control_engines.is_empty() {
        // There is no other engine to compare with.
        return ProbeResult::Unanswered(probed_ms, SilenceCause::EngineDead);
    }
    let started_ms = boot_ms();
    let link_is_free = async {
        let answers = control_engines
            .iter()
            .map(|(id, address)| send_probe(node, id, *address, PROMPT_REPLY_MS));
        if join_all(answers).await.iter().all(Result::is_err) {
            std::future::pending::<()>().await;
        }
        // The engine gets as much time as the others.
        let taken_ms = boot_ms().saturating_sub(started_ms);
        sleep(Duration::from_millis(
            PROMPT_REPLY_MS.saturating_sub(taken_ms),
        ))
        .await;
    };
    tokio::select! {
        biased;
        answer = send_probe(node, id, address, EXTENDED_TIMEOUT_MS) => match answer {
            Ok(report) => ProbeResult::Healthy(report),
            Err(OrderFailure::NoListener) => ProbeResult::NotListening,
            Err(_) if boot_ms() > started_ms + EXTENDED_TIMEOUT_MS + LOCAL_DELAY_MS => ProbeResult::Inconclusive,
            Err(_) => ProbeResult::Unanswered(probed_ms, classify_silence(node, id, probed_ms)),
        },
        () = link_is_free => match classify_silence(node, id, probed_ms) {
            SilenceCause::EngineLives => ProbeResult::Unanswered(probed_ms, SilenceCause::EngineLives),
            SilenceCause::EngineDead | SilenceCause::Unclear => ProbeResult::Unanswered(probed_ms, SilenceCause::EngineDead),
        },
    }
}

async fn sleep_until_ms(at_ms: u64) {
    sleep(Duration::from_millis(at_ms.saturating_sub(boot_ms()))).await;
}

async fn send_probe<A>(
    node: &Node<A>,
    id: &EndpointId,
    address: SocketAddr,
    timeout_ms: u64,
) -> Result<EngineReport, OrderFailure>
where
    A: Adapter,
{
    node.counters.count("relay.checks");
    let sent_ms = boot_ms();
    let answer = node.adapter.engines().report(address, timeout_ms).await;
    // A refused connection was also a round trip over the link.
    if matches!(answer, Ok(_) | Err(OrderFailure::NoListener)) {
        node.prompt_answers
            .borrow_mut()
            .record_reply(sent_ms, boot_ms());
    }
    if answer.is_ok() {
        node.record_heard(id);
    }
    answer
}

fn classify_silence<A>(node: &Node<A>, id: &EndpointId, probed_ms: u64) -> SilenceCause
where
    A: Adapter,
{
    let heard_ms = node.last_heard_ms(id);
    node.prompt_answers
        .borrow_mut()
        .classify(probed_ms, heard_ms)
}

/// Engines to compare a silent one with: the one most recently heard from, which is most likely
/// alive, and one of another availability zone, since a whole zone may be lost.
fn control_engines(fleet: &Fleet, probed: &EndpointId) -> IndexMap<EndpointId, SocketAddr> {
    let zone = fleet.get(probed).map(|known| &known.listed.zone);
    let others = || {
        fleet.iter().filter(|known| {
            known.id() != probed && known.listed.kind.is_some() && known.accepts_work()
        })
    };
    let heard_ms = |known: &&KnownEndpoint| known.last_heard.at_ms();
    let latest = others().max_by_key(heard_ms);
    let elsewhere = others()
        .filter(|known| Some(&known.listed.zone) != zone)
        .max_by_key(heard_ms);
    let chosen = latest.into_iter().chain(elsewhere);
    chosen
        .map(|known| (known.id().clone(), known.listed.address))
        .collect()
}
