//! HTTP of the table service.

use std::sync::{Mutex, PoisonError};

use actix_web::dev::Server;
use actix_web::{HttpResponse, web};
use fescueshore::wire::platform::{ReadRows, ScanRows, TransactReply, Transaction, Write};
use indexmap::IndexMap;
use serde::Serialize;

use super::store::Store;
use crate::standin::faults::FaultRequest;
use crate::standin::{Gate, StandinError, StoreLimits, cut_reply, serve, thaw_later};
use crate::topology::Topology;

/// What the table service did.
#[derive(Clone, Debug, Default, Serialize)]
struct Counters {
    /// Transactions asked for, refused ones left out.
    transactions: u64,
    /// Transactions with an unmet condition.
    conflicts: u64,
    /// Rows written.
    writes: u64,
    /// Rows written, by the part of their key before its first `/`.
    writes_by_kind: IndexMap<String, u64>,
    /// Rows read or scanned; a key that does not exist counts too.
    reads: u64,
    /// Calls over the rate limit.
    throttled: u64,
    /// Replies cut off after their transaction took effect.
    lost_replies: u64,
    /// Rows held now.
    rows: u64,
}

impl Counters {
    fn note_written(&mut self, keys: &[String]) {
        self.writes += keys.len() as u64;
        for key in keys {
            let kind = key.split('/').next().unwrap_or_default();
            *self.writes_by_kind.entry(kind.to_owned()).or_default() += 1;
        }
    }
}

/// The table service.
#[derive(Debug)]
struct Table {
    store: Store,
    counters: Counters,
    limits: StoreLimits,
}

type SharedTable = web::Data<Mutex<Table>>;

impl Table {
    fn new() -> Self {
        Self {
            store: Store::default(),
            counters: Counters::default(),
            limits: StoreLimits::new(),
        }
    }

    fn may_read(&mut self, rows: usize) -> bool {
        let rows = rows.max(1);
        let free = self.limits.may_read(rows);
        if free {
            self.counters.reads += rows as u64;
        }
        free
    }
}

/// Listens on the topology's address.
pub(crate) fn listen(topology: &Topology) -> Result<Server, StandinError> {
    let gate = web::Data::new(Gate::new());
    let table: SharedTable = web::Data::new(Mutex::new(Table::new()));
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

fn key_of(write: &Write) -> &str {
    match write {
        Write::Put { key, .. } | Write::Delete { key } => key,
    }
}

async fn transact(table: SharedTable, ask: web::Json<Transaction>) -> HttpResponse {
    let mut table = lock(&table);
    let rows = ask.writes.len();
    let keys: Vec<String> = ask
        .writes
        .iter()
        .map(|write| key_of(write).into())
        .collect();
    if !table.limits.may_write(rows.max(1)) {
        return HttpResponse::TooManyRequests().finish();
    }
    let reply = table.store.transact(ask.into_inner());
    table.counters.transactions += 1;
    match reply {
        TransactReply::Committed { .. } => table.counters.note_written(&keys),
        TransactReply::Conflict { .. } => table.counters.conflicts += 1,
    }
    if table.limits.loses_reply(&keys) {
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
    HttpResponse::Ok().json(Counters {
        throttled: table.limits.throttled,
        lost_replies: table.limits.lost_replies,
        rows: table.store.len() as u64,
        ..table.counters.clone()
    })
}

async fn faults(
    table: SharedTable,
    gate: web::Data<Gate>,
    ask: web::Json<FaultRequest>,
) -> HttpResponse {
    gate.apply(&ask.fault);
    lock(&table).limits.apply(&ask.fault);
    thaw_later(gate, &ask.fault);
    HttpResponse::NoContent().finish()
}
