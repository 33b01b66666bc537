//! HTTP handlers for address lookup, models, health, metrics and claim queries.

use actix_web::web::{Data, Json, Query};
use actix_web::{HttpRequest, HttpResponse};
use serde::Deserialize;

use super::messages::{IsReady, ListModels, Locate, QueryClaim};
use super::reply::{refuse, refuse_with_message};
use super::request::{generate_request_id, read_key};
use super::state::Gateway;
use crate::entry::ModelView;
use crate::ids::ServiceName;
use crate::instance::PresentedKey;
use crate::outcome::{Refusal, RefusalCode};
use crate::settings::Secret;
use crate::wire::caller::{ModelItem, ModelList};
use crate::wire::claim::{ClaimStatusRequest, ClaimStatusResponse};

/// Query of `GET /v1/locate`.
#[derive(Debug, Deserialize)]
pub(crate) struct LocateQuery {
    service: ServiceName,
}

/// `GET /v1/locate?service=S`.
pub(crate) async fn locate(gateway: Data<Gateway>, http: HttpRequest) -> HttpResponse {
    let query = Query::<LocateQuery>::from_query(http.query_string());
    let Ok(Query(LocateQuery { service })) = query else {
        let refusal = Refusal::not_run(RefusalCode::UnknownService, None);
        let message = "name one service: /v1/locate?service=NAME";
        return refuse_with_message(&refusal, message, &generate_request_id());
    };
    let caller = caller_text(&http);
    match gateway.actor.send(Locate { service, caller }).await {
        Ok(Ok(answer)) => HttpResponse::Ok().json(answer),
        Ok(Err(refusal)) => refuse(&refusal, &generate_request_id()),
        Err(_) => refuse(&stopping(), &generate_request_id()),
    }
}

/// `GET /v1/models`.
pub(crate) async fn list_models(gateway: Data<Gateway>, http: HttpRequest) -> HttpResponse {
    let key = read_key(http.headers());
    match gateway.actor.send(ListModels { key }).await {
        Ok(Ok(views)) => HttpResponse::Ok().json(ModelList {
            object: "list".to_owned(),
            data: views.iter().flat_map(model_items).collect(),
        }),
        Ok(Err(refusal)) => refuse(&refusal, &generate_request_id()),
        Err(_) => refuse(&stopping(), &generate_request_id()),
    }
}

/// `GET /healthz`.
pub(crate) async fn health(gateway: Data<Gateway>) -> HttpResponse {
    if gateway.actor.connected() {
        HttpResponse::Ok().body("ok\n")
    } else {
        HttpResponse::InternalServerError().body("the entry's actor ended\n")
    }
}

/// `GET /readyz`.
pub(crate) async fn readiness(gateway: Data<Gateway>) -> HttpResponse {
    let ready = gateway.actor.send(IsReady).await.unwrap_or(false);
    if ready && !gateway.is_stopping() {
        HttpResponse::Ok().body("ready\n")
    } else {
        HttpResponse::ServiceUnavailable().body("not ready\n")
    }
}

/// `GET /metrics`.
pub(crate) async fn metrics(gateway: Data<Gateway>) -> HttpResponse {
    gateway
        .counters
        .gauge("gateway.callers.open", gateway.callers.open() as u64);
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(gateway.counters.render_prometheus())
}

/// `POST /internal/claims`, for other entries only.
pub(crate) async fn query_claim(
    gateway: Data<Gateway>,
    http: HttpRequest,
    question: Json<ClaimStatusRequest>,
) -> HttpResponse {
    let key = read_key(http.headers());
    let key = key.as_ref().map_or("", PresentedKey::expose);
    if gateway.peer_key != Secret::from(key) {
        let refusal = Refusal::not_run(RefusalCode::Unauthenticated, None);
        return refuse(&refusal, &generate_request_id());
    }
    match gateway.actor.send(QueryClaim(question.into_inner())).await {
        Ok(working) => HttpResponse::Ok().json(ClaimStatusResponse { working }),
        Err(_) => refuse(&stopping(), &generate_request_id()),
    }
}

/// Any other path.
pub(crate) async fn unknown_path() -> HttpResponse {
    let refusal = Refusal::not_run(RefusalCode::UnknownService, None);
    let message = "there is no such path; docs/API.md lists the calls";
    refuse_with_message(&refusal, message, &generate_request_id())
}

/// Identifies a caller by its key or, without a key, by its IP address.
fn caller_text(http: &HttpRequest) -> String {
    read_key(http.headers())
        .map(|key| key.expose().to_owned())
        .or_else(|| http.peer_addr().map(|address| address.ip().to_string()))
        .unwrap_or_default()
}

/// Lists a model alone and with each of its adapters.
fn model_items(view: &ModelView) -> Vec<ModelItem> {
    let with_adapter = |adapter| format!("{}:{adapter}", view.model);
    let names = std::iter::once(view.model.clone());
    names
        .chain(view.adapters.iter().map(with_adapter))
        .map(|id| ModelItem {
            id,
            object: "model".to_owned(),
            owned_by: view.service.to_string(),
        })
        .collect()
}

fn stopping() -> Refusal {
    Refusal::not_run(RefusalCode::Stopping, None)
}
