//! The documents in force, indexed by API key and model name.

use indexmap::IndexMap;

use crate::document::{Document, KeyDigest, ModelOffer, ServiceKind};
use crate::ids::{AccountId, ServiceName};
use crate::keys;
use crate::outcome::{Refusal, RefusalCode};
use crate::wire::local::DocumentInForce;

/// Documents by service, with the indexes used to resolve requests.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    /// Revisions in force; a revision never decreases.
    revisions: IndexMap<ServiceName, u64>,
    documents: IndexMap<ServiceName, Document>,
    /// Revisions that failed validation; they are not parsed again.
    invalid_revisions: IndexMap<ServiceName, u64>,
    /// Accounts of each key. The lookup time depends only on the digest and reveals nothing about
    /// the key, since SHA-256 inputs cannot be chosen to approach a listed digest.
    keys: IndexMap<KeyDigest, Vec<(ServiceName, AccountId)>>,
    /// Model names are unique in the fleet; the first document that names one owns it.
    models: IndexMap<String, ServiceName>,
}

/// Result of applying one document of a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DocumentChange {
    /// The document is now in force.
    Accepted,
    /// The revision was already in force or already rejected.
    Unchanged,
    /// A higher revision is in force; the document was ignored.
    Older,
    /// Validation failed; the previous document stays in force.
    Faulty,
}

impl Directory {
    /// Whether any document is in force.
    pub(crate) fn is_empty(&self) -> bool {
        self.documents.is_empty()
    }

    /// Documents by service.
    pub(crate) fn documents(&self) -> &IndexMap<ServiceName, Document> {
        &self.documents
    }

    /// Revisions in force.
    pub(crate) fn revisions(&self) -> &IndexMap<ServiceName, u64> {
        &self.revisions
    }

    /// Applies the documents of a snapshot, parsing each revision once. A service missing from the
    /// snapshot keeps its document.
    pub(crate) fn update(&mut self, offered: &[DocumentInForce]) -> Vec<DocumentChange> {
        let changes: Vec<DocumentChange> = offered.iter().map(|one| self.accept(one)).collect();
        if changes.contains(&DocumentChange::Accepted) {
            self.rebuild_indexes();
        }
        changes
    }

    fn accept(&mut self, offered: &DocumentInForce) -> DocumentChange {
        let known = self.revisions.get(&offered.service).copied().unwrap_or(0);
        if offered.revision < known {
            return DocumentChange::Older;
        }
        if offered.revision == known && known > 0 {
            return DocumentChange::Unchanged;
        }
        if self.invalid_revisions.get(&offered.service) == Some(&offered.revision) {
            return DocumentChange::Unchanged;
        }
        let parsed = Document::parse(&offered.text).ok();
        let Some(document) = parsed.filter(|it| it.service == offered.service) else {
            self.invalid_revisions
                .insert(offered.service.clone(), offered.revision);
            return DocumentChange::Faulty;
        };
        let previous = self
            .revisions
            .insert(offered.service.clone(), offered.revision);
        let grows = previous.is_none_or(|previous| previous < offered.revision);
        crate::invariant::check(grows, "entry.revisions_grow", || {
            format!(
                "service {}: accepted revision {} after {previous:?}",
                offered.service, offered.revision
            )
        });
        self.documents.insert(offered.service.clone(), document);
        DocumentChange::Accepted
    }

    fn rebuild_indexes(&mut self) {
        self.keys.clear();
        self.models.clear();
        for (service, document) in &self.documents {
            for (account, settings) in &document.accounts {
                for digest in &settings.key_digests {
                    let owners = self.keys.entry(*digest).or_default();
                    owners.push((service.clone(), account.clone()));
                }
            }
            if let ServiceKind::Model(models) = &document.kind {
                for name in models.keys() {
                    self.models
                        .entry(name.clone())
                        .or_insert_with(|| service.clone());
                }
            }
        }
    }

    /// Services and accounts that a key belongs to; empty if no document lists the key.
    pub(crate) fn owners(&self, key: Option<&str>) -> &[(ServiceName, AccountId)] {
        let Some(key) = key else { return &[] };
        match self.keys.get(&keys::digest(key)) {
            Some(owners) => owners,
            None => &[],
        }
    }

    /// Checks that a key is known and belongs to an account of the service.
    pub(crate) fn authenticate(
        &self,
        key: Option<&str>,
        service: Option<&ServiceName>,
        missing: RefusalCode,
    ) -> Result<(&Document, &AccountId), Refusal> {
        let owners = self.owners(key);
        if owners.is_empty() {
            return Err(Refusal::not_run(RefusalCode::Unauthenticated, None));
        }
        let document = service.and_then(|service| self.documents.get(service));
        let Some(document) = document else {
            return Err(Refusal::not_run(missing, None));
        };
        let owner = owners.iter().find(|(name, _)| *name == document.service);
        match owner {
            Some((_, account)) => Ok((document, account)),
            None => Err(Refusal::not_run(RefusalCode::Forbidden, None)),
        }
    }

    /// The service that offers a model.
    pub(crate) fn service_of_model(&self, model: &str) -> Option<&ServiceName> {
        self.models.get(model)
    }

    /// Models that a key may use, in document order.
    pub(crate) fn models_of(&self, key: Option<&str>) -> Vec<(&ServiceName, &ModelOffer)> {
        let mut models = Vec::new();
        for (service, _) in self.owners(key) {
            let Some(document) = self.documents.get(service) else {
                continue;
            };
            if let ServiceKind::Model(offers) = &document.kind {
                models.extend(offers.values().map(|offer| (&document.service, offer)));
            }
        }
        models
    }
}
