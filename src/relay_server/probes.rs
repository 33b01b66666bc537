//! Questions to engines, and whether a missing answer speaks of the engine or of the link.

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
use crate::relay::{ANSWER_LIMIT_MS, ASKED_AT_MS, NoAnswer, PROMPT_MS};

/// Longest wait for the report where the link may be full. The stream that asks looks again 250 ms
/// after its first look.
const LONG_TIMEOUT_MS: u64 = 130;
/// A check that took this much longer than its time limit says nothing of the engine: this process
/// did not get to run.
const OWN_DELAY_MS: u64 = 40;

/// What a question to an engine has shown.
pub(super) enum Finding {
    Sound(EngineReport),
    /// No process listens at its address.
    Ended,
    /// No answer came to the question of this time.
    Unanswered(u64, NoAnswer),
    /// This process was held up itself.
    Nothing,
}

/// Asks an engine how it is.
pub(super) async fn ask<A>(node: &Node<A>, id: &EndpointId, address: SocketAddr) -> Finding
where
    A: Adapter,
{
    let asked_ms = boot_ms();
    let mut questions: FuturesUnordered<_> = ASKED_AT_MS
        .into_iter()
        .map(|after_ms| question_later(node, id, address, after_ms))
        .collect();
    while let Some(answer) = questions.next().await {
        match answer {
            Ok(report) => return Finding::Sound(report),
            Err(OrderFailure::NoListener) => return Finding::Ended,
            // A connection that was reset has not been silent yet; the others may be answered.
            Err(_) => {}
        }
    }
    sleep_until_ms(asked_ms + ANSWER_LIMIT_MS).await;
    if boot_ms() > asked_ms + ANSWER_LIMIT_MS + OWN_DELAY_MS {
        return Finding::Nothing;
    }
    Finding::Unanswered(asked_ms, judge(node, id, asked_ms))
}

/// Asks an engine after a while, for as long as is left of the time for an answer.
async fn question_later<A>(
    node: &Node<A>,
    id: &EndpointId,
    address: SocketAddr,
    after_ms: u64,
) -> Result<EngineReport, OrderFailure>
where
    A: Adapter,
{
    sleep(Duration::from_millis(after_ms)).await;
    question(node, id, address, ANSWER_LIMIT_MS - after_ms).await
}

/// Asks an engine whose silence is unclear once more, for longer, and others beside it. If one of them
/// answers promptly, the first is dead.
pub(super) async fn ask_beside_control<A>(
    node: &Rc<Node<A>>,
    id: &EndpointId,
    address: SocketAddr,
    unclear: Finding,
) -> Finding
where
    A: Adapter,
{
    let Finding::Unanswered(asked_ms, NoAnswer::Unclear) = unclear else {
        return unclear;
    };
    let controls = controls(&node.fleet.borrow(), id);
    if controls.is_empty() {
        // Nobody is there to be compared with.
        return Finding::Unanswered(asked_ms, NoAnswer::EngineDead);
    }
    let begun_ms = boot_ms();
    let link_is_free = async {
        let answers = controls
            .iter()
            .map(|(id, address)| question(node, id, *address, PROMPT_MS));
        if join_all(answers).await.iter().all(Result::is_err) {
            std::future::pending::<()>().await;
        }
        // The engine has as long as the others.
        let taken_ms = boot_ms().saturating_sub(begun_ms);
        sleep(Duration::from_millis(PROMPT_MS.saturating_sub(taken_ms))).await;
    };
    tokio::select! {
        biased;
        answer = question(node, id, address, LONG_TIMEOUT_MS) => match answer {
            Ok(report) => Finding::Sound(report),
            Err(OrderFailure::NoListener) => Finding::Ended,
            Err(_) if boot_ms() > begun_ms + LONG_TIMEOUT_MS + OWN_DELAY_MS => Finding::Nothing,
            Err(_) => Finding::Unanswered(asked_ms, judge(node, id, asked_ms)),
        },
        () = link_is_free => match judge(node, id, asked_ms) {
            NoAnswer::EngineLives => Finding::Unanswered(asked_ms, NoAnswer::EngineLives),
            NoAnswer::EngineDead | NoAnswer::Unclear => Finding::Unanswered(asked_ms, NoAnswer::EngineDead),
        },
    }
}

async fn sleep_until_ms(at_ms: u64) {
    sleep(Duration::from_millis(at_ms.saturating_sub(boot_ms()))).await;
}

async fn question<A>(
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
    // A refused connection has come back over the link as well.
    if matches!(answer, Ok(_) | Err(OrderFailure::NoListener)) {
        node.prompt_answers
            .borrow_mut()
            .answered(sent_ms, boot_ms());
    }
    if answer.is_ok()
        && let Some(known) = node.fleet.borrow().get(id)
    {
        known.last_heard.record(boot_ms());
    }
    answer
}

fn judge<A>(node: &Node<A>, id: &EndpointId, asked_ms: u64) -> NoAnswer
where
    A: Adapter,
{
    let heard_ms = node.last_heard_ms(id);
    node.prompt_answers.borrow_mut().judge(asked_ms, heard_ms)
}

/// Engines to compare a silent one with: the one that was heard last, which most surely lives, and one
/// of another availability zone, since a whole zone may be lost.
fn controls(fleet: &Fleet, asked: &EndpointId) -> IndexMap<EndpointId, SocketAddr> {
    let zone = fleet.get(asked).map(|known| &known.listed.zone);
    let others = || {
        fleet.iter().filter(|known| {
            known.id() != asked && known.listed.kind.is_some() && known.accepts_work()
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
