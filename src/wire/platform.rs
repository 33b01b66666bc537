//! Protocols of the platform services: table service, object store and instance list. All use HTTP
//! with JSON.
//!
//! | call | body | reply |
//! | --- | --- | --- |
//! | `POST /v1/transact` (table) | [`Transaction`] | 200 [`TransactReply`] (also for an unmet condition), 429, 503 |
//! | `POST /v1/read` (table) | [`ReadRows`] | 200 [`Rows`], 429, 503 |
//! | `POST /v1/scan` (table) | [`ScanRows`] | 200 [`Rows`], 429, 503 |
//! | `PUT`, `GET`, `DELETE /v1/objects/{key}` (objects) | bytes | 200, 404, 429, 503 |
//! | `GET /v1/objects?prefix=P` (objects) | | JSON array of keys |
//! | `GET /v1/instances` (instances) | | 200 [`InstanceList`] with an `ETag`, 304 for `If-None-Match` of the same |

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{ServiceName, ZoneName};

/// A row of the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key, slash-separated by convention.
    pub key: String,
    /// Version assigned by the table service. Increases with each write of the row.
    pub version: u64,
    /// Value, as JSON text.
    pub value: String,
}

/// Precondition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "must", rename_all = "snake_case")]
pub enum Condition {
    /// The row does not exist.
    BeAbsent {
        /// Key of the row.
        key: String,
    },
    /// The row exists and has this version.
    BeAtVersion {
        /// Key of the row.
        key: String,
        /// Its version.
        version: u64,
    },
}

/// A write to one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "write", rename_all = "snake_case")]
pub enum Write {
    /// Creates or replaces the row.
    Put {
        /// Key of the row.
        key: String,
        /// New value.
        value: String,
    },
    /// Deletes the row if it exists.
    Delete {
        /// Key of the row.
        key: String,
    },
}

/// An atomic transaction: all writes are applied if all conditions hold, otherwise none is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Preconditions.
    pub conditions: Vec<Condition>,
    /// Writes.
    pub writes: Vec<Write>,
}

/// Reply of the table service to a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum TransactReply {
    /// All writes were applied.
    Committed {
        /// Version assigned to the written rows.
        version: u64,
    },
    /// Nothing was applied because some conditions were not met.
    Conflict {
        /// Current rows named by the unmet conditions. Rows that do not exist are omitted.
        rows: Vec<Row>,
    },
}

/// Reads rows by key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadRows {
    /// Keys.
    pub keys: Vec<String>,
}

/// Reads rows in key order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScanRows {
    /// Common prefix of the keys.
    pub prefix: String,
    /// Return only keys greater than this one.
    #[serde(default)]
    pub after: Option<String>,
    /// Maximum number of rows to return.
    pub limit: u32,
}

/// Rows that were read. Keys that do not exist are omitted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rows {
    /// The rows.
    pub rows: Vec<Row>,
}

/// Role of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceRole {
    /// Runs the entry and control processes of this system.
    Entry,
    /// A model engine.
    Engine,
    /// A replica of an application service.
    Application,
}

/// Lifecycle phase of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstancePhase {
    /// In service.
    Live,
    /// Being removed. Must receive no new work.
    Leaving,
}

/// An instance in the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Name, unique in the list.
    pub name: String,
    /// Role.
    pub role: InstanceRole,
    /// Service it belongs to. `None` for entry instances.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Listen address of its control process. Entry instances only.
    #[serde(default)]
    pub control_address: Option<SocketAddr>,
    /// Lifecycle phase.
    pub phase: InstancePhase,
}

/// The platform's list of live and leaving instances. May be out of date.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// The instances.
    pub instances: Vec<InstanceRecord>,
}
