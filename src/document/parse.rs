//! Checks the text of a document.

use indexmap::IndexMap;
use thiserror::Error;

use super::model::{Document, OperatorRole, ServiceKind};
use super::sections::{
    KindWord, read_accounts, read_engines, read_models, read_operators, read_rules,
};
use crate::checked_toml::{Checker, Fault, FaultKind, Located, Section, name, one_of};
use crate::document::KeyDigest;
use crate::ids::{EndpointId, ServiceName};

/// Largest document.
pub const MAX_DOCUMENT_BYTES: usize = 256 * 1024;
/// Most endpoints that one document may tell to leave.
const MAX_LEAVING: usize = 4_096;

const KINDS: [(&str, KindWord); 2] = [
    ("model", KindWord::Model),
    ("application", KindWord::Application),
];

/// Every fault of a document, by line.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}", self.render("document"))]
pub struct DocumentFaults {
    /// Never empty.
    pub faults: Vec<Fault>,
}

impl DocumentFaults {
    /// Returns one line a fault, each starting with the input's name.
    pub fn render(&self, input: &str) -> String {
        let lines: Vec<String> = self
            .faults
            .iter()
            .map(|fault| fault.render(input))
            .collect();
        lines.join("\n")
    }
}

impl Document {
    /// Checks the text of a document; reports every fault in it.
    pub fn parse(text: &str) -> Result<Self, DocumentFaults> {
        let checker = Checker::new(text);
        let document = checker.parse(MAX_DOCUMENT_BYTES).and_then(|table| {
            let mut root = Section::root(&checker, &table);
            let document = read_root(&checker, &mut root);
            root.finish();
            document
        });
        let faults = checker.into_faults();
        match document {
            Some(document) if faults.is_empty() => Ok(document),
            _ => Err(DocumentFaults { faults }),
        }
    }
}

/// Digests found so far, with the line of each: one key must name one account or operator.
#[derive(Default)]
pub(super) struct SeenDigests(IndexMap<[u8; 32], usize>);

impl SeenDigests {
    pub(super) fn add(&mut self, checker: &Checker<'_>, digest: &Located<KeyDigest>) {
        match self.0.get(&digest.value.0) {
            Some(&first_line) => digest.fault(checker, FaultKind::Repeated { first_line }),
            None => {
                self.0.insert(digest.value.0, digest.line);
            }
        }
    }
}

// Every key is read before any absence ends the reading, so that no fault hides another.
fn read_root(checker: &Checker<'_>, root: &mut Section<'_, '_>) -> Option<Document> {
    let mut seen = SeenDigests::default();
    let service = root.required("service", name);
    let kind = root.required("kind", |value| one_of(value, &KINDS));
    let kind = kind.map(|kind| kind.value);
    let accounts = read_accounts(checker, root, &mut seen);
    let operators = read_operators(checker, root, &mut seen);
    let models = read_models(checker, root, kind);
    let non_idempotent = read_rules(checker, root, kind);
    let engines_check_fence = read_engines(root, kind);
    let leaving = read_leaving(checker, root);
    check_editor(root, &operators);
    Some(Document {
        service: ServiceName::from(service?.value),
        kind: match kind? {
            KindWord::Model => ServiceKind::Model(models),
            KindWord::Application => ServiceKind::Application,
        },
        accounts,
        operators,
        non_idempotent,
        leaving,
        engines_check_fence,
    })
}

fn read_leaving(checker: &Checker<'_>, root: &mut Section<'_, '_>) -> Vec<EndpointId> {
    let names = root.list("leaving", MAX_LEAVING, name);
    check_repeats(checker, &names);
    names
        .into_iter()
        .map(|name| EndpointId::from(name.value))
        .collect()
}

fn check_editor(root: &Section<'_, '_>, operators: &IndexMap<String, super::Operator>) {
    let is_editor = |operator: &super::Operator| operator.role == OperatorRole::Editor;
    if !operators.values().any(is_editor) {
        root.fault_at("operators", FaultKind::NoEditor);
    }
}

/// Reports each value that stands in a list for a second time.
pub(super) fn check_repeats(checker: &Checker<'_>, values: &[Located<String>]) {
    let mut first_lines: IndexMap<&str, usize> = IndexMap::new();
    for value in values {
        match first_lines.get(value.value.as_str()) {
            Some(&first_line) => value.fault(checker, FaultKind::Repeated { first_line }),
            None => {
                first_lines.insert(&value.value, value.line);
            }
        }
    }
}
