//! The instances' records in the store, by which they find one another.

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

/// Longest wait for the store's answer to the calls that make instances known to one another.
pub(super) const REGISTER_TIMEOUT_MS: u64 = 800;
/// Pause between two reads of the instances' records, which only find what no datagram has told.
const RECORDS_PAUSE_MS: u64 = 15_000;
/// The same at an instance that does not read the store otherwise. Others tell it of themselves.
const RARE_RECORDS_PAUSE_MS: u64 = 120_000;
/// Shortest pause after a call about the records that failed, and the longest: hundreds that start
/// together press the store beyond what it writes in a second, and each must wait longer than the one
/// before until all are through.
const RECORDS_RETRY_MS: u64 = 500;
const LONGEST_RETRY_MS: u64 = 4_000;
/// Where instances' records stand in the store.
const RECORDS_PREFIX: &str = "instance/";
/// Most records read by one call.
const RECORDS_LIMIT: u32 = 500;

/// Makes this instance known, and learns of the others.
pub(super) async fn maintain_records<A>(node: Rc<Node<A>>)
where
    A: Adapter,
{
    let mut is_written = false;
    let mut failures = 0;
    loop {
        // First, since callers may come at any moment.
        let knows_key = quarantine_rows::load(&node).await;
        let mut read = None;
        if failures > 0 && !is_written {
            // A write without an answer may have taken effect. Sent again and again, such writes would keep
            // a store busy that hundreds have just come to.
            read = read_records(&node).await;
        }
        if read != Some(OwnRecord::IsThere) {
            is_written = is_written || write_record(&node).await;
            // Behind the write, so that of two instances that start together one learns of the other.
            read = read_records(&node).await;
        }
        if let Some(own) = read {
            is_written |= own == OwnRecord::IsThere;
            node.are_records_loaded.set(true);
            node.update_store_reading(boot_ms());
        }
        let is_done = is_written && read.is_some() && knows_key;
        failures = if is_done { 0 } else { failures + 1 };
        let pause_ms = match (is_done, node.reads_store()) {
            (true, true) => RECORDS_PAUSE_MS,
            (true, false) => RARE_RECORDS_PAUSE_MS,
            (false, _) => retry_ms(failures, node.random_u64()),
        };
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Pause after so many failures in a row: twice as long each time, and spread over half of it either way,
/// so that those which started together do not come again together.
pub(super) fn retry_ms(failures: u32, draw: u64) -> u64 {
    let doublings = failures.saturating_sub(1).min(u64::BITS - 1);
    let pause_ms = RECORDS_RETRY_MS
        .saturating_mul(1 << doublings)
        .min(LONGEST_RETRY_MS);
    pause_ms / 2 + draw % pause_ms
}

/// What a read of the records shows of this process's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OwnRecord {
    IsThere,
    IsMissing,
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
        log::error!("the instance's record cannot be written as text");
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
        log::warn!(failure:% = failure; "the instance's record was not written");
    }
    written.is_ok()
}

/// Reads the records and learns of their instances; `None` where the store does not answer.
async fn read_records<A>(node: &Node<A>) -> Option<OwnRecord>
where
    A: Adapter,
{
    let mut own = OwnRecord::IsMissing;
    let mut after = None;
    loop {
        let ask = ScanRows {
            prefix: RECORDS_PREFIX.to_owned(),
            after,
            limit: RECORDS_LIMIT,
        };
        let rows = match node.adapter.store().scan(&ask, REGISTER_TIMEOUT_MS).await {
            Ok(rows) => rows.rows,
            Err(failure) => {
                log::warn!(failure:% = failure; "instances' records were not read");
                return None;
            }
        };
        for row in &rows {
            if learn_record(node, row) == OwnRecord::IsThere {
                own = OwnRecord::IsThere;
            }
        }
        after = next_page(&rows, RECORDS_LIMIT);
        if after.is_none() {
            return Some(own);
        }
    }
}

/// The key behind which the next rows are read, where a read of at most `limit` may have left some out.
pub(super) fn next_page(rows: &[Row], limit: u32) -> Option<String> {
    let is_full = u32::try_from(rows.len()).is_ok_and(|count| count >= limit);
    let last = rows.last().filter(|_| is_full)?;
    Some(last.key.clone())
}

/// Learns of a record's instance; says whether the record is this process's own.
fn learn_record<A>(node: &Node<A>, row: &Row) -> OwnRecord {
    match serde_json::from_str::<InstanceRecord>(&row.value) {
        Ok(record) if record.incarnation == node.incarnation => return OwnRecord::IsThere,
        Ok(record) => node.peers.borrow_mut().add_record(record, boot_ms()),
        Err(error) => {
            log::warn!(key = row.key.as_str(), error:% = error; "record is malformed");
        }
    }
    OwnRecord::IsMissing
}
