//! Garbage collection of expired claims.

use super::key::{
    CLAIM_PREFIX, CLOCK_MARGIN_MS, OTHER_KEY_TTL_MS, UUIDV7_KEY_TTL_MS, key_time_unix_ms,
};
use super::row::ClaimRow;
use crate::wire::platform::{Condition, Row, Transaction, Write};

/// Returns transactions that delete the claims among `rows` that have expired at `unix_ms`.
///
/// Each transaction deletes one row, on the condition that its version is unchanged. A row whose
/// value cannot be read is kept.
pub fn sweep(rows: &[Row], unix_ms: u64) -> Vec<Transaction> {
    rows.iter()
        .filter(|row| row.key.starts_with(CLAIM_PREFIX))
        .filter(|row| is_expired(row, unix_ms))
        .map(delete_transaction)
        .collect()
}

fn is_expired(row: &Row, unix_ms: u64) -> bool {
    let Ok(claim) = ClaimRow::try_from(row.value.as_str()) else {
        return false;
    };
    // A UUID needs no escaping, so the last part of the row key is the caller's key.
    let key = row.key.rsplit('/').next().unwrap_or_default();
    let expires_at_ms = match key_time_unix_ms(key) {
        Some(key_unix_ms) => key_unix_ms
            .max(claim.at_unix_ms)
            .saturating_add(UUIDV7_KEY_TTL_MS),
        None => claim.at_unix_ms.saturating_add(OTHER_KEY_TTL_MS),
    };
    unix_ms > expires_at_ms.saturating_add(CLOCK_MARGIN_MS)
}

fn delete_transaction(row: &Row) -> Transaction {
    Transaction {
        conditions: vec![Condition::BeAtVersion {
            key: row.key.clone(),
            version: row.version,
        }],
        writes: vec![Write::Delete {
            key: row.key.clone(),
        }],
    }
}
