//! HTTP of the engines.

use std::sync::Arc;

use actix_web::http::StatusCode;
use actix_web::{HttpResponse, HttpResponseBuilder, web};
use fescueshore::ids::{EndpointId, StreamId};
use fescueshore::wire::engine::{
    CancelStream, EngineError, EngineErrorCode, EngineOrder, OpenStream,
};
use futures_util::stream;
use indexmap::IndexMap;
use serde::Deserialize;
use tokio::sync::mpsc::UnboundedSender;

use super::counters::EngineCounters;
use super::host::Host;
use super::reporter::Reporter;
use crate::standin::faults::{Fault, FaultRequest};
use crate::standin::thaw_later;

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
    match host.open(ask.clone()) {
        None => HttpResponse::ServiceUnavailable().finish(),
        Some(Err(error)) => refuse(&error),
        Some(Ok(events)) => {
            let reporter = Reporter::new(host.into_inner(), &ask, events);
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
