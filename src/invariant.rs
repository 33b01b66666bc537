//! Runtime invariant checks.
//!
//! A violation is counted, logged once per invariant name with its evidence, and panics when debug
//! assertions are enabled, as in tests.

use std::fmt::Display;
use std::sync::{Mutex, PoisonError};

use indexmap::IndexMap;

static VIOLATIONS: Mutex<Option<IndexMap<&'static str, u64>>> = Mutex::new(None);

/// Reports a violation unless `holds`; `evidence` is evaluated only on a violation.
pub fn check<E, F>(holds: bool, name: &'static str, evidence: F)
where
    E: Display,
    F: FnOnce() -> E,
{
    if !holds {
        report_violation(name, evidence());
    }
}

/// Counts a violation and logs the first one for each invariant.
///
/// # Panics
///
/// Panics when debug assertions are enabled.
pub fn report_violation<E>(name: &'static str, evidence: E)
where
    E: Display,
{
    if count(name) == 1 {
        log::error!(invariant = name, evidence:% = evidence; "invariant violated");
    }
    debug_assert!(false, "invariant {name} violated: {evidence}");
}

/// Number of violations per invariant in this process, ordered by first occurrence.
pub fn violations() -> IndexMap<&'static str, u64> {
    let guard = VIOLATIONS.lock().unwrap_or_else(PoisonError::into_inner);
    guard.clone().unwrap_or_default()
}

fn count(name: &'static str) -> u64 {
    let mut guard = VIOLATIONS.lock().unwrap_or_else(PoisonError::into_inner);
    let counts = guard.get_or_insert_with(IndexMap::new);
    let times = counts.entry(name).or_insert(0);
    *times += 1;
    *times
}
