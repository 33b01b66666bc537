//! HTTP of the engines.

use std::sync::Arc;
use std::time::Duration;

use actix_rt::time::{Interval, interval};
use actix_web::http::StatusCode;
use actix_web::{HttpResponse, HttpResponseBuilder, web};
use bytes::Bytes;
use fescueshore::ids::{EndpointId, RequestId, StreamId};
use fescueshore::wire::engine::{
    CancelStream, EngineError, EngineErrorCode, EngineOrder, OpenStream, StreamEvent,
};
use futures_util::stream;
use indexmap::IndexMap;
use serde::Deserialize;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};

use super::counters::EngineCounters;
use super::host::Host;
use crate::standin::faults::{Fault, FaultRequest};
use crate::standin::thaw_later;

/// Time between two heartbeats of an open stream.
const HEARTBEAT: Duration = Duration::from_millis(100);

/// What ends or begins a lifetime.
#[derive(Clone, Debug)]
pub(crate) enum LifeChange {
    /// The engine has died: stop listening.
    Died(EndpointId, Option<u64>),
    /// A new lifetime is wanted.
    Revive(EndpointId),
}

/// All engines of the process, and who begins and ends their lifetimes.
#[derive(Debug)]
pub(crate) struct Hosts {
    pub(crate) by_name: IndexMap<EndpointId, Arc<Host>>,
    pub(crate) changes: UnboundedSender<LifeChange>,
}

/// Adds the calls of one engine.
pub(crate) fn configure(config: &mut web::ServiceConfig, host: &Arc<Host>, hosts: &Arc<Hosts>) {
    config
        .app_data(web::Data::from(host.clone()))
        .app_data(web::Data::from(hosts.clone()))
        .route("/v1/state", web::get().to(state))
        .route("/v1/streams", web::post().to(open))
        .route("/v1/streams/{id}", web::get().to(progress))
        .route("/v1/streams/{id}/cancel", web::post().to(cancel))
        .route("/v1/cache-events", web::get().to(cache_events))
        .route("/v1/orders", web::post().to(order))
        .route("/standin/counters", web::get().to(counters))
        .route("/standin/counters/all", web::get().to(all_counters))
        .route("/standin/emissions", web::get().to(emissions))
        .route("/standin/ran", web::get().to(ran))
        .route("/standin/faults", web::post().to(faults));
}

/// Query of a reader of cache events.
#[derive(Debug, Deserialize)]
struct After {
    #[serde(default)]
    after: u64,
}

async fn state(host: web::Data<Host>) -> HttpResponse {
    let state = host.with_core(|core, now_us| {
        let behind = host.fleet.behind(&host.node, &core.held);
        core.state(now_us, &behind)
    });
    reply(state)
}

async fn open(host: web::Data<Host>, ask: web::Json<OpenStream>) -> HttpResponse {
    let ask = ask.into_inner();
    let (stream, epoch, position) = (ask.stream, ask.epoch, ask.generated.len() as u32);
    let request = ask.request.clone();
    match host.open(ask) {
        None => HttpResponse::ServiceUnavailable().finish(),
        Some(Err(error)) => refuse(&error),
        Some(Ok(events)) => {
            let reporter = Reporter {
                host: host.into_inner(),
                request,
                stream,
                epoch,
                position,
                events,
                heartbeats: interval(HEARTBEAT),
                over: false,
            };
            HttpResponse::Ok()
                .content_type("text/event-stream")
                .streaming(stream::unfold(reporter, Reporter::next))
        }
    }
}

async fn progress(host: web::Data<Host>, id: web::Path<StreamId>) -> HttpResponse {
    match host.with_core(|core, _| core.progress(*id)) {
        Some(Some(progress)) => HttpResponse::Ok().json(progress),
        _ => HttpResponse::NotFound().finish(),
    }
}

async fn cancel(
    host: web::Data<Host>,
    id: web::Path<StreamId>,
    ask: web::Json<CancelStream>,
) -> HttpResponse {
    host.with_core(|core, now_us| core.cancel(*id, ask.epoch, now_us));
    HttpResponse::NoContent().finish()
}

async fn cache_events(host: web::Data<Host>, query: web::Query<After>) -> HttpResponse {
    reply(host.with_core(|core, now_us| core.cache_events(query.after, now_us)))
}

async fn order(host: web::Data<Host>, ask: web::Json<EngineOrder>) -> HttpResponse {
    match host.with_core(|core, _| core.order(ask.into_inner())) {
        Some(Err(error)) => refuse(&error),
        _ => state(host).await,
    }
}

async fn counters(host: web::Data<Host>) -> HttpResponse {
    HttpResponse::Ok().json(host.counters())
}

async fn emissions(host: web::Data<Host>) -> HttpResponse {
    HttpResponse::Ok().json(host.emissions.list())
}

async fn all_counters(hosts: web::Data<Hosts>) -> HttpResponse {
    let all: IndexMap<&EndpointId, EngineCounters> = hosts
        .by_name
        .iter()
        .map(|(name, host)| (name, host.counters()))
        .collect();
    HttpResponse::Ok().json(all)
}

async fn ran(host: web::Data<Host>) -> HttpResponse {
    HttpResponse::Ok().json(host.fleet.ledger.requests())
}

async fn faults(
    host: web::Data<Host>,
    hosts: web::Data<Hosts>,
    ask: web::Json<FaultRequest>,
) -> HttpResponse {
    let here = host.into_inner();
    let target = match &ask.endpoint {
        Some(endpoint) => hosts.by_name.get(endpoint).cloned(),
        None => Some(here),
    };
    let Some(target) = target else {
        return HttpResponse::NotFound().finish();
    };
    apply(&target, &hosts, &ask.fault);
    HttpResponse::NoContent().finish()
}

fn apply(host: &Arc<Host>, hosts: &Hosts, fault: &Fault) {
    let name = host.node.name.clone();
    match fault {
        Fault::Die { revive_after_ms } => {
            host.end_life();
            let _ = hosts.changes.send(LifeChange::Died(name, *revive_after_ms));
        }
        Fault::Revive => {
            let _ = hosts.changes.send(LifeChange::Revive(name));
        }
        Fault::SilenceLinks { peer } => {
            host.silence.send_replace(peer.clone());
        }
        _ => {
            host.gate.apply(fault);
            host.with_core(|core, _| core.apply_fault(fault));
            thaw_later(web::Data::from(host.gate.clone()), fault);
        }
    }
}

fn reply<T>(body: Option<T>) -> HttpResponse
where
    T: serde::Serialize,
{
    match body {
        Some(body) => HttpResponse::Ok().json(body),
        None => HttpResponse::ServiceUnavailable().finish(),
    }
}

fn refuse(error: &EngineError) -> HttpResponse {
    let status = match error.code {
        EngineErrorCode::StaleEpoch | EngineErrorCode::StaleFence => StatusCode::CONFLICT,
        EngineErrorCode::NotHeld | EngineErrorCode::KvMissing => StatusCode::NOT_FOUND,
        EngineErrorCode::Malformed => StatusCode::BAD_REQUEST,
        EngineErrorCode::Overloaded => StatusCode::TOO_MANY_REQUESTS,
        EngineErrorCode::Draining
        | EngineErrorCode::StageUnreachable
        | EngineErrorCode::Cancelled => StatusCode::SERVICE_UNAVAILABLE,
    };
    HttpResponseBuilder::new(status).json(error)
}

/// Writes the events of one open stream; tells the engine if the reader goes.
struct Reporter {
    host: Arc<Host>,
    request: RequestId,
    stream: StreamId,
    epoch: u32,
    position: u32,
    events: UnboundedReceiver<StreamEvent>,
    heartbeats: Interval,
    over: bool,
}

impl Reporter {
    /// The next bytes of the stream.
    async fn next(mut self) -> Option<(Result<Bytes, std::io::Error>, Self)> {
        if self.over {
            return None;
        }
        let event = tokio::select! {
            event = self.events.recv() => event,
            _ = self.heartbeats.tick() => Some(StreamEvent::Heartbeat {
                epoch: self.epoch,
                position: self.position,
            }),
        };
        self.host.gate.pass().await;
        // The channel closes without a last event when the engine dies or the call is replaced.
        let mut text = String::new();
        self.write(&mut text, &event?);
        while let Ok(event) = self.events.try_recv() {
            self.write(&mut text, &event);
        }
        Some((Ok(Bytes::from(text)), self))
    }

    fn write(&mut self, text: &mut String, event: &StreamEvent) {
        match event {
            StreamEvent::Token { position, .. } => {
                self.position = position + 1;
                self.host.emissions.note(&self.request, *position);
            }
            StreamEvent::End { .. } | StreamEvent::Failed { .. } => self.over = true,
            StreamEvent::Heartbeat { .. } => {}
        }
        let json = serde_json::to_string(event).unwrap_or_default();
        text.push_str("data: ");
        text.push_str(&json);
        text.push_str("\n\n");
    }
}

impl Drop for Reporter {
    fn drop(&mut self) {
        let (stream, epoch) = (self.stream, self.epoch);
        if !self.over && !self.events.is_closed() {
            self.host.opener_gone(stream, epoch);
        }
    }
}
