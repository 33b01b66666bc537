//! A table being read.

use std::ops::Range;

use indexmap::IndexSet;
use similar::TextDiff;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::checker::{Checker, Located};
use super::fault::FaultKind;
use super::readers::{check_name, wrong_type};

/// A table, with the keys asked for so far.
pub(crate) struct Section<'s, 't> {
    checker: &'s Checker<'t>,
    table: &'s DeTable<'t>,
    path: String,
    line: usize,
    known: IndexSet<&'static str>,
}

impl<'s, 't> Section<'s, 't> {
    /// The table of the whole text.
    pub(super) fn root(checker: &'s Checker<'t>, table: &'s DeTable<'t>) -> Self {
        Self::new(checker, table, String::new(), 1)
    }

    fn new(checker: &'s Checker<'t>, table: &'s DeTable<'t>, path: String, line: usize) -> Self {
        Self {
            checker,
            table,
            path,
            line,
            known: IndexSet::new(),
        }
    }

    /// Reads a key that must be there.
    pub(crate) fn required<T, F>(&mut self, key: &'static str, read: F) -> Option<Located<T>>
    where
        F: FnOnce(&DeValue<'_>) -> Result<T, FaultKind>,
    {
        if !self.table.contains_key(key) {
            self.known.insert(key);
            self.fault_at(key, FaultKind::Missing);
            return None;
        }
        self.optional(key, read)
    }

    /// Reads a key that may be there.
    pub(crate) fn optional<T, F>(&mut self, key: &'static str, read: F) -> Option<Located<T>>
    where
        F: FnOnce(&DeValue<'_>) -> Result<T, FaultKind>,
    {
        let value = self.take(key)?;
        self.checker.read(value, join_path(&self.path, key), read)
    }

    /// Reads a list of single values; an absent one is empty.
    pub(crate) fn list<T, F>(&mut self, key: &'static str, limit: usize, read: F) -> Vec<Located<T>>
    where
        F: Fn(&DeValue<'_>) -> Result<T, FaultKind>,
    {
        let Some((path, items)) = self.items(key, limit, "a list") else {
            return Vec::new();
        };
        let items = items.iter().enumerate();
        items
            .filter_map(|(i, item)| self.checker.read(item, format!("{path}[{i}]"), &read))
            .collect()
    }

    /// Reads a list that must have at least one value.
    pub(crate) fn full_list<T, F>(
        &mut self,
        key: &'static str,
        limit: usize,
        read: F,
    ) -> Vec<Located<T>>
    where
        F: Fn(&DeValue<'_>) -> Result<T, FaultKind>,
    {
        match self.table.get(key).map(|value| value.get_ref().as_array()) {
            None => self.fault_at(key, FaultKind::Missing),
            Some(Some(items)) if items.is_empty() => self.fault_at(key, FaultKind::Empty),
            Some(_) => {}
        }
        self.list(key, limit, read)
    }

    /// Opens a table that may be there.
    pub(crate) fn section(&mut self, key: &'static str) -> Option<Section<'s, 't>> {
        let (name, value) = self.take_entry(key)?;
        let path = join_path(&self.path, key);
        self.open(path, name.span(), value)
    }

    /// Opens a table that must be there.
    pub(crate) fn required_section(&mut self, key: &'static str) -> Option<Section<'s, 't>> {
        if !self.table.contains_key(key) {
            self.known.insert(key);
            self.fault_at(key, FaultKind::Missing);
            return None;
        }
        self.section(key)
    }

    /// Opens each table of a table of tables, in the order of the text, with its checked name.
    pub(crate) fn named_sections(
        &mut self,
        key: &'static str,
        limit: usize,
    ) -> Vec<(Located<String>, Section<'s, 't>)> {
        let Some(outer) = self.section(key) else {
            return Vec::new();
        };
        let count = outer.table.len();
        if count > limit {
            outer.fault(FaultKind::TooMany { count, limit });
        }
        let mut entries: Vec<_> = outer.table.iter().collect();
        entries.sort_by_key(|(name, _)| name.span().start);
        let entries = entries.into_iter().take(limit);
        entries
            .filter_map(|(name, value)| {
                let path = join_path(&outer.path, name.get_ref());
                let inner = self.open(path, name.span(), value)?;
                let name = inner.located(name.get_ref().to_string());
                if let Err(kind) = check_name(&name.value) {
                    inner.fault(kind);
                }
                Some((name, inner))
            })
            .collect()
    }

    /// Opens each table of a list of tables.
    pub(crate) fn listed_sections(
        &mut self,
        key: &'static str,
        limit: usize,
    ) -> Vec<Section<'s, 't>> {
        let Some((path, items)) = self.items(key, limit, "a list of tables") else {
            return Vec::new();
        };
        let items = items.iter().enumerate();
        items
            .filter_map(|(i, item)| self.open(format!("{path}[{i}]"), item.span(), item))
            .collect()
    }

    /// Whether the table has the key. Counts as asking for it.
    pub(crate) fn has(&mut self, key: &'static str) -> bool {
        self.take(key).is_some()
    }

    /// How many entries the table under `key` has; `None` without the key, 1 for another type.
    pub(crate) fn entries_of(&self, key: &str) -> Option<usize> {
        let value = self.table.get(key)?.get_ref();
        Some(value.as_table().map_or(1, |table| table.len()))
    }

    /// Reports a fault of the table itself.
    pub(crate) fn fault(&self, kind: FaultKind) {
        self.checker.push(self.line, self.path.clone(), kind);
    }

    /// Reports a fault of one key, at its line if it is there, else at the table's.
    pub(crate) fn fault_at(&self, key: &str, kind: FaultKind) {
        let line = match self.table.get_key_value(key) {
            Some((name, _)) => self.checker.line_of(name.span().start),
            None => self.line,
        };
        self.checker.push(line, join_path(&self.path, key), kind);
    }

    /// Gives a value the place of this table.
    pub(crate) fn located<T>(&self, value: T) -> Located<T> {
        Located {
            value,
            line: self.line,
            path: self.path.clone(),
        }
    }

    /// Reports every key that nobody asked for.
    pub(crate) fn finish(self) {
        for name in self.table.keys() {
            let key: &str = name.get_ref();
            if !self.known.contains(key) {
                self.fault_at(key, self.unknown_key(key));
            }
        }
    }

    fn unknown_key(&self, key: &str) -> FaultKind {
        let known = match self.checker.is_full() {
            true => Vec::new(),
            false => nearest_first(key, &self.known),
        };
        FaultKind::UnknownKey { known }
    }

    /// The first `limit` items of a list, with its path; reports another type and too many.
    fn items(
        &mut self,
        key: &'static str,
        limit: usize,
        expected: &'static str,
    ) -> Option<(String, &'s [Spanned<DeValue<'t>>])> {
        let value = self.take(key)?;
        let Some(items) = value.get_ref().as_array() else {
            self.fault_at(key, wrong_type(expected, value.get_ref()));
            return None;
        };
        let count = items.len();
        if count > limit {
            self.fault_at(key, FaultKind::TooMany { count, limit });
        }
        let kept = &items[..count.min(limit)];
        Some((join_path(&self.path, key), kept))
    }

    fn take(&mut self, key: &'static str) -> Option<&'s Spanned<DeValue<'t>>> {
        self.take_entry(key).map(|(_, value)| value)
    }

    fn take_entry(
        &mut self,
        key: &'static str,
    ) -> Option<(
        &'s Spanned<std::borrow::Cow<'t, str>>,
        &'s Spanned<DeValue<'t>>,
    )> {
        self.known.insert(key);
        self.table.get_key_value(key)
    }

    fn open(
        &self,
        path: String,
        at: Range<usize>,
        value: &'s Spanned<DeValue<'t>>,
    ) -> Option<Section<'s, 't>> {
        let line = self.checker.line_of(at.start);
        match value.get_ref() {
            DeValue::Table(table) => Some(Section::new(self.checker, table, path, line)),
            other => {
                self.checker.push(line, path, wrong_type("a table", other));
                None
            }
        }
    }
}

/// Longest part of a path that is shown, and longest key that is compared with known ones.
const MAX_PART_CHARS: usize = 64;

fn join_path(path: &str, key: &str) -> String {
    let key: String = key.chars().take(MAX_PART_CHARS).collect();
    match path {
        "" => key,
        _ => format!("{path}.{key}"),
    }
}

fn nearest_first(key: &str, known: &IndexSet<&'static str>) -> Vec<&'static str> {
    let mut known: Vec<&'static str> = known.iter().copied().collect();
    if key.len() <= MAX_PART_CHARS {
        // Stable, so that keys equally near stay in the order in which they are read.
        known.sort_by(|a, b| ratio(key, b).total_cmp(&ratio(key, a)));
    }
    known
}

fn ratio(key: &str, known: &str) -> f32 {
    TextDiff::from_chars(key, known).ratio()
}
