//! Row keys of claims, and how long a key is remembered.

use std::fmt::Write as _;

use uuid::Uuid;

use crate::ids::{AccountId, IdempotencyKey, ServiceName};
use crate::outcome::RefusalCode;

/// Start of the keys of all claims.
pub const CLAIM_PREFIX: &str = "claim/";
/// How long a UUIDv7 key is remembered from the time it carries. An older one is refused.
pub const KEY_MEMORY_MS: u64 = 24 * 60 * 60 * 1_000;
/// How long any other key is remembered from the last write of its row. Used again after that, it
/// runs again.
pub const OTHER_KEY_MEMORY_MS: u64 = 7 * KEY_MEMORY_MS;
/// A row outlives the memory of its key by this much. Two instances' clocks may differ by half of
/// it at most.
pub const CLOCK_MARGIN_MS: u64 = 60 * 60 * 1_000;
/// Longest key accepted.
pub(crate) const KEY_LIMIT_BYTES: usize = 255;

/// Key of the row that holds the claim of `key`.
///
/// Each part is escaped, so that two different triples never share a row.
pub fn row_key(service: &ServiceName, account: &AccountId, key: &IdempotencyKey) -> String {
    let mut row = String::from(CLAIM_PREFIX);
    push_escaped(&mut row, service.as_str());
    row.push('/');
    push_escaped(&mut row, account.as_str());
    row.push('/');
    push_escaped(&mut row, key.as_str());
    row
}

/// Appends `part` with all but letters, digits, `-`, `_` and `.` as `%XX`.
fn push_escaped(row: &mut String, part: &str) {
    for byte in part.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' => row.push(byte.into()),
            // Writing to a string cannot fail.
            _ => drop(write!(row, "%{byte:02X}")),
        }
    }
}

/// The key's own time, if it is a UUIDv7.
pub(crate) fn key_time_unix_ms(key: &str) -> Option<u64> {
    let uuid = Uuid::try_parse(key).ok()?;
    if uuid.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(seconds * 1_000 + u64::from(nanos / 1_000_000))
}

/// Checks a key at `unix_ms`, before anything is written.
pub(crate) fn check_key(key: &str, unix_ms: u64) -> Result<(), RefusalCode> {
    if key.is_empty() || key.len() > KEY_LIMIT_BYTES {
        return Err(RefusalCode::BadHeader);
    }
    let Some(key_unix_ms) = key_time_unix_ms(key) else {
        return Ok(());
    };
    if key_unix_ms.saturating_add(KEY_MEMORY_MS) < unix_ms {
        return Err(RefusalCode::KeyTooOld);
    }
    // A key from far ahead would have to be remembered until its time has come.
    if key_unix_ms > unix_ms.saturating_add(KEY_MEMORY_MS) {
        return Err(RefusalCode::BadHeader);
    }
    Ok(())
}

/// Whether a claim begun at `begun_unix_ms` may still be dispatched `waited_ms` later.
///
/// Past half the margin the row of an earlier run may have been swept since the key was checked.
pub(crate) fn still_remembered(key: &str, begun_unix_ms: u64, waited_ms: u64) -> bool {
    let half_margin_ms = CLOCK_MARGIN_MS / 2;
    match key_time_unix_ms(key) {
        Some(key_unix_ms) => {
            let now_unix_ms = begun_unix_ms.saturating_add(waited_ms);
            now_unix_ms <= key_unix_ms.saturating_add(KEY_MEMORY_MS + half_margin_ms)
        }
        None => true,
    }
}
