//! Values that may stand in a document once only.

use indexmap::IndexMap;

use super::model::KeyDigest;
use crate::checked_toml::{Checker, FaultKind, Located};

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

/// Reports each value that stands in a list for a second time.
pub(super) fn check_duplicates(checker: &Checker<'_>, values: &[Located<String>]) {
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
