//! The row of a lease: `lease/{service}`.

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, InstanceId, ServiceName};
use crate::wire::platform::{Condition, Row, Transaction, Write};

/// Who holds a lease. The row is never deleted, so that the fencing number never falls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct LeaseRow {
    /// Holder.
    pub(super) holder: InstanceId,
    /// The holder's process.
    pub(super) incarnation: Incarnation,
    /// Fencing number.
    pub(super) fence: u64,
    /// Whether the holder has given it back.
    #[serde(default)]
    pub(super) released: bool,
}

impl LeaseRow {
    /// What stands for a row that does not exist.
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
    /// It exists, at this version.
    Row(u64, LeaseRow),
    /// It does not exist.
    Absent,
    /// Another release wrote it; this one leaves it alone.
    Unreadable,
}

/// Key of a service's lease.
pub(super) fn lease_key(service: &ServiceName) -> String {
    format!("lease/{service}")
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

/// Writes a lease on condition of the row's version; `None` for a row that must not exist.
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
