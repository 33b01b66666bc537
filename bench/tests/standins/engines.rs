use std::net::SocketAddr;

use fescue_bench::answer::AnswerKey;
use fescue_bench::fleet::{Fleet, wait_until};
use fescue_bench::standin::faults::{Fault, FaultRequest};
use fescueshore::ids::{EndpointId, StreamId};
use fescueshore::wire::WIRE_VERSION;
use fescueshore::wire::engine::{EngineErrorCode, OpenStream, Stage, StreamEvent};
use futures_util::StreamExt;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

use crate::env::{LIMIT, apply, start};

const MAX_TOKENS: u32 = 60;

/// A stream over two engines of the fleet that hold the two halves of the model.
fn open_stream(fleet: &Fleet, engines: [usize; 2]) -> OpenStream {
    let nodes = &fleet.topology().engines;
    let stage = |index: usize| Stage {
        endpoint: nodes[index].name.clone(),
        address: nodes[index].address,
        layers: nodes[index].layers,
        recompute: true,
        import_from: None,
    };
    OpenStream {
        wire_version: WIRE_VERSION,
        stream: StreamId::generate(&mut rand::rng()),
        epoch: 0,
        request: "r".into(),
        model: nodes[0].model.clone(),
        version: nodes[0].version.clone(),
        adapter: None,
        chain: engines.map(stage).to_vec(),
        prompt: "what does the couscous cost".into(),
        generated: Vec::new(),
        max_tokens: MAX_TOKENS,
        priority: 1,
    }
}

fn answer(open: &OpenStream) -> Vec<String> {
    let key = AnswerKey {
        model: &open.model,
        version: &open.version,
        adapter: None,
        prompt: &open.prompt,
    };
    key.seed().answer(MAX_TOKENS)
}

/// Opens a stream and reads its events as they come.
fn follow(open: &OpenStream) -> UnboundedReceiver<StreamEvent> {
    let (sender, events) = unbounded_channel();
    let address: SocketAddr = open.chain[0].address;
    let open = open.clone();
    actix_rt::spawn(async move {
        let client = awc::Client::builder().timeout(LIMIT).finish();
        let sent = client.post(format!("http://{address}/v1/streams"));
        let Ok(mut reply) = sent.send_json(&open).await else {
            return;
        };
        let mut text = String::new();
        while let Some(Ok(bytes)) = reply.next().await {
            text.push_str(&String::from_utf8_lossy(&bytes));
            while let Some((event, rest)) = text.split_once("\n\n") {
                let json = event.trim_start_matches("data: ");
                if let Ok(event) = serde_json::from_str(json) {
                    let _ = sender.send(event);
                }
                text = rest.to_owned();
            }
        }
    });
    events
}

/// Tokens of a stream until its last event, or until `most`.
async fn tokens(
    events: &mut UnboundedReceiver<StreamEvent>,
    most: usize,
) -> (Vec<String>, Option<StreamEvent>) {
    let mut texts = Vec::new();
    while texts.len() < most {
        match events.recv().await {
            Some(StreamEvent::Token { text, .. }) => texts.push(text),
            Some(StreamEvent::Heartbeat { .. }) => {}
            last => return (texts, last),
        }
    }
    (texts, None)
}

#[actix_rt::test]
async fn a_stream_goes_on_in_another_chain_after_its_stage_died() {
    let fleet = start().await;
    let nodes = fleet.topology().engines.clone();
    let mut open = open_stream(&fleet, [0, 2]);
    let mut events = follow(&open);
    let (mut held, _) = tokens(&mut events, 5).await;
    let dying = nodes[2].name.clone();
    let die = Fault::Die {
        revive_after_ms: None,
    };
    apply(
        &fleet,
        nodes[0].address,
        FaultRequest::at(dying.clone(), die),
    )
    .await;
    let (more, last) = tokens(&mut events, usize::MAX).await;
    held.extend(more);
    let Some(StreamEvent::Failed { cause, stage, .. }) = last else {
        panic!("{last:?}");
    };
    assert_eq!(
        (cause, stage),
        (EngineErrorCode::StageUnreachable, Some(dying))
    );
    open.epoch = 1;
    open.chain = open_stream(&fleet, [0, 3]).chain;
    open.generated = held.clone();
    let (more, last) = tokens(&mut follow(&open), usize::MAX).await;
    held.extend(more);
    assert!(matches!(last, Some(StreamEvent::End { .. })), "{last:?}");
    assert_eq!(held, answer(&open));
}

#[actix_rt::test]
async fn a_revived_engine_is_another_incarnation_and_serves_again() {
    let fleet = start().await;
    let nodes = fleet.topology().engines.clone();
    let name = nodes[2].name.clone();
    let incarnation = async || -> Option<String> {
        let standins = fleet.standins();
        let state: serde_json::Value = standins.get(nodes[2].address, "/v1/state").await.ok()?;
        state["incarnation"].as_str().map(str::to_owned)
    };
    let before = incarnation().await;
    let die = Fault::Die {
        revive_after_ms: Some(50),
    };
    apply(&fleet, nodes[0].address, FaultRequest::at(name, die)).await;
    let revived = wait_until(LIMIT, async || {
        let now = incarnation().await;
        now.is_some() && now != before
    });
    assert!(revived.await);
    let open = open_stream(&fleet, [0, 2]);
    let (texts, _) = tokens(&mut follow(&open), usize::MAX).await;
    assert_eq!(texts, answer(&open));
}

#[actix_rt::test]
async fn a_frozen_stage_goes_on_where_it_was() {
    let fleet = start().await;
    let nodes = fleet.topology().engines.clone();
    let open = open_stream(&fleet, [0, 2]);
    let mut events = follow(&open);
    let (mut held, _) = tokens(&mut events, 5).await;
    let stage: EndpointId = nodes[2].name.clone();
    let freeze = Fault::Freeze { for_ms: Some(300) };
    apply(&fleet, nodes[0].address, FaultRequest::at(stage, freeze)).await;
    let (more, last) = tokens(&mut events, usize::MAX).await;
    held.extend(more);
    assert!(matches!(last, Some(StreamEvent::End { .. })), "{last:?}");
    assert_eq!(held, answer(&open));
}
