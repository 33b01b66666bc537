//! The protocols of the platform: table service, object store and instance list, all HTTP with JSON.
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
    /// Key; slash-separated by convention.
    pub key: String,
    /// Version given by the table service; grows with each write of the row.
    pub version: u64,
    /// Value: JSON text.
    pub value: String,
}

/// What must hold for a transaction to take effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "must", rename_all = "snake_case")]
pub enum Condition {
    /// The row does not exist.
    BeAbsent {
        /// Key of the row.
        key: String,
    },
    /// The row exists at this version.
    BeAtVersion {
        /// Key of the row.
        key: String,
        /// Its version.
        version: u64,
    },
}

/// A write of one row.
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

/// All writes take effect if all conditions hold; otherwise none does.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions.
    pub conditions: Vec<Condition>,
    /// Writes.
    pub writes: Vec<Write>,
}

/// The table service's answer to a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum TransactReply {
    /// Every write took effect.
    Committed {
        /// Version given to the written rows.
        version: u64,
    },
    /// Nothing took effect; the rows named by unmet conditions, as they are.
    Conflict {
        /// Those of the rows that exist.
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
    /// Common start of the keys.
    pub prefix: String,
    /// Only keys after this one.
    #[serde(default)]
    pub after: Option<String>,
    /// Most rows to return.
    pub limit: u32,
}

/// Rows read; keys that do not exist are left out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rows {
    /// The rows.
    pub rows: Vec<Row>,
}

/// What an instance does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceRole {
    /// Runs this system's entry and control processes.
    Entry,
    /// A model engine.
    Engine,
    /// A replica of an application service.
    Application,
}

/// Whether an instance is there to stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstancePhase {
    /// In service.
    Live,
    /// Told to leave; must get no new work.
    Leaving,
}

/// One instance of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Name; unique in the list.
    pub name: String,
    /// What it does.
    pub role: InstanceRole,
    /// The service it belongs to; empty for entry instances.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Availability zone.
    pub zone: ZoneName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Where its control process listens; entry instances only.
    #[serde(default)]
    pub control_address: Option<SocketAddr>,
    /// Phase.
    pub phase: InstancePhase,
}

/// The platform's list of live and leaving instances; it lags.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// The instances.
    pub instances: Vec<InstanceRecord>,
}
