//! Stand-in of the weight store: `GET /v1/weights/{model}/{version}/{layer}` takes as long as the
//! layer's bytes need at the store's rate; the bytes themselves are left out.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_web::dev::Server;
use actix_web::{HttpResponse, web};
use serde::Serialize;

use crate::standin::faults::{Fault, FaultRequest};
use crate::standin::{Gate, StandinError, serve, thaw_later, unix_us};
use crate::topology::Topology;

/// Size of a layer's weights.
const LAYER_BYTES: u64 = 256 << 20;
/// Rate of the store over all its readers.
const BYTES_PER_S: u64 = 4 << 30;
/// Work ahead at which the store refuses more.
const MAX_BACKLOG_US: u64 = 2_000_000;

/// What the weight store did.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct Counters {
    layers: u64,
    bytes: u64,
    throttled: u64,
}

/// The weight store.
#[derive(Debug, Default)]
struct Weights {
    counters: Counters,
    /// When all transfers accepted so far are over.
    free_at_us: u64,
}

type SharedWeights = web::Data<Mutex<Weights>>;

impl Weights {
    /// Queues one layer; returns when it is read whole, or `None` over the rate limit.
    fn queue_layer(&mut self, now_us: u64) -> Option<u64> {
        let start_us = self.free_at_us.max(now_us);
        if start_us - now_us > MAX_BACKLOG_US {
            self.counters.throttled += 1;
            return None;
        }
        self.free_at_us = start_us + LAYER_BYTES * 1_000_000 / BYTES_PER_S;
        self.counters.layers += 1;
        self.counters.bytes += LAYER_BYTES;
        Some(self.free_at_us)
    }
}

/// Listens on the topology's address.
pub(crate) fn listen(topology: &Topology) -> Result<Server, StandinError> {
    let gate = web::Data::new(Gate::new());
    let weights: SharedWeights = web::Data::new(Mutex::new(Weights::default()));
    serve(topology.platform.weights, gate, move |config| {
        config
            .app_data(weights.clone())
            .route("/v1/weights/{model}/{version}/{layer}", web::get().to(get))
            .route("/standin/counters", web::get().to(counters))
            .route("/standin/faults", web::post().to(faults));
    })
}

fn lock(weights: &SharedWeights) -> MutexGuard<'_, Weights> {
    weights.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn get(weights: SharedWeights) -> HttpResponse {
    let now_us = unix_us();
    let Some(done_us) = lock(&weights).queue_layer(now_us) else {
        return HttpResponse::TooManyRequests().finish();
    };
    actix_rt::time::sleep(Duration::from_micros(done_us - now_us)).await;
    HttpResponse::Ok().finish()
}

async fn counters(weights: SharedWeights) -> HttpResponse {
    HttpResponse::Ok().json(lock(&weights).counters)
}

async fn faults(gate: web::Data<Gate>, ask: web::Json<FaultRequest>) -> HttpResponse {
    let fault: &Fault = &ask.fault;
    gate.apply(fault);
    thaw_later(gate.clone(), fault);
    HttpResponse::NoContent().finish()
}
