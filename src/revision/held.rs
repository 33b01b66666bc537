//! The documents in force at this instance.

use indexmap::IndexMap;

use crate::document::{Document, digest};
use crate::ids::ServiceName;
use crate::wire::operator::DocumentReply;

/// One service's document in force.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    /// The document as accepted. Its revision never falls while the process runs.
    pub(crate) accepted: DocumentReply,
    /// The same, checked.
    pub(crate) document: Document,
}

/// What became of an offered document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Offer {
    /// It is in force now.
    Taken,
    /// The one in force is as new or newer.
    NotNewer,
    /// Its text is not what its digest says, or does not pass this release's checks.
    Unreadable,
    /// Another text is in force under the same revision, which no acceptance allows.
    Forked,
}

/// The documents in force, by service. Only a higher revision replaces one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Documents {
    held: IndexMap<ServiceName, Held>,
}

impl Documents {
    /// Takes a document if its revision is higher than the one in force.
    pub(crate) fn offer(&mut self, accepted: &DocumentReply) -> Offer {
        let entry = &accepted.entry;
        if let Some(held) = self.held.get(&entry.service) {
            let known = &held.accepted.entry;
            if known.revision == entry.revision && known.digest != entry.digest {
                return Offer::Forked;
            }
            if known.revision >= entry.revision {
                return Offer::NotNewer;
            }
        }
        if digest(&accepted.text).to_string() != entry.digest {
            return Offer::Unreadable;
        }
        let Ok(document) = Document::parse(&accepted.text) else {
            return Offer::Unreadable;
        };
        let held = Held {
            accepted: accepted.clone(),
            document,
        };
        self.held.insert(entry.service.clone(), held);
        Offer::Taken
    }

    /// The document in force of a service.
    pub(crate) fn get(&self, service: &ServiceName) -> Option<&Held> {
        self.held.get(service)
    }

    /// The revision in force of a service; 0 for none.
    pub(crate) fn revision(&self, service: &ServiceName) -> u64 {
        self.held
            .get(service)
            .map_or(0, |held| held.accepted.entry.revision)
    }

    /// Every document in force.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&ServiceName, &Held)> {
        self.held.iter()
    }

    /// Whether no document is in force.
    pub(crate) fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// The revisions in force.
    pub(crate) fn revisions(&self) -> IndexMap<ServiceName, u64> {
        self.held
            .iter()
            .map(|(service, held)| (service.clone(), held.accepted.entry.revision))
            .collect()
    }
}
