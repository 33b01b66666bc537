//! Questions that other slices ask a document.

use super::model::{
    Account, Document, ModelOffer, NonIdempotentRule, Operator, OperatorRole, ServiceKind,
};
use super::plain_path::plain_path;
use crate::ids::AccountId;
use crate::keys;

impl Document {
    /// The account that `key` belongs to. Compares with every account's digests.
    pub fn account_of_key(&self, key: &str) -> Option<(&AccountId, &Account)> {
        // No early end: the time taken must not tell which account it was.
        let mut found = None;
        for (id, account) in &self.accounts {
            if keys::matches(&account.key_digests, key) {
                found = Some((id, account));
            }
        }
        found
    }

    /// The operator that `key` belongs to. Compares with every operator's digests.
    pub fn operator_of_key(&self, key: &str) -> Option<(&str, &Operator)> {
        let mut found = None;
        for (name, operator) in &self.operators {
            if keys::matches(&operator.key_digests, key) {
                found = Some((name.as_str(), operator));
            }
        }
        found
    }

    /// The rule under which a call runs at most once, if there is one. The longest prefix holds.
    ///
    /// An endpoint may take several spellings of a path for the same, so a rule holds if either
    /// the path as given or its plain spelling starts with the rule's prefix.
    pub fn non_idempotent_rule(&self, method: &str, path: &str) -> Option<&NonIdempotentRule> {
        let plain = plain_path(path);
        let holds = |prefix: &str| path.starts_with(prefix) || plain.starts_with(prefix);
        self.non_idempotent
            .iter()
            .filter(|rule| rule.method == method && holds(&rule.path_prefix))
            .max_by_key(|rule| rule.path_prefix.len())
    }

    /// A model that the service offers.
    pub fn model(&self, name: &str) -> Option<&ModelOffer> {
        match &self.kind {
            ServiceKind::Model(models) => models.get(name),
            ServiceKind::Application => None,
        }
    }
}

impl OperatorRole {
    /// Whether someone with this role may do what `needed` may do.
    pub fn allows(self, needed: Self) -> bool {
        self >= needed
    }
}
