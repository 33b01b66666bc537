//! Row keys of claims and retention of idempotency keys.

use std::fmt::Write as _;

use uuid::Uuid;

use crate::ids::{AccountId, IdempotencyKey, ServiceName};
use crate::outcome::RefusalCode;

/// Prefix of the row keys of all claims.
pub const CLAIM_PREFIX: &str = "claim/";
/// Retention of a UUIDv7 key, counted from its embedded timestamp. Older keys are refused.
pub const UUIDV7_KEY_TTL_MS: u64 = 24 * 60 * 60 * 1_000;
/// Retention of any other key, counted from the last write of its row. A call that reuses the key
/// after that is run again.
pub const OTHER_KEY_TTL_MS: u64 = 7 * UUIDV7_KEY_TTL_MS;
/// How much longer than its key a row is kept. The clocks of two instances may differ by at most
/// half of this.
pub const CLOCK_MARGIN_MS: u64 = 60 * 60 * 1_000;
/// Maximum length of an accepted key.
pub(crate) const MAX_KEY_BYTES: usize = 255;

/// Returns the key of the row that holds the claim for `key`.
///
/// Each part is escaped, so that distinct (service, account, key) triples never share a row.
pub fn row_key(service: &ServiceName, account: &AccountId, key: &IdempotencyKey) -> String {
    let mut row = String::from(CLAIM_PREFIX);
    push_escaped(&mut row, service.as_str());
    row.push('/');
    push_escaped(&mut row, account.as_str());
    row.push('/');
    push_escaped(&mut row, key.as_str());
    row
}

/// Appends `part`, percent-encoding every byte except letters, digits, `-`, `_` and `.`.
fn push_escaped(row: &mut String, part: &str) {
    for byte in part.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' => row.push(byte.into()),
            // Writing to a string cannot fail.
            _ => drop(write!(row, "%{byte:02X}")),
        }
    }
}

/// Returns the timestamp embedded in the key if it is a UUIDv7.
pub(crate) fn key_time_unix_ms(key: &str) -> Option<u64> {
    let uuid = Uuid::try_parse(key).ok()?;
    if uuid.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(seconds * 1_000 + u64::from(nanos / 1_000_000))
}

/// Validates a key at `unix_ms`, before anything is written.
pub(crate) fn check_key(key: &str, unix_ms: u64) -> Result<(), RefusalCode> {
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(RefusalCode::BadHeader);
    }
    let Some(key_unix_ms) = key_time_unix_ms(key) else {
        return Ok(());
    };
    if key_unix_ms.saturating_add(UUIDV7_KEY_TTL_MS) < unix_ms {
        return Err(RefusalCode::KeyTooOld);
    }
    // A key dated far in the future would have to be kept until that time.
    if key_unix_ms > unix_ms.saturating_add(UUIDV7_KEY_TTL_MS) {
        return Err(RefusalCode::BadHeader);
    }
    Ok(())
}

/// Whether a claim started at `started_unix_ms` may still be dispatched `waited_ms` later.
///
/// Beyond half of [`CLOCK_MARGIN_MS`], the row of an earlier run may have been swept since the key
/// was checked.
pub(crate) fn is_key_retained(key: &str, started_unix_ms: u64, waited_ms: u64) -> bool {
    let half_margin_ms = CLOCK_MARGIN_MS / 2;
    match key_time_unix_ms(key) {
        Some(key_unix_ms) => {
            let now_unix_ms = started_unix_ms.saturating_add(waited_ms);
            now_unix_ms <= key_unix_ms.saturating_add(UUIDV7_KEY_TTL_MS + half_margin_ms)
        }
        None => true,
    }
}
