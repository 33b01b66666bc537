//! The documents in force, indexed by what a request names.

use indexmap::IndexMap;

use crate::document::{Document, KeyDigest, ModelOffer, ServiceKind};
use crate::ids::{AccountId, ServiceName};
use crate::keys;
use crate::outcome::{Refusal, RefusalCode};
use crate::wire::local::DocumentInForce;

/// Documents by service, with the indexes that requests are resolved by.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    /// Revisions only grow.
    revisions: IndexMap<ServiceName, u64>,
    documents: IndexMap<ServiceName, Document>,
    /// Revisions that did not check; they are not read again.
    faulty: IndexMap<ServiceName, u64>,
    /// Which accounts a key belongs to. Looking a digest up takes a time that depends on the digest
    /// alone: it tells nothing of the key, since SHA-256 cannot be steered towards a listed digest.
    keys: IndexMap<KeyDigest, Vec<(ServiceName, AccountId)>>,
    /// Model names are unique in the fleet; the first document to name one keeps it.
    models: IndexMap<String, ServiceName>,
}

/// What became of one document of a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DocumentChange {
    /// It is in force now.
    Accepted,
    /// It was in force, or refused, already.
    Known,
    /// A higher revision is in force; it was left out.
    Older,
    /// It does not check; what was in force stays.
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

    /// Takes the documents of a snapshot, each parsed once per revision. A service that the
    /// snapshot leaves out keeps its document.
    pub(crate) fn update(&mut self, offered: &[DocumentInForce]) -> Vec<DocumentChange> {
        let changes: Vec<DocumentChange> = offered.iter().map(|one| self.take(one)).collect();
        if changes.contains(&DocumentChange::Accepted) {
            self.index();
        }
        changes
    }

    fn take(&mut self, offered: &DocumentInForce) -> DocumentChange {
        let known = self.revisions.get(&offered.service).copied().unwrap_or(0);
        if offered.revision < known {
            return DocumentChange::Older;
        }
        if offered.revision == known && known > 0 {
            return DocumentChange::Known;
        }
        if self.faulty.get(&offered.service) == Some(&offered.revision) {
            return DocumentChange::Known;
        }
        let parsed = Document::parse(&offered.text).ok();
        let Some(document) = parsed.filter(|it| it.service == offered.service) else {
            self.faulty
                .insert(offered.service.clone(), offered.revision);
            return DocumentChange::Faulty;
        };
        let before = self
            .revisions
            .insert(offered.service.clone(), offered.revision);
        let grows = before.is_none_or(|before| before < offered.revision);
        crate::invariant::check(grows, "entry.revisions_grow", || {
            format!("{} after {before:?}: {}", offered.revision, offered.service)
        });
        self.documents.insert(offered.service.clone(), document);
        DocumentChange::Accepted
    }

    fn index(&mut self) {
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

    /// The services and accounts a key stands for; empty if no document lists it.
    pub(crate) fn owners(&self, key: Option<&str>) -> &[(ServiceName, AccountId)] {
        let Some(key) = key else { return &[] };
        match self.keys.get(&keys::digest(key)) {
            Some(owners) => owners,
            None => &[],
        }
    }

    /// Checks that a key is known and that the service serves its account.
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

    /// The models a key may use, in document order.
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
