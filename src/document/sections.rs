//! Readers of a document's sections. Each reports its faults and returns what is whole.

use indexmap::IndexMap;
use toml::de::DeValue;

use super::duplicates::{SeenDigests, check_duplicates};
use super::model::{
    Account, KeyDigest, ModelOffer, NonIdempotentRule, Operator, OperatorRole, Priority,
};
use super::plain_path::plain_path;
use crate::checked_toml::{
    Checker, FaultKind, Located, Section, flag, key_digest, name, number, one_of, text,
    whole_number,
};
use crate::ids::AccountId;

const MAX_ACCOUNTS: usize = 1_024;
const MAX_OPERATORS: usize = 256;
const MAX_MODELS: usize = 64;
const MAX_ADAPTERS: usize = 256;
const MAX_RULES: usize = 256;
/// Two, for the time of a rotation.
const MAX_KEYS: usize = 2;
const MAX_WEIGHT: f64 = 1_000_000.0;
const MAX_PATH_CHARS: usize = 256;

const PRIORITIES: [(&str, Priority); 3] = [
    ("interactive", Priority::Interactive),
    ("standard", Priority::Standard),
    ("batch", Priority::Batch),
];
const ROLES: [(&str, OperatorRole); 2] = [
    ("viewer", OperatorRole::Viewer),
    ("editor", OperatorRole::Editor),
];
/// Methods whose calls may change something.
const METHODS: [&str; 4] = ["POST", "PUT", "PATCH", "DELETE"];

/// The kind of a service, as the text names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum KindWord {
    Model,
    Application,
}

pub(super) fn read_accounts(
    checker: &Checker<'_>,
    root: &mut Section<'_, '_>,
    seen: &mut SeenDigests,
) -> IndexMap<AccountId, Account> {
    let sections = root.named_sections("accounts", MAX_ACCOUNTS);
    if sections.is_empty() {
        report_none(root, "accounts");
    }
    let mut accounts = IndexMap::new();
    for (id, mut section) in sections {
        let weight = section.required("weight", weight);
        let priority = section.optional("priority", |value| one_of(value, &PRIORITIES));
        let key_digests = read_digests(checker, &mut section, seen);
        section.finish();
        if let Some(weight) = weight {
            let account = Account {
                weight: weight.value,
                priority: priority.map_or(Priority::Standard, |priority| priority.value),
                key_digests,
            };
            accounts.insert(AccountId::from(id.value), account);
        }
    }
    accounts
}

pub(super) fn read_operators(
    checker: &Checker<'_>,
    root: &mut Section<'_, '_>,
    seen: &mut SeenDigests,
) -> IndexMap<String, Operator> {
    let mut operators = IndexMap::new();
    for (name, mut section) in root.named_sections("operators", MAX_OPERATORS) {
        let role = section.required("role", |value| one_of(value, &ROLES));
        let key_digests = read_digests(checker, &mut section, seen);
        section.finish();
        if let Some(role) = role {
            let role = role.value;
            operators.insert(name.value, Operator { role, key_digests });
        }
    }
    operators
}

pub(super) fn read_models(
    checker: &Checker<'_>,
    root: &mut Section<'_, '_>,
    kind: Option<KindWord>,
) -> IndexMap<String, ModelOffer> {
    let sections = root.named_sections("models", MAX_MODELS);
    match kind {
        Some(KindWord::Model) if sections.is_empty() => report_none(root, "models"),
        Some(KindWord::Application) => report_not_for(root, "models", "application"),
        _ => {}
    }
    let mut models = IndexMap::new();
    for (name, mut section) in sections {
        let offer = read_model(checker, &name, &mut section);
        section.finish();
        if let Some(offer) = offer {
            models.insert(name.value, offer);
        }
    }
    models
}

fn read_model(
    checker: &Checker<'_>,
    model: &Located<String>,
    section: &mut Section<'_, '_>,
) -> Option<ModelOffer> {
    let version = section.required("version", name);
    let layers = section.required("layers", layers);
    let activation = section.required("activation_bytes", activation_bytes);
    let adapters = section.list("adapters", MAX_ADAPTERS, name);
    check_duplicates(checker, &adapters);
    Some(ModelOffer {
        name: model.value.clone(),
        version: version?.value,
        adapters: adapters.into_iter().map(|adapter| adapter.value).collect(),
        layers: layers?.value,
        activation_bytes: activation?.value,
    })
}

pub(super) fn read_rules(
    checker: &Checker<'_>,
    root: &mut Section<'_, '_>,
    kind: Option<KindWord>,
) -> Vec<NonIdempotentRule> {
    let sections = root.listed_sections("non_idempotent", MAX_RULES);
    if kind == Some(KindWord::Model) {
        report_not_for(root, "non_idempotent", "model");
    }
    let mut rules = Vec::new();
    let mut names = Vec::new();
    for mut section in sections {
        let method = section.required("method", method);
        let path = section.required("path", path_prefix);
        let deduplicates = section.optional("endpoint_deduplicates", flag);
        let place = section.located(());
        section.finish();
        if let (Some(method), Some(path)) = (method, path) {
            names.push(Located {
                value: format!("{} {}", method.value, path.value),
                line: place.line,
                path: place.path,
            });
            rules.push(NonIdempotentRule {
                method: method.value,
                path_prefix: path.value,
                endpoint_deduplicates: deduplicates.is_some_and(|flag| flag.value),
            });
        }
    }
    check_duplicates(checker, &names);
    rules
}

pub(super) fn read_engines(root: &mut Section<'_, '_>, kind: Option<KindWord>) -> bool {
    if kind == Some(KindWord::Application) {
        report_not_for(root, "engines", "application");
    }
    let Some(mut section) = root.section("engines") else {
        return false;
    };
    let check_fence = section.required("check_fence", flag);
    section.finish();
    check_fence.is_some_and(|flag| flag.value)
}

fn read_digests(
    checker: &Checker<'_>,
    section: &mut Section<'_, '_>,
    seen: &mut SeenDigests,
) -> Vec<KeyDigest> {
    let digests = section.full_list("key_digests", MAX_KEYS, key_digest);
    for digest in &digests {
        seen.add(checker, digest);
    }
    digests.into_iter().map(|digest| digest.value).collect()
}

fn report_none(root: &Section<'_, '_>, key: &'static str) {
    // A value of another type has been reported already.
    match root.entries_of(key) {
        None => root.fault_at(key, FaultKind::Missing),
        Some(0) => root.fault_at(key, FaultKind::Empty),
        Some(_) => {}
    }
}

fn report_not_for(root: &mut Section<'_, '_>, key: &'static str, kind: &'static str) {
    if root.has(key) {
        root.fault_at(key, FaultKind::NotForKind { kind });
    }
}

fn weight(value: &DeValue<'_>) -> Result<f64, FaultKind> {
    let weight = number(value)?;
    if weight > 0.0 && weight <= MAX_WEIGHT {
        return Ok(weight);
    }
    Err(FaultKind::OutOfRange {
        range: "a number greater than 0, at most 1000000",
    })
}

fn layers(value: &DeValue<'_>) -> Result<u16, FaultKind> {
    let layers = u16::try_from(whole_number(value)?).unwrap_or(0);
    if layers > 0 {
        return Ok(layers);
    }
    Err(FaultKind::OutOfRange {
        range: "a whole number from 1 to 65535",
    })
}

fn activation_bytes(value: &DeValue<'_>) -> Result<u32, FaultKind> {
    let size_bytes = u32::try_from(whole_number(value)?).unwrap_or(0);
    if size_bytes > 0 {
        return Ok(size_bytes);
    }
    Err(FaultKind::OutOfRange {
        range: "a whole number from 1 to 4294967295",
    })
}

fn method(value: &DeValue<'_>) -> Result<String, FaultKind> {
    let found = text(value)?;
    if METHODS.contains(&found.as_str()) {
        return Ok(found);
    }
    Err(FaultKind::BadMethod {
        found: found.chars().take(16).collect(),
    })
}

fn path_prefix(value: &DeValue<'_>) -> Result<String, FaultKind> {
    let found = text(value)?;
    let is_plain = found.chars().all(|c| c.is_ascii_graphic()) && plain_path(&found) == found;
    if is_plain && found.len() <= MAX_PATH_CHARS {
        return Ok(found);
    }
    Err(FaultKind::BadPath)
}
