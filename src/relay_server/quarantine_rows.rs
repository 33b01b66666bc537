//! What stands in the store for the quarantine of requests: the key of the deployment's digests.

use super::adapter::Adapter;
use super::node::Node;
use super::records::REGISTER_TIMEOUT_MS;
use crate::clients::{TableFailure, TableService};
use crate::quarantine::DigestKey;
use crate::wire::platform::{Condition, ReadRows, Row, TransactReply, Transaction, Write};

/// Where the key of the digests stands.
const KEY_ROW: &str = "quarantine/key";

/// Learns the key of the deployment's digests, and draws it if there is none. Returns whether it is
/// known.
pub(super) async fn learn_key<A>(node: &Node<A>) -> bool
where
    A: Adapter,
{
    if node.digest_key.borrow().is_some() {
        return true;
    }
    let key = match read_or_write_key(node).await {
        Ok(key) => key,
        Err(failure) => {
            log::warn!(failure:% = failure; "the key of request digests was not read");
            return false;
        }
    };
    let is_known = key.is_some();
    if !is_known {
        log::error!(row = KEY_ROW; "the key of request digests is malformed; remove the row to have a new one drawn");
    }
    *node.digest_key.borrow_mut() = key;
    is_known
}

async fn read_or_write_key<A>(node: &Node<A>) -> Result<Option<DigestKey>, TableFailure>
where
    A: Adapter,
{
    let store = node.adapter.store();
    let ask = ReadRows {
        keys: vec![KEY_ROW.to_owned()],
    };
    let found = store.read(&ask, REGISTER_TIMEOUT_MS).await?;
    if let Some(row) = found.rows.first() {
        return Ok(key_in(row));
    }
    let drawn = DigestKey::draw(&mut rand::rng());
    let transaction = Transaction {
        conditions: vec![Condition::BeAbsent {
            key: KEY_ROW.to_owned(),
        }],
        writes: vec![Write::Put {
            key: KEY_ROW.to_owned(),
            value: drawn.to_hex(),
        }],
    };
    let reply = store.transact(&transaction, REGISTER_TIMEOUT_MS).await?;
    Ok(match reply {
        TransactReply::Committed { .. } => Some(drawn),
        // Another instance was first; all must use the same key.
        TransactReply::Conflict { rows } => rows.first().and_then(key_in),
    })
}

fn key_in(row: &Row) -> Option<DigestKey> {
    DigestKey::from_hex(&row.value)
}
