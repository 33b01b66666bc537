//! Rows of the table service that hold documents.
//!
//! | key | value | written |
//! | --- | --- | --- |
//! | `changes` | [`ChangesRow`] | by every acceptance, without condition; its version tells a watcher that something changed |
//! | `head/{service}` | [`HeadRow`] | by every acceptance |
//! | `document/{service}` | [`DocumentReply`] | by every acceptance, on condition of its version |
//! | `history/{service}/{revision}` | [`DocumentReply`] | once |
//! | `change/{id}` | [`ChangeRow`] | once, on condition that it is absent |

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::ids::ServiceName;
use crate::wire::operator::DocumentReply;
use crate::wire::platform::{Condition, Row, Transaction, Write};

/// Key of the row that every acceptance writes.
pub(crate) const CHANGES_KEY: &str = "changes";
/// Start of the keys of [`HeadRow`]s.
pub(crate) const HEAD_PREFIX: &str = "head/";

/// The last acceptance of any service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ChangesRow {
    /// Service.
    pub(crate) service: ServiceName,
    /// Its revision.
    pub(crate) revision: u64,
}

/// The current revision of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HeadRow {
    /// Revision.
    pub(crate) revision: u64,
}

/// What a change id came to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ChangeRow {
    /// Service.
    pub(crate) service: ServiceName,
    /// Revision that the change made.
    pub(crate) revision: u64,
}

/// Key of a service's current document.
pub(crate) fn document_key(service: &ServiceName) -> String {
    format!("document/{service}")
}

/// Key of a service's current revision.
pub(crate) fn head_key(service: &ServiceName) -> String {
    format!("{HEAD_PREFIX}{service}")
}

/// Start of the keys of a service's accepted revisions.
pub(crate) fn history_prefix(service: &ServiceName) -> String {
    format!("history/{service}/")
}

/// Key of an accepted revision; keys sort like revisions.
pub(crate) fn history_key(service: &ServiceName, revision: u64) -> String {
    format!("history/{service}/{revision:020}")
}

/// Key of a change id.
pub(crate) fn change_key(id: Uuid) -> String {
    format!("change/{id}")
}

/// Reads a row's value; `None` if another release wrote what this one cannot read.
pub(crate) fn read_row<T>(row: &Row) -> Option<T>
where
    T: DeserializeOwned,
{
    serde_json::from_str(&row.value).ok()
}

/// The row with this key, if it was read.
pub(crate) fn find_row<'a>(rows: &'a [Row], key: &str) -> Option<&'a Row> {
    rows.iter().find(|row| row.key == key)
}

/// The one transaction that accepts a document; `audit` is the audit trail's row.
///
/// `current_version` is the version of the document's row, or `None` for the first revision.
pub(crate) fn accept_transaction(
    accepted: &DocumentReply,
    current_version: Option<u64>,
    audit: Write,
) -> Result<Transaction, serde_json::Error> {
    let entry = &accepted.entry;
    let change = change_key(entry.change_id);
    let document = document_key(&entry.service);
    let current = match current_version {
        Some(version) => Condition::BeAtVersion {
            key: document.clone(),
            version,
        },
        None => Condition::BeAbsent {
            key: document.clone(),
        },
    };
    let text = serde_json::to_string(accepted)?;
    let revision = entry.revision;
    let service = entry.service.clone();
    Ok(Transaction {
        conditions: vec![
            current,
            Condition::BeAbsent {
                key: change.clone(),
            },
        ],
        writes: vec![
            put(document, text.clone()),
            put(history_key(&service, revision), text),
            put_json(head_key(&service), &HeadRow { revision })?,
            put_json(
                change,
                &ChangeRow {
                    service: service.clone(),
                    revision,
                },
            )?,
            put_json(CHANGES_KEY.to_owned(), &ChangesRow { service, revision })?,
            audit,
        ],
    })
}

fn put(key: String, value: String) -> Write {
    Write::Put { key, value }
}

fn put_json<T>(key: String, value: &T) -> Result<Write, serde_json::Error>
where
    T: Serialize,
{
    Ok(put(key, serde_json::to_string(value)?))
}
