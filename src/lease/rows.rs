//! The row of a lease, `lease/{service}`.

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, InstanceId, ServiceName};
use crate::wire::platform::{Condition, ReadRows, Row, Transaction, Write};

/// Holder of a lease. The row is never deleted, so that the fencing token never decreases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct LeaseRow {
    pub(super) holder: InstanceId,
    /// Incarnation of the holder's process.
    pub(super) incarnation: Incarnation,
    pub(super) fence: u64,
    /// Whether the holder has released the lease.
    #[serde(default)]
    pub(super) released: bool,
}

impl LeaseRow {
    /// Stands for a row that does not exist.
    pub(super) fn vacant(instance: &InstanceId, incarnation: Incarnation) -> Self {
        Self {
            holder: instance.clone(),
            incarnation,
            fence: 0,
            released: true,
        }
    }
}

/// The row as read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ReadLease {
    /// The row and its version.
    Row(u64, LeaseRow),
    /// The row does not exist.
    Absent,
    /// The row was written by another release and is not touched by this one.
    Unreadable,
}

/// Key of a service's lease.
pub(super) fn lease_key(service: &ServiceName) -> String {
    format!("lease/{service}")
}

/// The read of a service's lease.
pub(crate) fn lease_read(service: &ServiceName) -> ReadRows {
    ReadRows {
        keys: vec![lease_key(service)],
    }
}

/// The fencing token in a service's lease, if it is among the rows.
pub(crate) fn lease_token(rows: &[Row], service: &ServiceName) -> Option<u64> {
    match read_lease(rows, service) {
        ReadLease::Row(_, lease) => Some(lease.fence),
        ReadLease::Absent | ReadLease::Unreadable => None,
    }
}

/// Finds the lease of a service among rows.
pub(super) fn read_lease(rows: &[Row], service: &ServiceName) -> ReadLease {
    let key = lease_key(service);
    let Some(row) = rows.iter().find(|row| row.key == key) else {
        return ReadLease::Absent;
    };
    match serde_json::from_str(&row.value) {
        Ok(lease) => ReadLease::Row(row.version, lease),
        Err(_) => ReadLease::Unreadable,
    }
}

/// A transaction that writes a lease if the row is at `version`, or does not exist for `None`.
pub(super) fn lease_write(
    service: &ServiceName,
    lease: &LeaseRow,
    version: Option<u64>,
) -> Result<Transaction, serde_json::Error> {
    let key = lease_key(service);
    let condition = match version {
        Some(version) => Condition::BeAtVersion {
            key: key.clone(),
            version,
        },
        None => Condition::BeAbsent { key: key.clone() },
    };
    Ok(Transaction {
        conditions: vec![condition],
        writes: vec![Write::Put {
            key,
            value: serde_json::to_string(lease)?,
        }],
    })
}
