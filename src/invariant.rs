//! Invariants asserted while the program runs.
//!
//! A violated invariant is counted, logged once for each name with its evidence, and fatal where
//! debug assertions are on, as in tests.

use std::fmt::Display;
use std::sync::{Mutex, PoisonError};

use indexmap::IndexMap;

static VIOLATIONS: Mutex<Option<IndexMap<&'static str, u64>>> = Mutex::new(None);

/// Reports a violation unless `holds`; `evidence` is only worked out for a violation.
pub fn check<E, F>(holds: bool, name: &'static str, evidence: F)
where
    E: Display,
    F: FnOnce() -> E,
{
    if !holds {
        report_violation(name, evidence());
    }
}

/// Reports that an invariant does not hold.
///
/// # Panics
///
/// Panics where debug assertions are on.
pub fn report_violation<E>(name: &'static str, evidence: E)
where
    E: Display,
{
    if count(name) == 1 {
        log::error!(invariant = name, evidence:% = evidence; "invariant violated");
    }
    debug_assert!(false, "invariant {name} violated: {evidence}");
}

/// How often each invariant was found violated in this process, in order of the first time.
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
