//! Instance discovery: each instance writes a record to the store and reads those of the others.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::adapter::Adapter;
use super::node::Node;
use super::peer::InstanceRecord;
use super::quarantine_rows;
use crate::clients::TableService;
use crate::clock::boot_ms;
use crate::wire::platform::{Row, ScanRows, Transaction, Write};

/// For each call to the store that concerns records.
pub(super) const REGISTER_TIMEOUT_MS: u64 = 800;
/// Interval between reads of the records. They only find instances that no heartbeat has announced.
const READ_INTERVAL_MS: u64 = 15_000;
/// The same for an instance that does not read the store otherwise; it learns of the others by heartbeat.
const NON_READER_INTERVAL_MS: u64 = 120_000;
/// Shortest and longest pause after a failed call. Hundreds of instances that start together exceed the
/// write rate of the store, so pauses have to grow until all have succeeded.
const MIN_RETRY_MS: u64 = 500;
const MAX_RETRY_MS: u64 = 4_000;
/// Key prefix of the records in the store.
const RECORDS_PREFIX: &str = "instance/";
/// Maximum number of records read by one call.
const MAX_RECORDS_PER_CALL: u32 = 500;

/// Writes this instance's record and reads the others', for as long as the process runs.
pub(super) async fn maintain_records<A>(node: Rc<Node<A>>)
where
    A: Adapter,
{
    let mut is_written = false;
    let mut failures = 0;
    loop {
        // Comes first because requests may arrive at any moment.
        let knows_key = quarantine_rows::load(&node).await;
        let mut read = None;
        if failures > 0 && !is_written {
            // An unanswered write may have taken effect. Repeating such writes would keep the store busy
            // when hundreds of instances have just started.
            read = read_records(&node).await;
        }
        if read != Some(OwnRecord::Present) {
            is_written = is_written || write_record(&node).await;
            // Reads after the write, so that of two instances that start together at least one finds the
            // other.
            read = read_records(&node).await;
        }
        if let Some(own) = read {
            is_written |= own == OwnRecord::Present;
            node.are_records_loaded.set(true);
            node.update_store_reading(boot_ms());
        }
        let is_done = is_written && read.is_some() && knows_key;
        failures = if is_done { 0 } else { failures + 1 };
        let pause_ms = match (is_done, node.reads_store()) {
            (true, true) => READ_INTERVAL_MS,
            (true, false) => NON_READER_INTERVAL_MS,
            (false, _) => backoff_ms(failures, node.random_u64()),
        };
        sleep(Duration::from_millis(pause_ms)).await;
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

/// Whether the records include that of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OwnRecord {
    Present,
    Missing,
}

async fn write_record<A>(node: &Node<A>) -> bool
where
    A: Adapter,
{
    let settings = &node.settings;
    let record = InstanceRecord {
        instance: settings.instance.clone(),
        incarnation: node.incarnation,
        zone: settings.zone.clone(),
        front: settings.front,
        peers: settings.peers,
        link_mbps: settings.link_mbps,
    };
    let Ok(value) = serde_json::to_string(&record) else {
        log::error!("instance record could not be serialized");
        return false;
    };
    let transaction = Transaction {
        conditions: Vec::new(),
        writes: vec![Write::Put {
            key: format!("{RECORDS_PREFIX}{}", settings.instance),
            value,
        }],
    };
    let store = node.adapter.store();
    let written = store.transact(&transaction, REGISTER_TIMEOUT_MS).await;
    if let Err(failure) = &written {
        log::warn!(failure:% = failure; "instance record could not be written to the store");
    }
    written.is_ok()
}

/// Reads all records and adds their instances to the peer book. Returns `None` if the store does not
/// answer.
async fn read_records<A>(node: &Node<A>) -> Option<OwnRecord>
where
    A: Adapter,
{
    let mut own = OwnRecord::Missing;
    let mut after = None;
    loop {
        let request = ScanRows {
            prefix: RECORDS_PREFIX.to_owned(),
            after,
            limit: MAX_RECORDS_PER_CALL,
        };
        let rows = match node
            .adapter
            .store()
            .scan(&request, REGISTER_TIMEOUT_MS)
            .await
        {
            Ok(rows) => rows.rows,
            Err(failure) => {
                log::warn!(failure:% = failure; "instance records could not be read from the store");
                return None;
            }
        };
        for row in &rows {
            if add_record(node, row) == OwnRecord::Present {
                own = OwnRecord::Present;
            }
        }
        after = next_page(&rows, MAX_RECORDS_PER_CALL);
        if after.is_none() {
            return Some(own);
        }
    }
}

/// The key after which the next page starts, if `rows` reached the `limit` and more may follow.
pub(super) fn next_page(rows: &[Row], limit: u32) -> Option<String> {
    let is_full = u32::try_from(rows.len()).is_ok_and(|count| count >= limit);
    let last = rows.last().filter(|_| is_full)?;
    Some(last.key.clone())
}

/// Adds a record's instance to the peer book. Returns whether the record is that of this process.
fn add_record<A>(node: &Node<A>, row: &Row) -> OwnRecord {
    match serde_json::from_str::<InstanceRecord>(&row.value) {
        Ok(record) if record.incarnation == node.incarnation => return OwnRecord::Present,
        Ok(record) => node.peers.borrow_mut().add_record(record, boot_ms()),
        Err(error) => {
            log::warn!(key = row.key.as_str(), error:% = error; "instance record is malformed");
        }
    }
    OwnRecord::Missing
}
