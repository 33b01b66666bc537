//! Collects the faults of one text, with their lines.

use std::cell::{Cell, RefCell};

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::fault::{Fault, FaultKind, Faults};
use super::section::Section;

/// Most faults that are reported of one text.
const MAX_FAULTS: usize = 500;

/// A value and its place.
#[derive(Clone, Debug)]
pub(crate) struct Located<T> {
    pub(crate) value: T,
    pub(crate) line: usize,
    pub(crate) path: String,
}

impl<T> Located<T> {
    /// Reports a fault of this value.
    pub(crate) fn fault(&self, checker: &Checker<'_>, kind: FaultKind) {
        checker.push(self.line, self.path.clone(), kind);
    }
}

/// Reads a whole text with `read`, which gets its top table; reports every fault in it.
pub(crate) fn check<T, F>(text: &str, limit_bytes: usize, read: F) -> Result<T, Faults>
where
    F: FnOnce(&Checker<'_>, &mut Section<'_, '_>) -> Option<T>,
{
    let checker = Checker::new(text);
    let value = checker.parse(limit_bytes).and_then(|table| {
        let mut root = Section::root(&checker, &table);
        let value = read(&checker, &mut root);
        root.finish();
        value
    });
    let faults = checker.into_faults();
    match value {
        Some(value) if faults.is_empty() => Ok(value),
        _ => Err(Faults { faults }),
    }
}

/// Collects the faults of one text.
#[derive(Debug)]
pub(crate) struct Checker<'t> {
    text: &'t str,
    /// Byte offset of each line's end, ascending.
    line_ends: Vec<usize>,
    /// At most [`MAX_FAULTS`].
    faults: RefCell<Vec<Fault>>,
    /// Faults found beyond those.
    dropped: Cell<usize>,
}

impl<'t> Checker<'t> {
    fn new(text: &'t str) -> Self {
        let line_ends = text.match_indices('\n').map(|(at, _)| at).collect();
        Self {
            text,
            line_ends,
            faults: RefCell::default(),
            dropped: Cell::default(),
        }
    }

    /// Parses the text; reports every fault of syntax and returns `None` if there is one.
    fn parse(&self, limit_bytes: usize) -> Option<DeTable<'t>> {
        let size_bytes = self.text.len();
        if size_bytes > limit_bytes {
            let kind = FaultKind::TooLarge {
                size_bytes,
                limit_bytes,
            };
            self.push(1, String::new(), kind);
            return None;
        }
        let (table, errors) = DeTable::parse_recoverable(self.text);
        for error in &errors {
            let at = error.span().map_or(0, |span| span.start);
            let message = error.message().to_owned();
            self.push(
                self.line_of(at),
                String::new(),
                FaultKind::Syntax { message },
            );
        }
        errors.is_empty().then(|| table.into_inner())
    }

    pub(crate) fn push(&self, line: usize, path: String, kind: FaultKind) {
        if self.is_full() {
            self.dropped.update(|dropped| dropped + 1);
            return;
        }
        self.faults.borrow_mut().push(Fault { line, path, kind });
    }

    /// Whether no further fault is kept.
    pub(super) fn is_full(&self) -> bool {
        self.faults.borrow().len() >= MAX_FAULTS
    }

    /// Every fault, by line.
    fn into_faults(self) -> Vec<Fault> {
        let mut faults = self.faults.into_inner();
        faults.sort_by_key(|fault| fault.line);
        let count = self.dropped.get();
        if let (true, Some(last)) = (count > 0, faults.last()) {
            let line = last.line;
            let kind = FaultKind::MoreFaults { count };
            let path = String::new();
            faults.push(Fault { line, path, kind });
        }
        faults
    }

    /// Reads one value; reports what is wrong with it.
    pub(super) fn read<T, F>(
        &self,
        value: &Spanned<DeValue<'_>>,
        path: String,
        read: F,
    ) -> Option<Located<T>>
    where
        F: FnOnce(&DeValue<'_>) -> Result<T, FaultKind>,
    {
        let line = self.line_of(value.span().start);
        match read(value.get_ref()) {
            Ok(value) => Some(Located { value, line, path }),
            Err(kind) => {
                self.push(line, path, kind);
                None
            }
        }
    }

    /// The line that a byte offset is on.
    pub(super) fn line_of(&self, at: usize) -> usize {
        self.line_ends.partition_point(|end| *end < at) + 1
    }
}
