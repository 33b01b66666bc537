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
use crate::wire::platform::{ScanRows, Transaction, Write};

/// Longest wait for the store's answer to the calls that make instances known to one another.
pub(super) const REGISTER_TIMEOUT_MS: u64 = 800;
/// Pause between two reads of the instances' records, which only find what no datagram has told.
const RECORDS_PAUSE_MS: u64 = 15_000;
/// The same at an instance that does not read the store otherwise. Others tell it of themselves.
const RARE_RECORDS_PAUSE_MS: u64 = 120_000;
/// Pause after a call about the records that failed.
const RECORDS_RETRY_MS: u64 = 500;
/// Where instances' records stand in the store.
const RECORDS_PREFIX: &str = "instance/";
/// Most records read at once.
const RECORDS_LIMIT: u32 = 500;

/// Makes this instance known, and learns of the others.
pub(super) async fn follow_records<A>(node: Rc<Node<A>>)
where
    A: Adapter,
{
    let mut is_written = false;
    loop {
        // First, since callers may come at any moment.
        let knows_key = quarantine_rows::learn(&node).await;
        if !is_written {
            is_written = write_record(&node).await;
        }
        let is_read = read_records(&node).await;
        if is_read {
            node.are_records_known.set(true);
            node.look_at_reading(boot_ms());
        }
        let pause_ms = match (is_written && is_read && knows_key, node.reads_store()) {
            (true, true) => RECORDS_PAUSE_MS,
            (true, false) => RARE_RECORDS_PAUSE_MS,
            (false, _) => RECORDS_RETRY_MS,
        };
        sleep(Duration::from_millis(pause_ms)).await;
    }
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

async fn read_records<A>(node: &Node<A>) -> bool
where
    A: Adapter,
{
    let ask = ScanRows {
        prefix: RECORDS_PREFIX.to_owned(),
        after: None,
        limit: RECORDS_LIMIT,
    };
    let rows = match node.adapter.store().scan(&ask, REGISTER_TIMEOUT_MS).await {
        Ok(rows) => rows,
        Err(failure) => {
            log::warn!(failure:% = failure; "instances' records were not read");
            return false;
        }
    };
    for row in rows.rows {
        match serde_json::from_str::<InstanceRecord>(&row.value) {
            Ok(it) => {
                let mut peers = node.peers.borrow_mut();
                peers.learn(it, boot_ms());
            }
            Err(error) => {
                log::warn!(key = row.key.as_str(), error:% = error; "record is malformed")
            }
        }
    }
    true
}
