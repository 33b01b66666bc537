//! HTTP of the replicas.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_web::dev::Server;
use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use fescueshore::ids::EndpointId;
use fescueshore::outcome::{IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER};
use indexmap::IndexMap;
use sha2::{Digest, Sha256};
use tokio::sync::Semaphore;

use super::replica::{ApplicationCounters, Echo, RunLedger};
use crate::standin::faults::{Fault, FaultRequest};
use crate::standin::{FleetArgs, Gate, StandinError, cut_reply, serve, thaw_later};
use crate::topology::{ApplicationNode, Topology};

/// One replica.
#[derive(Debug)]
struct Replica {
    node: ApplicationNode,
    gate: Arc<Gate>,
    slots: Semaphore,
    state: Mutex<ReplicaState>,
    ledger: Arc<Mutex<RunLedger>>,
}

/// Counters and faults of a replica.
#[derive(Debug, Default)]
struct ReplicaState {
    counters: ApplicationCounters,
    calls_to_fail: u32,
    replies_to_lose: u32,
    /// How much later a call that ran is answered.
    extra_reply_ms: u64,
}

/// All replicas of the process, by name.
type Fleet = IndexMap<EndpointId, Arc<Replica>>;

/// Listens on the addresses of the selected replicas.
pub(crate) fn listen(topology: &Topology, args: &FleetArgs) -> Result<Vec<Server>, StandinError> {
    let ledger = Arc::new(Mutex::new(RunLedger::default()));
    let fleet: Fleet = topology
        .applications
        .iter()
        .filter(|node| args.selects(node.name.as_str()))
        .map(|node| (node.name.clone(), Arc::new(Replica::new(node, &ledger))))
        .collect();
    let fleet = Arc::new(fleet);
    fleet
        .values()
        .map(|replica| listen_one(replica, &fleet))
        .collect()
}

fn listen_one(replica: &Arc<Replica>, fleet: &Arc<Fleet>) -> Result<Server, StandinError> {
    let replica = replica.clone();
    let fleet = web::Data::from(fleet.clone());
    let gate = web::Data::from(replica.gate.clone());
    serve(replica.node.address, gate, move |config| {
        config
            .app_data(web::Data::from(replica.clone()))
            .app_data(fleet.clone())
            .route("/standin/counters", web::get().to(counters))
            .route("/standin/counters/all", web::get().to(all_counters))
            .route("/standin/faults", web::post().to(faults))
            .default_service(web::to(call));
    })
}

impl Replica {
    fn new(node: &ApplicationNode, ledger: &Arc<Mutex<RunLedger>>) -> Self {
        Self {
            node: node.clone(),
            gate: Arc::new(Gate::new()),
            slots: Semaphore::new(node.concurrency.max(1) as usize),
            state: Mutex::new(ReplicaState::default()),
            ledger: ledger.clone(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, ReplicaState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn ledger(&self) -> MutexGuard<'_, RunLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this call is to fail before it runs.
    fn fails_now(&self) -> bool {
        let mut state = self.lock();
        state.counters.calls += 1;
        if state.calls_to_fail == 0 {
            return false;
        }
        state.calls_to_fail -= 1;
        state.counters.failed_before_run += 1;
        true
    }

    /// The answer of an earlier run, if this replica deduplicates.
    fn deduplicate(&self, call: &Call) -> Option<Echo> {
        if !self.node.deduplicates {
            return None;
        }
        let key = call.key.as_deref()?;
        let echo = self.ledger().answer(&self.node.service, key)?.clone();
        self.lock().counters.deduplicated += 1;
        Some(echo)
    }

    /// Runs a call; from here on it has taken effect.
    fn run(&self, call: &Call) -> Echo {
        let mut state = self.lock();
        state.counters.runs += 1;
        let echo = Echo {
            request: call.request.clone(),
            body_digest: call.body_digest.clone(),
            call: call.line.clone(),
            run: state.counters.runs,
            endpoint: self.node.name.to_string(),
        };
        if let Some(key) = &call.key {
            let runs = self.ledger().note(&self.node.service, key, &echo);
            state.counters.note_key(key, runs);
        }
        state.counters.note_answer(&echo);
        echo
    }

    /// Whether the reply to a call that ran is to be cut off.
    fn loses_reply(&self) -> bool {
        let mut state = self.lock();
        state.counters.replies += 1;
        if state.replies_to_lose == 0 {
            return false;
        }
        state.replies_to_lose -= 1;
        state.counters.lost_replies += 1;
        true
    }

    fn apply(&self, fault: &Fault) {
        let mut state = self.lock();
        match *fault {
            Fault::Clear => {
                state.calls_to_fail = 0;
                state.replies_to_lose = 0;
                state.extra_reply_ms = 0;
            }
            Fault::FailCalls { count } => state.calls_to_fail = count,
            Fault::LoseReplies { count, .. } => state.replies_to_lose = count,
            Fault::SlowReply { extra_ms } => state.extra_reply_ms = extra_ms,
            _ => {}
        }
    }
}

/// What is kept of a call.
#[derive(Debug)]
struct Call {
    request: String,
    key: Option<String>,
    body_digest: String,
    line: String,
}

impl Call {
    fn read(request: &HttpRequest, body: &[u8]) -> Self {
        Self {
            request: header(request, REQUEST_ID_HEADER)
                .unwrap_or_default()
                .into(),
            key: header(request, IDEMPOTENCY_KEY_HEADER).map(str::to_owned),
            body_digest: hex::encode(Sha256::digest(body)),
            line: format!("{} {}", request.method(), request.uri()),
        }
    }
}

fn header<'a>(request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// Any call of the service. It runs even if its connection is gone by then.
async fn call(replica: web::Data<Replica>, request: HttpRequest, body: Bytes) -> HttpResponse {
    if replica.fails_now() {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let call = Call::read(&request, &body);
    let ran = actix_rt::spawn(run_in_slot(replica.into_inner(), call)).await;
    match ran {
        Ok(Some(echo)) => HttpResponse::Ok().json(echo),
        _ => cut_reply(),
    }
}

/// Runs a call; `None` if its reply is to be lost.
async fn run_in_slot(replica: Arc<Replica>, call: Call) -> Option<Echo> {
    let _slot = replica.slots.acquire().await.ok()?;
    actix_rt::time::sleep(Duration::from_millis(replica.node.call_ms)).await;
    replica.gate.wait_thawed().await;
    let echo = replica
        .deduplicate(&call)
        .unwrap_or_else(|| replica.run(&call));
    let extra_ms = replica.lock().extra_reply_ms;
    actix_rt::time::sleep(Duration::from_millis(extra_ms)).await;
    if replica.loses_reply() {
        return None;
    }
    Some(echo)
}

async fn counters(replica: web::Data<Replica>) -> HttpResponse {
    HttpResponse::Ok().json(&replica.lock().counters)
}

async fn all_counters(fleet: web::Data<Fleet>) -> HttpResponse {
    let all: IndexMap<&EndpointId, ApplicationCounters> = fleet
        .iter()
        .map(|(name, replica)| (name, replica.lock().counters.clone()))
        .collect();
    HttpResponse::Ok().json(all)
}

async fn faults(
    replica: web::Data<Replica>,
    fleet: web::Data<Fleet>,
    ask: web::Json<FaultRequest>,
) -> HttpResponse {
    let here = replica.into_inner();
    let target = match &ask.endpoint {
        Some(endpoint) => fleet.get(endpoint).cloned(),
        None => Some(here),
    };
    let Some(target) = target else {
        return HttpResponse::NotFound().finish();
    };
    target.gate.apply(&ask.fault);
    target.apply(&ask.fault);
    thaw_later(web::Data::from(target.gate.clone()), &ask.fault);
    HttpResponse::NoContent().finish()
}
