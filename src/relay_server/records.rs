//! Instance discovery: records of instances in the store.
//!
//! An instance introduces itself at its start ([`super::introduction`]). From then on, the first instance
//! of each zone writes the records that its zone lacks, many in a call, and the instances that read the
//! store read all records; the others learn of instances from heartbeats and peer lists.

use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::sleep;

use super::adapter::Adapter;
use super::introduction::{FIRST_START_MS, Introduction, IntroductionStep, MAX_CONTACTS};
use super::node::Node;
use super::peer::InstanceRecord;
use super::quarantine_rows;
use super::store_calls::StoreCall;
use crate::clock::boot_ms;
use crate::ids::InstanceId;
use crate::wire::platform::{Condition, Row, ScanRows, TransactReply, Transaction, Write};

/// Interval between checks whether an introduction has progressed.
const INTRODUCTION_POLL_MS: u64 = 20;
/// Interval between checks whether records have to be written or read.
const MAINTAIN_INTERVAL_MS: u64 = 1_000;
/// Interval between reads of the records once all are known. They only find instances of other zones that
/// no heartbeat has announced.
const READ_INTERVAL_MS: u64 = 15_000;
/// The same while reads find unknown instances, as when a fleet starts.
const GROWTH_READ_INTERVAL_MS: u64 = 2_000;
/// How long after its introduction an instance waits for a peer to provide the key of request digests,
/// before it reads the key from the store.
const KEY_WAIT_MS: u64 = 5_000;
/// Shortest and longest pause after a failed call. Hundreds of instances that start together exceed the
/// write rate of the store, so pauses have to grow until all have succeeded.
const MIN_RETRY_MS: u64 = 500;
const MAX_RETRY_MS: u64 = 4_000;
/// Key prefix of the records in the store; the zone and the instance follow.
const RECORDS_PREFIX: &str = "instance/";
/// Maximum number of records read by one call.
const MAX_RECORDS_PER_CALL: u32 = 500;
/// Maximum number of records written by one call.
const MAX_RECORDS_PER_WRITE: usize = 50;

/// Makes this instance known, and maintains the records of its zone, for as long as the process runs.
pub(super) async fn maintain_records<A>(node: Rc<Node<A>>)
where
    A: Adapter,
{
    introduce(&node).await;
    let mut maintenance = Maintenance::starting(boot_ms());
    loop {
        maintenance.run_due(&node).await;
        sleep(Duration::from_millis(MAINTAIN_INTERVAL_MS)).await;
    }
}

/// Returns once peers know this instance, or its record is in the store and all others have been read.
async fn introduce<A>(node: &Rc<Node<A>>)
where
    A: Adapter,
{
    let is_first_start = node.settings.is_first_start;
    let mut introduction = Introduction::new(is_first_start, node.random_u64(), boot_ms());
    let mut had_record = false;
    loop {
        let now_ms = boot_ms();
        let hears_zone_peer = node.peers.borrow().hears_zone_peer(now_ms);
        match introduction.next(hears_zone_peer, now_ms) {
            IntroductionStep::Wait => {
                sleep(Duration::from_millis(INTRODUCTION_POLL_MS)).await;
            }
            IntroductionStep::ReadContacts => {
                let contacts = read_contacts(node).await;
                had_record |= contacts.is_some_and(|it| it.has_own);
                let found = contacts.map(|it| it.others);
                introduction.record_contacts(found, node.random_u64(), boot_ms());
                node.request_heartbeat();
            }
            IntroductionStep::Register => return register(node, had_record).await,
            IntroductionStep::Done => {
                log::info!("peers of the zone know this instance");
                return;
            }
        }
    }
}

/// Records of the own zone that were found.
#[derive(Clone, Copy, Debug)]
struct Contacts {
    /// Number of other instances.
    others: usize,
    /// Whether there is a record of this instance: an earlier process has run in its place.
    has_own: bool,
}

/// Reads records of the own zone and adds their instances to the peer book. Returns `None` if the store does not
/// answer.
async fn read_contacts<A>(node: &Node<A>) -> Option<Contacts>
where
    A: Adapter,
{
    let prefix = zone_prefix(node.settings.zone.as_str());
    let rows = scan(node, prefix, None, MAX_CONTACTS, StoreCall::Contacts).await?;
    let records: Vec<InstanceRecord> = rows.iter().filter_map(parse_record).collect();
    let is_other = |record: &&InstanceRecord| record.instance != node.settings.instance;
    let others = records.iter().filter(is_other).count();
    let has_own = others < records.len();
    log::info!(found = others, has_own; "read records of contacts");
    add_records(node, records);
    Some(Contacts { others, has_own })
}

/// Writes the own record and reads all others, until both have succeeded.
async fn register<A>(node: &Rc<Node<A>>, had_record: bool)
where
    A: Adapter,
{
    let mut registration = Registration {
        had_record,
        ..Registration::default()
    };
    loop {
        // Comes first because requests may arrive at any moment.
        let knows_key = quarantine_rows::load(node).await;
        let mut read = None;
        if registration.reads_first() {
            read = read_all(node).await;
            registration.is_written |= read
                .as_ref()
                .is_some_and(|it| own_record(node).is_recorded_in(&it.records));
        }
        if !registration.is_written {
            write_own_record(node, &mut registration).await;
            // Reads after the write, so that of two instances that start together at least one finds the
            // other.
            read = read_all(node).await;
        }
        if read.is_some() {
            node.are_records_loaded.set(true);
            node.update_store_reading(boot_ms());
        }
        if registration.is_written && read.is_some() && knows_key {
            return;
        }
        registration.failures += 1;
        let pause_ms = backoff_ms(registration.failures, node.random_u64());
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Writes the own record. If there was none, no earlier process has run in the place of this one.
async fn write_own_record<A>(node: &Node<A>, registration: &mut Registration)
where
    A: Adapter,
{
    if !registration.had_record {
        match create_own_record(node).await {
            Some(TransactReply::Committed { .. }) => {
                let until_ms = boot_ms() + FIRST_START_MS;
                node.budget.borrow_mut().note_first_process(until_ms);
                registration.is_written = true;
                return;
            }
            Some(TransactReply::Conflict { .. }) => registration.had_record = true,
            None => return,
        }
    }
    registration.is_written = write_records(node, &[own_record(node)]).await;
}

/// Writes the own record if the store has none of this instance. Returns `None` if the store does not answer.
async fn create_own_record<A>(node: &Node<A>) -> Option<TransactReply>
where
    A: Adapter,
{
    let (key, value) = record_row(&own_record(node))?;
    let transaction = Transaction {
        conditions: vec![Condition::BeAbsent { key: key.clone() }],
        writes: vec![Write::Put { key, value }],
    };
    let cause = StoreCall::WriteRecords;
    let reply = node.transact_rows(cause, &transaction).await;
    match &reply {
        Ok(reply) => {
            let is_first = matches!(reply, TransactReply::Committed { .. });
            log::info!(is_first; "looked for a record of an earlier process of this instance");
        }
        Err(failure) => {
            log::warn!(failure:% = failure; "instance records could not be written to the store");
        }
    }
    reply.ok()
}

/// Key and value of a record's row.
fn record_row(record: &InstanceRecord) -> Option<(String, String)> {
    let Ok(value) = serde_json::to_string(record) else {
        log::error!(instance = record.instance.as_str(); "instance record could not be serialized");
        return None;
    };
    let prefix = zone_prefix(record.zone.as_str());
    Some((format!("{prefix}{}", record.instance), value))
}

/// Progress of the registration of this instance.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Registration {
    /// Whether the store had a record of this instance before.
    pub(super) had_record: bool,
    /// Whether the own record is in the store.
    pub(super) is_written: bool,
    /// Consecutive rounds in which a call failed.
    pub(super) failures: u32,
}

impl Registration {
    /// Whether the records are read before the own one is written. An unanswered write may have taken
    /// effect, and repeating such writes would keep the store busy when hundreds of instances have just
    /// started. If only the read failed, it is all that is left to do.
    pub(super) fn reads_first(self) -> bool {
        self.failures > 0
    }
}

/// The recurring tasks of an instance that has been introduced.
struct Maintenance {
    introduced_ms: u64,
    /// All records, as this instance last read or wrote them; `None` if it does not read them.
    recorded: Option<IndexMap<InstanceId, InstanceRecord>>,
    read_due_ms: u64,
    /// When the next call may be made after failed ones.
    retry_due_ms: u64,
    /// Consecutive failures.
    failures: u32,
}

impl Maintenance {
    fn starting(now_ms: u64) -> Self {
        Self {
            introduced_ms: now_ms,
            recorded: None,
            read_due_ms: now_ms,
            retry_due_ms: now_ms,
            failures: 0,
        }
    }

    /// Makes the calls that are due. Instances that only read the store in place of others, while those get
    /// no answers, leave the records alone.
    async fn run_due<A>(&mut self, node: &Rc<Node<A>>)
    where
        A: Adapter,
    {
        let now_ms = boot_ms();
        if now_ms < self.retry_due_ms {
            return;
        }
        let is_reader = node.peers.borrow().is_top_ranked_in_zone(now_ms) && node.reads_store();
        let lacks_key = node.digest_key.borrow().is_none();
        let needs_key = lacks_key && (is_reader || now_ms >= self.introduced_ms + KEY_WAIT_MS);
        let mut is_ok = !needs_key || quarantine_rows::load(node).await;
        if is_reader {
            is_ok &= self.read_if_due(node).await;
            is_ok &= self.write_missing(node).await;
        } else {
            self.recorded = None;
        }
        self.failures = if is_ok { 0 } else { self.failures + 1 };
        if !is_ok {
            let pause_ms = backoff_ms(self.failures, node.random_u64());
            self.retry_due_ms = boot_ms() + pause_ms;
        }
    }

    /// Reads all records if it is time. Returns whether no call failed.
    async fn read_if_due<A>(&mut self, node: &Node<A>) -> bool
    where
        A: Adapter,
    {
        let now_ms = boot_ms();
        if self.recorded.is_some() && now_ms < self.read_due_ms {
            return true;
        }
        let Some(read) = read_all(node).await else {
            return false;
        };
        let has_grown = read.has_unknown || self.recorded.is_none();
        let interval_ms = if has_grown {
            GROWTH_READ_INTERVAL_MS
        } else {
            READ_INTERVAL_MS
        };
        self.read_due_ms = now_ms + interval_ms;
        self.recorded = Some(read.records);
        true
    }

    /// As the first instance of the zone, writes the records that the zone lacks. Returns whether no call
    /// failed.
    async fn write_missing<A>(&mut self, node: &Node<A>) -> bool
    where
        A: Adapter,
    {
        let Some(recorded) = &mut self.recorded else {
            return true;
        };
        let missing = {
            let peers = node.peers.borrow();
            let now_ms = boot_ms();
            if !peers.is_zone_registrar(now_ms) {
                return true;
            }
            let mut missing = peers.unrecorded(recorded, now_ms);
            missing.extend(Some(own_record(node)).filter(|it| !it.is_recorded_in(recorded)));
            missing
        };
        for records in missing.chunks(MAX_RECORDS_PER_WRITE) {
            if !write_records(node, records).await {
                return false;
            }
            let written = records.iter().cloned();
            recorded.extend(written.map(|it| (it.instance.clone(), it)));
        }
        true
    }
}

/// Pause after a number of consecutive failures: exponential backoff with a jitter of half the pause in
/// either direction, so that instances which started together do not retry together.
pub(super) fn backoff_ms(failures: u32, draw: u64) -> u64 {
    let doublings = failures.saturating_sub(1).min(u64::BITS - 1);
    let pause_ms = MIN_RETRY_MS
        .saturating_mul(1 << doublings)
        .min(MAX_RETRY_MS);
    pause_ms / 2 + draw % pause_ms
}

fn zone_prefix(zone: &str) -> String {
    format!("{RECORDS_PREFIX}{zone}/")
}

fn own_record<A>(node: &Node<A>) -> InstanceRecord {
    let settings = &node.settings;
    InstanceRecord {
        instance: settings.instance.clone(),
        incarnation: node.incarnation,
        zone: settings.zone.clone(),
        front: settings.front,
        peers: settings.peers,
        link_mbps: settings.link_mbps,
    }
}

/// Writes records to the store in one call. Returns whether it succeeded.
async fn write_records<A>(node: &Node<A>, records: &[InstanceRecord]) -> bool
where
    A: Adapter,
{
    let mut writes = Vec::new();
    for record in records {
        let Some((key, value)) = record_row(record) else {
            return false;
        };
        writes.push(Write::Put { key, value });
    }
    let transaction = Transaction {
        conditions: Vec::new(),
        writes,
    };
    let written = node
        .transact_rows(StoreCall::WriteRecords, &transaction)
        .await;
    match &written {
        Ok(_) => log::info!(records = records.len(); "instance records were written to the store"),
        Err(failure) => {
            log::warn!(failure:% = failure; "instance records could not be written to the store");
        }
    }
    written.is_ok()
}

/// Result of reading all records.
struct AllRecords {
    records: IndexMap<InstanceId, InstanceRecord>,
    /// Whether some of their instances were unknown.
    has_unknown: bool,
}

/// Reads all records and adds their instances to the peer book. Returns `None` if the store does not
/// answer.
async fn read_all<A>(node: &Node<A>) -> Option<AllRecords>
where
    A: Adapter,
{
    let mut all = AllRecords {
        records: IndexMap::new(),
        has_unknown: false,
    };
    let mut after = None;
    loop {
        let prefix = RECORDS_PREFIX.to_owned();
        let limit = MAX_RECORDS_PER_CALL;
        let rows = scan(node, prefix, after, limit, StoreCall::ReadRecords).await?;
        let records: Vec<InstanceRecord> = rows.iter().filter_map(parse_record).collect();
        all.has_unknown |= add_records(node, records.clone());
        all.records
            .extend(records.into_iter().map(|it| (it.instance.clone(), it)));
        after = next_page(&rows, MAX_RECORDS_PER_CALL);
        if after.is_none() {
            node.peers.borrow_mut().note_all_known();
            return Some(all);
        }
    }
}

async fn scan<A>(
    node: &Node<A>,
    prefix: String,
    after: Option<String>,
    limit: u32,
    cause: StoreCall,
) -> Option<Vec<Row>>
where
    A: Adapter,
{
    let request = ScanRows {
        prefix,
        after,
        limit,
    };
    match node.scan_rows(cause, &request).await {
        Ok(rows) => Some(rows.rows),
        Err(failure) => {
            log::warn!(failure:% = failure; "instance records could not be read from the store");
            None
        }
    }
}

/// The key after which the next page starts, if `rows` reached the `limit` and more may follow.
pub(super) fn next_page(rows: &[Row], limit: u32) -> Option<String> {
    let is_full = u32::try_from(rows.len()).is_ok_and(|count| count >= limit);
    let last = rows.last().filter(|_| is_full)?;
    Some(last.key.clone())
}

fn parse_record(row: &Row) -> Option<InstanceRecord> {
    serde_json::from_str(&row.value)
        .inspect_err(|error| {
            log::warn!(key = row.key.as_str(), error:% = error; "instance record is malformed");
        })
        .ok()
}

/// Adds the instances of records to the peer book. Returns whether some were unknown.
fn add_records<A>(node: &Node<A>, records: Vec<InstanceRecord>) -> bool {
    let now_ms = boot_ms();
    let mut peers = node.peers.borrow_mut();
    let mut has_unknown = false;
    for record in records {
        has_unknown |= peers.add_record(record, now_ms);
    }
    has_unknown
}
