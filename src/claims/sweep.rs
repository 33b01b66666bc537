//! Which claims may be forgotten.

use super::key::{
    CLAIM_PREFIX, CLOCK_MARGIN_MS, KEY_MEMORY_MS, OTHER_KEY_MEMORY_MS, key_time_unix_ms,
};
use super::row::ClaimRow;
use crate::wire::platform::{Condition, Row, Transaction, Write};

/// Chooses from `rows` the claims that no attempt can need any more at `unix_ms`.
///
/// Each transaction deletes one row at the version that was judged. A row whose value cannot be
/// read is kept.
pub fn sweep(rows: &[Row], unix_ms: u64) -> Vec<Transaction> {
    rows.iter()
        .filter(|row| row.key.starts_with(CLAIM_PREFIX))
        .filter(|row| is_forgotten(row, unix_ms))
        .map(deletion)
        .collect()
}

fn is_forgotten(row: &Row, unix_ms: u64) -> bool {
    let Ok(claim) = ClaimRow::try_from(row.value.as_str()) else {
        return false;
    };
    // A UUID needs no escape, so the last part of the row's key is the caller's key.
    let key = row.key.rsplit('/').next().unwrap_or_default();
    let kept_until_ms = match key_time_unix_ms(key) {
        Some(key_unix_ms) => key_unix_ms
            .max(claim.at_unix_ms)
            .saturating_add(KEY_MEMORY_MS),
        None => claim.at_unix_ms.saturating_add(OTHER_KEY_MEMORY_MS),
    };
    unix_ms > kept_until_ms.saturating_add(CLOCK_MARGIN_MS)
}

fn deletion(row: &Row) -> Transaction {
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
