//! HTTP of the instance list.

use std::sync::{Mutex, MutexGuard, PoisonError};

use actix_web::dev::Server;
use actix_web::http::header::{ETAG, IF_NONE_MATCH};
use actix_web::{HttpRequest, HttpResponse, web};
use fescueshore::wire::platform::{InstancePhase, InstanceRecord};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::history::{History, list_all};
use crate::standin::faults::{Fault, FaultRequest};
use crate::standin::{Gate, StandinError, serve, thaw_later, unix_ms};
use crate::topology::Topology;

/// Body of `POST /standin/phase`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SetPhase {
    /// Instance.
    pub name: String,
    /// Its phase from now on.
    pub phase: InstancePhase,
}

/// Body of `POST /standin/remove`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RemoveInstance {
    /// Instance.
    pub name: String,
}

/// The instance list.
#[derive(Debug)]
struct Instances {
    history: History,
    reads: u64,
}

/// What the instance list did.
#[derive(Clone, Copy, Debug, Serialize)]
struct Counters {
    reads: u64,
}

/// Query of a reader.
#[derive(Debug, Deserialize)]
struct Reader {
    #[serde(default)]
    reader: Option<String>,
}

type SharedInstances = web::Data<Mutex<Instances>>;

/// Listens on the topology's address.
pub(crate) fn listen(topology: &Topology) -> Result<Server, StandinError> {
    let gate = web::Data::new(Gate::new());
    let instances: SharedInstances = web::Data::new(Mutex::new(Instances {
        history: History::new(list_all(topology)),
        reads: 0,
    }));
    serve(topology.platform.instances, gate, move |config| {
        config
            .app_data(instances.clone())
            .route("/v1/instances", web::get().to(read))
            .route("/standin/phase", web::post().to(set_phase))
            .route("/standin/remove", web::post().to(remove))
            .route("/standin/add", web::post().to(add))
            .route("/standin/counters", web::get().to(counters))
            .route("/standin/faults", web::post().to(faults));
    })
}

fn lock(instances: &SharedInstances) -> MutexGuard<'_, Instances> {
    instances.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn read(
    instances: SharedInstances,
    query: web::Query<Reader>,
    request: HttpRequest,
) -> HttpResponse {
    let mut instances = lock(&instances);
    instances.reads += 1;
    let list = instances.history.read(query.reader.as_deref(), unix_ms());
    let Ok(body) = serde_json::to_vec(list) else {
        return HttpResponse::InternalServerError().finish();
    };
    let tag = format!("\"{:016x}\"", xxh3_64(&body));
    let known = request.headers().get(IF_NONE_MATCH);
    if known.is_some_and(|known| known.as_bytes() == tag.as_bytes()) {
        return HttpResponse::NotModified().finish();
    }
    HttpResponse::Ok()
        .insert_header((ETAG, tag))
        .content_type("application/json")
        .body(body)
}

async fn set_phase(instances: SharedInstances, ask: web::Json<SetPhase>) -> HttpResponse {
    lock(&instances).history.change(unix_ms(), |list| {
        for record in list.iter_mut().filter(|record| record.name == ask.name) {
            record.phase = ask.phase;
        }
    });
    HttpResponse::NoContent().finish()
}

async fn remove(instances: SharedInstances, ask: web::Json<RemoveInstance>) -> HttpResponse {
    lock(&instances).history.change(unix_ms(), |list| {
        list.retain(|record| record.name != ask.name);
    });
    HttpResponse::NoContent().finish()
}

async fn add(instances: SharedInstances, ask: web::Json<InstanceRecord>) -> HttpResponse {
    let added = ask.into_inner();
    lock(&instances).history.change(unix_ms(), |list| {
        list.retain(|record| record.name != added.name);
        list.push(added);
    });
    HttpResponse::NoContent().finish()
}

async fn counters(instances: SharedInstances) -> HttpResponse {
    let reads = lock(&instances).reads;
    HttpResponse::Ok().json(Counters { reads })
}

async fn faults(
    instances: SharedInstances,
    gate: web::Data<Gate>,
    ask: web::Json<FaultRequest>,
) -> HttpResponse {
    gate.apply(&ask.fault);
    let mut locked = lock(&instances);
    match &ask.fault {
        Fault::Clear => locked.history.clear_lag(),
        Fault::Lag { lag_ms, reader } => locked.history.set_lag(*lag_ms, reader.as_deref()),
        _ => {}
    }
    drop(locked);
    thaw_later(gate, &ask.fault);
    HttpResponse::NoContent().finish()
}
