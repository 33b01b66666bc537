//! What the holder of a key may do.

use crate::document::{Document, Operator, OperatorRole};
use crate::instance::PresentedKey;
use crate::wire::operator::OperatorFault;

use super::held::Documents;

/// Name under which the processes' shared key acts.
pub(crate) const PEERS_KEY_NAME: &str = "peers-key";

/// A key, held against the documents in force.
pub(crate) struct Authority<'a> {
    documents: &'a Documents,
    key: &'a PresentedKey,
    is_peers_key: bool,
}

impl<'a> Authority<'a> {
    /// `is_peers_key` says whether the key is the one that the system's own processes share.
    pub(crate) fn new(documents: &'a Documents, key: &'a PresentedKey, is_peers_key: bool) -> Self {
        Self {
            documents,
            key,
            is_peers_key,
        }
    }

    /// Returns the operator's name if the document lets the key do what `needed` may do.
    pub(crate) fn on(
        &self,
        document: &Document,
        needed: OperatorRole,
    ) -> Result<String, OperatorFault> {
        if self.is_peers_key && needed == OperatorRole::Viewer {
            return Ok(PEERS_KEY_NAME.to_owned());
        }
        let Some((name, operator)) = self.find(document) else {
            return Err(self.refusal());
        };
        if operator.role.allows(needed) {
            Ok(name.to_owned())
        } else {
            Err(OperatorFault::NotAllowed)
        }
    }

    /// Returns the operator's name if the key may create a service with this first document.
    ///
    /// The shared key may. An operator may whom the document lists as editor and who is an editor
    /// of another document in force; while the fleet has no document at all, the first half is
    /// enough.
    pub(crate) fn may_create(&self, proposed: &Document) -> Result<String, OperatorFault> {
        if self.is_peers_key {
            return Ok(PEERS_KEY_NAME.to_owned());
        }
        let known = self.documents.is_empty() || self.edits_any();
        if !known {
            return Err(self.refusal());
        }
        self.on(proposed, OperatorRole::Editor)
    }

    /// Whether the key may read anything at all.
    pub(crate) fn is_known(&self) -> bool {
        self.is_peers_key || self.holders().next().is_some()
    }

    fn edits_any(&self) -> bool {
        self.holders()
            .any(|operator| operator.role == OperatorRole::Editor)
    }

    fn holders(&self) -> impl Iterator<Item = &Operator> {
        self.documents
            .iter()
            .filter_map(|(_, held)| self.find(&held.document))
            .map(|(_, operator)| operator)
    }

    fn find<'d>(&self, document: &'d Document) -> Option<(&'d str, &'d Operator)> {
        document.operator_of_key(self.key.expose())
    }

    fn refusal(&self) -> OperatorFault {
        if self.is_known() {
            OperatorFault::NotAllowed
        } else {
            OperatorFault::Unauthenticated
        }
    }
}
