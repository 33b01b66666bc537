//! Rows of the request quarantine in the store: the deployment's digest key, and the withheld
//! requests, so that they stay withheld if all instances fail at once.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

use super::adapter::Adapter;
use super::node::Node;
use super::store_calls::StoreCall;
use super::withholding::SOURCE_STORE;
use crate::clients::TableFailure;
use crate::clock::{boot_ms, unix_ms};
use crate::ids::EndpointId;
use crate::quarantine::{CrashReport, DigestKey, EvidenceReport, FeatureDigest, QuarantineChange};
use crate::wire::platform::{Condition, Row, ScanRows, TransactReply, Transaction, Write};

/// Key prefix of all rows.
const PREFIX: &str = "quarantine/";
/// Key of the row with the digest key.
const KEY_ROW: &str = "quarantine/key";
/// Key prefix of the features for which requests are withheld; the digest follows.
const WITHHELD_PREFIX: &str = "quarantine/withheld/";
/// Maximum number of rows read: far more than are withheld at a time.
const MAX_ROWS: u32 = 500;

/// The row of a feature for which requests are withheld.
#[derive(Debug, Serialize, Deserialize)]
struct WithheldRow {
    /// Endpoints that terminated under it.
    endpoints: Vec<EndpointId>,
    /// When it was withheld, in Unix milliseconds. An expired row is ignored, and replaced when the
    /// request is withheld again.
    withheld_unix_ms: u64,
}

/// Loads the withheld requests and the digest key at startup, and creates the key if there is none.
/// Returns whether the store has answered.
pub(super) async fn load<A>(node: &Rc<Node<A>>) -> bool
where
    A: Adapter,
{
    if node.digest_key.borrow().is_some() {
        return true;
    }
    let key = match load_rows(node).await {
        Ok(key) => key,
        Err(failure) => {
            log::warn!(failure:% = failure; "cannot read the key of request digests");
            return false;
        }
    };
    if key.is_none() {
        log::error!(
            row = KEY_ROW;
            "the key of request digests is malformed, no request is withheld; remove the row and restart"
        );
    }
    *node.digest_key.borrow_mut() = key;
    true
}

async fn load_rows<A>(node: &Rc<Node<A>>) -> Result<Option<DigestKey>, TableFailure>
where
    A: Adapter,
{
    let query = ScanRows {
        prefix: PREFIX.to_owned(),
        after: None,
        limit: MAX_ROWS,
    };
    let found = node.scan_rows(StoreCall::Quarantine, &query).await?;
    let crashes: Vec<CrashReport> = found.rows.iter().flat_map(crashes_from_row).collect();
    let evidence = EvidenceReport {
        crashes,
        ..EvidenceReport::default()
    };
    node.apply_evidence(&evidence, SOURCE_STORE, boot_ms());
    match found.rows.iter().find(|row| row.key == KEY_ROW) {
        Some(row) => Ok(key_from_row(row)),
        None => create_key(node).await,
    }
}

async fn create_key<A>(node: &Node<A>) -> Result<Option<DigestKey>, TableFailure>
where
    A: Adapter,
{
    let key = DigestKey::generate(&mut rand::rng());
    let transaction = Transaction {
        conditions: vec![Condition::BeAbsent {
            key: KEY_ROW.to_owned(),
        }],
        writes: vec![Write::Put {
            key: KEY_ROW.to_owned(),
            value: key.to_hex(),
        }],
    };
    let reply = node
        .transact_rows(StoreCall::Quarantine, &transaction)
        .await?;
    Ok(match reply {
        TransactReply::Committed { .. } => Some(key),
        // Another instance wrote its key first; all must use the same one.
        TransactReply::Conflict { rows } => rows.first().and_then(key_from_row),
    })
}

fn key_from_row(row: &Row) -> Option<DigestKey> {
    DigestKey::from_hex(&row.value)
}

/// The evidence in the row of a withheld request; empty for other rows.
fn crashes_from_row(row: &Row) -> Vec<CrashReport> {
    let Some(feature) = row.key.strip_prefix(WITHHELD_PREFIX) else {
        return Vec::new();
    };
    let read = serde_json::from_str::<WithheldRow>(&row.value);
    let (Some(feature), Ok(withheld)) = (FeatureDigest::from_hex(feature), read) else {
        log::warn!(key = row.key.as_str(); "row of a withheld request is malformed");
        return Vec::new();
    };
    let age_ms = unix_ms().saturating_sub(withheld.withheld_unix_ms);
    let age_ms = u32::try_from(age_ms).unwrap_or(u32::MAX);
    let of_endpoint = |endpoint| CrashReport {
        feature,
        endpoint,
        age_ms,
    };
    withheld.endpoints.into_iter().map(of_endpoint).collect()
}

/// Writes changes of the withheld requests to the store, in a task of its own. One instance does
/// so for all; a lost write matters only if all instances fail at once.
pub(super) fn spawn_persist<A>(node: &Rc<Node<A>>, changes: &[QuarantineChange])
where
    A: Adapter,
{
    let is_first = node.peers.borrow().is_preferred_leader(boot_ms());
    if !is_first || !node.availability().reaches_store {
        return;
    }
    let writes: Vec<Write> = changes.iter().flat_map(writes_for).collect();
    let node = Rc::clone(node);
    actix_rt::spawn(async move {
        let transaction = Transaction {
            conditions: Vec::new(),
            writes,
        };
        let written = node
            .transact_rows(StoreCall::Quarantine, &transaction)
            .await;
        if let Err(failure) = written {
            log::warn!(failure:% = failure; "cannot write withheld requests to the store");
        }
    });
}

fn writes_for(change: &QuarantineChange) -> Vec<Write> {
    match change {
        QuarantineChange::Withheld(features, endpoints) => {
            let row = WithheldRow {
                endpoints: endpoints.clone(),
                withheld_unix_ms: unix_ms(),
            };
            let value = serde_json::to_string(&row);
            let put = |feature| {
                let value = value.as_ref().ok()?.clone();
                let key = withheld_key(feature);
                Some(Write::Put { key, value })
            };
            features.iter().filter_map(put).collect()
        }
        QuarantineChange::Released(feature) => vec![Write::Delete {
            key: withheld_key(feature),
        }],
    }
}

fn withheld_key(feature: &FeatureDigest) -> String {
    format!("{WITHHELD_PREFIX}{}", feature.to_hex())
}
