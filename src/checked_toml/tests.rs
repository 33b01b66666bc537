//! Mutations of a whole text, for the slices that read one.

use proptest::prelude::*;

/// Texts that turn one value into another kind of value, or break the syntax.
const SNIPPETS: [&str; 10] = [
    "",
    "\"",
    "[",
    "]]",
    "=",
    "\n[a.b]\n",
    "-1",
    "1e999",
    "\u{0}",
    "{x=[[]]}",
];

/// Texts that differ from `whole` in up to four places.
pub(crate) fn mutations(whole: &'static str) -> impl Strategy<Value = String> {
    let edit = (
        any::<prop::sample::Index>(),
        0..24_usize,
        prop::sample::select(&SNIPPETS[..]),
    );
    prop::collection::vec(edit, 1..5).prop_map(move |edits| {
        let mut text: Vec<char> = whole.chars().collect();
        for (at, removed, snippet) in edits {
            let start = at.index(text.len() + 1);
            let end = (start + removed).min(text.len());
            text.splice(start..end, snippet.chars());
        }
        text.into_iter().collect()
    })
}
