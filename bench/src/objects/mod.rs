//! Stand-in of the object store.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use actix_web::dev::Server;
use actix_web::{HttpResponse, web};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::standin::faults::FaultRequest;
use crate::standin::{Gate, StandinError, StoreLimits, cut_reply, serve, thaw_later};
use crate::topology::Topology;

/// What the object store did.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct Counters {
    writes: u64,
    reads: u64,
    throttled: u64,
    lost_replies: u64,
    /// Objects held now.
    objects: u64,
}

/// The object store.
#[derive(Debug)]
struct Objects {
    /// In key order, since listings need it.
    objects: BTreeMap<String, Bytes>,
    counters: Counters,
    limits: StoreLimits,
}

type SharedObjects = web::Data<Mutex<Objects>>;

/// Query of a listing.
#[derive(Debug, Deserialize)]
struct Listing {
    #[serde(default)]
    prefix: String,
}

impl Objects {
    fn new() -> Self {
        Self {
            objects: BTreeMap::new(),
            counters: Counters::default(),
            limits: StoreLimits::new(),
        }
    }

    fn may_write(&mut self) -> bool {
        let free = self.limits.may_write(1);
        self.counters.writes += u64::from(free);
        free
    }

    fn may_read(&mut self) -> bool {
        let free = self.limits.may_read(1);
        self.counters.reads += u64::from(free);
        free
    }

    /// The reply to a write that took effect, or a cut one.
    fn written(&mut self) -> HttpResponse {
        if self.limits.loses_reply(&[]) {
            cut_reply()
        } else {
            HttpResponse::Ok().finish()
        }
    }
}

/// Listens on the topology's address.
pub(crate) fn listen(topology: &Topology) -> Result<Server, StandinError> {
    let gate = web::Data::new(Gate::new());
    let objects: SharedObjects = web::Data::new(Mutex::new(Objects::new()));
    serve(topology.platform.objects, gate, move |config| {
        config
            .app_data(objects.clone())
            .route("/v1/objects", web::get().to(list))
            .route("/v1/objects/{key:.*}", web::put().to(put))
            .route("/v1/objects/{key:.*}", web::get().to(get))
            .route("/v1/objects/{key:.*}", web::delete().to(delete))
            .route("/standin/counters", web::get().to(counters))
            .route("/standin/faults", web::post().to(faults));
    })
}

fn lock(objects: &SharedObjects) -> MutexGuard<'_, Objects> {
    objects.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn list(objects: SharedObjects, listing: web::Query<Listing>) -> HttpResponse {
    let mut objects = lock(&objects);
    if !objects.may_read() {
        return HttpResponse::TooManyRequests().finish();
    }
    let keys: Vec<&String> = objects
        .objects
        .range(listing.prefix.clone()..)
        .map(|(key, _)| key)
        .take_while(|key| key.starts_with(&listing.prefix))
        .collect();
    HttpResponse::Ok().json(keys)
}

async fn put(objects: SharedObjects, key: web::Path<String>, body: Bytes) -> HttpResponse {
    let mut objects = lock(&objects);
    if !objects.may_write() {
        return HttpResponse::TooManyRequests().finish();
    }
    objects.objects.insert(key.into_inner(), body);
    objects.written()
}

async fn get(objects: SharedObjects, key: web::Path<String>) -> HttpResponse {
    let mut objects = lock(&objects);
    if !objects.may_read() {
        return HttpResponse::TooManyRequests().finish();
    }
    match objects.objects.get(key.as_str()) {
        Some(body) => HttpResponse::Ok()
            .content_type("application/octet-stream")
            .body(body.clone()),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn delete(objects: SharedObjects, key: web::Path<String>) -> HttpResponse {
    let mut objects = lock(&objects);
    if !objects.may_write() {
        return HttpResponse::TooManyRequests().finish();
    }
    objects.objects.remove(key.as_str());
    objects.written()
}

async fn counters(objects: SharedObjects) -> HttpResponse {
    let objects = lock(&objects);
    HttpResponse::Ok().json(Counters {
        throttled: objects.limits.throttled,
        lost_replies: objects.limits.lost_replies,
        objects: objects.objects.len() as u64,
        ..objects.counters
    })
}

async fn faults(
    objects: SharedObjects,
    gate: web::Data<Gate>,
    ask: web::Json<FaultRequest>,
) -> HttpResponse {
    gate.apply(&ask.fault);
    lock(&objects).limits.apply(&ask.fault);
    thaw_later(gate, &ask.fault);
    HttpResponse::NoContent().finish()
}
