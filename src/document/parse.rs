//! Checks the text of a document.

use indexmap::IndexMap;

use super::duplicates::{SeenDigests, check_duplicates};
use super::model::{Document, OperatorRole, ServiceKind};
use super::sections::{
    KindWord, read_accounts, read_engines, read_models, read_operators, read_rules,
};
use crate::checked_toml::{Checker, FaultKind, Faults, Section, check, name, one_of};
use crate::ids::{EndpointId, ServiceName};

/// Largest document.
pub const MAX_DOCUMENT_BYTES: usize = 256 * 1024;
/// Most endpoints that one document may tell to leave.
const MAX_LEAVING: usize = 4_096;

const KINDS: [(&str, KindWord); 2] = [
    ("model", KindWord::Model),
    ("application", KindWord::Application),
];

impl Document {
    /// Checks the text of a document; reports every fault in it.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        check(text, MAX_DOCUMENT_BYTES, read_root)
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
    check_duplicates(checker, &names);
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
