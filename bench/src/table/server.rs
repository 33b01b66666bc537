//! HTTP of the table service.

use std::sync::{Mutex, PoisonError};

use actix_web::dev::Server;
use actix_web::{HttpResponse, web};
use fescueshore::wire::platform::{ReadRows, ScanRows, Transaction};
use serde::Serialize;

use super::store::Store;
use crate::standin::faults::{Fault, FaultRequest};
use crate::standin::{Gate, StandinError, TokenBucket, cut_reply, serve, thaw_later, unix_us};
use crate::topology::Topology;

/// Rows written a second unless a fault says otherwise.
const WRITES_PER_S: u32 = 300;
/// Rows read a second unless a fault says otherwise.
const READS_PER_S: u32 = 2000;

/// What the table service did.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct Counters {
    /// Transactions asked for, refused ones left out.
    transactions: u64,
    /// Transactions with an unmet condition.
    conflicts: u64,
    /// Rows written.
    writes: u64,
    /// Rows read or scanned; a key that does not exist counts too.
    reads: u64,
    /// Calls over the rate limit.
    throttled: u64,
    /// Replies cut off after their transaction took effect.
    lost_replies: u64,
    /// Rows held now.
    rows: u64,
}

/// The table service.
#[derive(Debug)]
struct Table {
    store: Store,
    counters: Counters,
    writes: TokenBucket,
    reads: TokenBucket,
    replies_to_lose: u32,
}

type SharedTable = web::Data<Mutex<Table>>;

impl Table {
    fn new(now_us: u64) -> Self {
        Self {
            store: Store::default(),
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

    fn may_read(&mut self, rows: usize) -> bool {
        let free = self.reads.take(rows.max(1), unix_us());
        if free {
            self.counters.reads += rows.max(1) as u64;
        } else {
            self.counters.throttled += 1;
        }
        free
    }

    fn may_write(&mut self, rows: usize) -> bool {
        let free = self.writes.take(rows.max(1), unix_us());
        if !free {
            self.counters.throttled += 1;
        }
        free
    }
}

/// Listens on the topology's address.
pub(crate) fn listen(topology: &Topology) -> Result<Server, StandinError> {
    let gate = web::Data::new(Gate::new());
    let table: SharedTable = web::Data::new(Mutex::new(Table::new(unix_us())));
    serve(topology.platform.table, gate, move |config| {
        config
            .app_data(table.clone())
            .route("/v1/transact", web::post().to(transact))
            .route("/v1/read", web::post().to(read))
            .route("/v1/scan", web::post().to(scan))
            .route("/standin/counters", web::get().to(counters))
            .route("/standin/faults", web::post().to(faults));
    })
}

fn lock(table: &SharedTable) -> std::sync::MutexGuard<'_, Table> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn transact(table: SharedTable, ask: web::Json<Transaction>) -> HttpResponse {
    use fescueshore::wire::platform::TransactReply;
    let mut table = lock(&table);
    let rows = ask.writes.len();
    if !table.may_write(rows) {
        return HttpResponse::TooManyRequests().finish();
    }
    let reply = table.store.transact(ask.into_inner());
    table.counters.transactions += 1;
    match reply {
        TransactReply::Committed { .. } => table.counters.writes += rows as u64,
        TransactReply::Conflict { .. } => table.counters.conflicts += 1,
    }
    if table.replies_to_lose > 0 {
        table.replies_to_lose -= 1;
        table.counters.lost_replies += 1;
        return cut_reply();
    }
    HttpResponse::Ok().json(reply)
}

async fn read(table: SharedTable, ask: web::Json<ReadRows>) -> HttpResponse {
    let mut table = lock(&table);
    if !table.may_read(ask.keys.len()) {
        return HttpResponse::TooManyRequests().finish();
    }
    HttpResponse::Ok().json(table.store.read(&ask))
}

async fn scan(table: SharedTable, ask: web::Json<ScanRows>) -> HttpResponse {
    let mut table = lock(&table);
    let rows = table.store.scan(&ask);
    if !table.may_read(rows.rows.len()) {
        return HttpResponse::TooManyRequests().finish();
    }
    HttpResponse::Ok().json(rows)
}

async fn counters(table: SharedTable) -> HttpResponse {
    let table = lock(&table);
    let rows = table.store.len() as u64;
    HttpResponse::Ok().json(Counters {
        rows,
        ..table.counters
    })
}

async fn faults(
    table: SharedTable,
    gate: web::Data<Gate>,
    ask: web::Json<FaultRequest>,
) -> HttpResponse {
    gate.apply(&ask.fault);
    lock(&table).apply(&ask.fault, unix_us());
    thaw_later(gate, &ask.fault);
    HttpResponse::NoContent().finish()
}
