//! What differs between two documents.

use std::fmt;

use indexmap::IndexMap;

use super::model::{Document, KeyDigest, OperatorRole, Priority, ServiceKind};

/// One difference between two documents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Keys that lead to the place, joined by dots.
    pub path: String,
    /// What happened there.
    pub kind: ChangeKind,
}

/// What happened at one place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// It is new.
    Added {
        /// Its value.
        value: String,
    },
    /// It is gone.
    Removed {
        /// The value it had.
        value: String,
    },
    /// Its value is another one.
    Changed {
        /// The value before.
        before: String,
        /// The value now.
        after: String,
    },
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = &self.path;
        match &self.kind {
            ChangeKind::Added { value } => write!(f, "+ {path} = {value}"),
            ChangeKind::Removed { value } => write!(f, "- {path} = {value}"),
            ChangeKind::Changed { before, after } => write!(f, "~ {path}: {before} -> {after}"),
        }
    }
}

impl Document {
    /// What differs in `newer`, by place. Comments and layout of the texts do not count.
    pub fn diff(&self, newer: &Self) -> Vec<Change> {
        let before = facts(self);
        let after = facts(newer);
        let mut changes: Vec<Change> = before
            .iter()
            .filter_map(|(path, value)| change_of(path, value, after.get(path)))
            .collect();
        let added = after.iter().filter(|(path, _)| !before.contains_key(*path));
        changes.extend(added.map(|(path, value)| Change {
            path: path.clone(),
            kind: ChangeKind::Added {
                value: value.clone(),
            },
        }));
        changes.sort_by(|a, b| a.path.cmp(&b.path));
        changes
    }
}

fn change_of(path: &str, before: &str, after: Option<&String>) -> Option<Change> {
    let kind = match after {
        Some(after) if after == before => return None,
        Some(after) => ChangeKind::Changed {
            before: before.to_owned(),
            after: after.clone(),
        },
        None => ChangeKind::Removed {
            value: before.to_owned(),
        },
    };
    let path = path.to_owned();
    Some(Change { path, kind })
}

/// Every value that the document sets, by its place.
fn facts(document: &Document) -> IndexMap<String, String> {
    let mut facts = IndexMap::new();
    let mut add = |path: String, value: String| {
        facts.insert(path, value);
    };
    add("service".to_owned(), document.service.to_string());
    add(
        "engines.check_fence".to_owned(),
        document.engines_check_fence.to_string(),
    );
    match &document.kind {
        ServiceKind::Application => add("kind".to_owned(), "application".to_owned()),
        ServiceKind::Model(models) => {
            add("kind".to_owned(), "model".to_owned());
            for (name, model) in models {
                let path = |key: &str| format!("models.{name}.{key}");
                add(path("version"), model.version.clone());
                add(path("layers"), model.layers.to_string());
                add(path("activation_bytes"), model.activation_bytes.to_string());
                add(path("adapters"), model.adapters.join(", "));
            }
        }
    }
    for (id, account) in &document.accounts {
        let path = |key: &str| format!("accounts.{id}.{key}");
        add(path("weight"), account.weight.to_string());
        add(path("priority"), priority_word(account.priority).to_owned());
        add(path("key_digests"), short_digests(&account.key_digests));
    }
    for (name, operator) in &document.operators {
        let path = |key: &str| format!("operators.{name}.{key}");
        add(path("role"), role_word(operator.role).to_owned());
        add(path("key_digests"), short_digests(&operator.key_digests));
    }
    for rule in &document.non_idempotent {
        let value = format!("endpoint_deduplicates {}", rule.endpoint_deduplicates);
        add(
            format!("non_idempotent.{} {}", rule.method, rule.path_prefix),
            value,
        );
    }
    for endpoint in &document.leaving {
        add(format!("leaving.{endpoint}"), "true".to_owned());
    }
    facts
}

pub(crate) fn priority_word(priority: Priority) -> &'static str {
    match priority {
        Priority::Interactive => "interactive",
        Priority::Standard => "standard",
        Priority::Batch => "batch",
    }
}

pub(crate) fn role_word(role: OperatorRole) -> &'static str {
    match role {
        OperatorRole::Viewer => "viewer",
        OperatorRole::Editor => "editor",
    }
}

/// Enough of each digest to tell keys apart.
pub(crate) fn short_digests(digests: &[KeyDigest]) -> String {
    let short: Vec<String> = digests
        .iter()
        .map(|digest| format!("sha256:{}...", hex::encode(&digest.0[..6])))
        .collect();
    short.join(", ")
}
