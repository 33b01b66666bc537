//! Stand-in of the object store.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use actix_web::dev::Server;
use actix_web::{HttpResponse, web};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::standin::faults::{Fault, FaultRequest};
use crate::standin::{Gate, StandinError, TokenBucket, cut_reply, serve, thaw_later, unix_us};
use crate::topology::Topology;

/// Objects written a second unless a fault says otherwise.
const WRITES_PER_S: u32 = 300;
/// Objects read a second unless a fault says otherwise.
const READS_PER_S: u32 = 2000;

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
    writes: TokenBucket,
    reads: TokenBucket,
    replies_to_lose: u32,
}

type SharedObjects = web::Data<Mutex<Objects>>;

/// Query of a listing.
#[derive(Debug, Deserialize)]
struct Listing {
    #[serde(default)]
    prefix: String,
}

impl Objects {
    fn new(now_us: u64) -> Self {
        Self {
            objects: BTreeMap::new(),
            counters: Counters::default(),
            writes: TokenBucket::new(WRITES_PER_S, now_us),
            reads: TokenBucket::new(READS_PER_S, now_us),
            replies_to_lose: 0,
        }
    }

    fn apply(&mut self, fault: &Fault, now_us: u64) {
        match *fault {
            Fault::Clear => {
                self.replies_to_lose = 0;
                self.writes = TokenBucket::new(WRITES_PER_S, now_us);
                self.reads = TokenBucket::new(READS_PER_S, now_us);
            }
            Fault::LoseReplies { count } => self.replies_to_lose = count,
            Fault::Limits {
                writes_per_s,
                reads_per_s,
            } => {
                self.writes = TokenBucket::new(writes_per_s, now_us);
                self.reads = TokenBucket::new(reads_per_s, now_us);
            }
            _ => {}
        }
    }

    fn may_write(&mut self) -> bool {
        let free = self.writes.take(1, unix_us());
        if free {
            self.counters.writes += 1;
        } else {
            self.counters.throttled += 1;
        }
        free
    }

    fn may_read(&mut self) -> bool {
        let free = self.reads.take(1, unix_us());
        if free {
            self.counters.reads += 1;
        } else {
            self.counters.throttled += 1;
        }
        free
    }

    /// The reply to a write that took effect, or a cut one.
    fn written(&mut self) -> HttpResponse {
        if self.replies_to_lose == 0 {
            return HttpResponse::Ok().finish();
        }
        self.replies_to_lose -= 1;
        self.counters.lost_replies += 1;
        cut_reply()
    }
}

/// Listens on the topology's address.
pub(crate) fn listen(topology: &Topology) -> Result<Server, StandinError> {
    let gate = web::Data::new(Gate::new());
    let objects: SharedObjects = web::Data::new(Mutex::new(Objects::new(unix_us())));
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
    let held = objects.objects.len() as u64;
    HttpResponse::Ok().json(Counters {
        objects: held,
        ..objects.counters
    })
}

async fn faults(
    objects: SharedObjects,
    gate: web::Data<Gate>,
    ask: web::Json<FaultRequest>,
) -> HttpResponse {
    gate.apply(&ask.fault);
    lock(&objects).apply(&ask.fault, unix_us());
    thaw_later(gate, &ask.fault);
    HttpResponse::NoContent().finish()
}
