//! `fescuectl document diff`

use serde::Serialize;
use serde_json::json;
use similar::TextDiff;

use super::read_document;
use crate::ctl::call::ControlClient;
use crate::ctl::cli::{CommonArgs, DiffArgs};
use crate::ctl::fault::CtlError;
use crate::ctl::report::Report;
use crate::document::{Change, ChangeKind, Document};
use crate::rpc::OperatorApiClient;

/// Number of unchanged lines shown around each change.
const CONTEXT_LINES: usize = 2;

pub(super) async fn run(common: &CommonArgs, args: &DiffArgs) -> Result<Report, CtlError> {
    let (newer, document) = read_document(&args.file)?;
    let older = match &args.against {
        Some(path) => read_document(path)?.0,
        None => {
            let control = ControlClient::new(common)?;
            let request = async |client: &_, key| {
                let service = document.service.clone();
                OperatorApiClient::document(client, key, service, args.revision).await
            };
            control.call(request).await?.text
        }
    };
    let changes = changes_between(&older, &document);
    let text = match args.text {
        true => line_diff(&older, &newer),
        false => render_changes(changes.as_deref()),
    };
    let json = json!({
        "service": document.service,
        "changes": changes.as_deref().map(change_lines),
        "text": line_diff(&older, &newer),
    });
    Report::success(text, &json)
}

/// JSON representation of a change.
#[derive(Debug, Serialize)]
pub(super) struct ChangeLine<'a> {
    path: &'a str,
    before: Option<&'a str>,
    after: Option<&'a str>,
}

impl<'a> From<&'a Change> for ChangeLine<'a> {
    fn from(change: &'a Change) -> Self {
        let (before, after) = match &change.kind {
            ChangeKind::Added { value } => (None, Some(value.as_str())),
            ChangeKind::Removed { value } => (Some(value.as_str()), None),
            ChangeKind::Changed { before, after } => (Some(before.as_str()), Some(after.as_str())),
        };
        Self {
            path: &change.path,
            before,
            after,
        }
    }
}

pub(super) fn change_lines(changes: &[Change]) -> Vec<ChangeLine<'_>> {
    changes.iter().map(ChangeLine::from).collect()
}

/// Returns the changes from an accepted text, or `None` if the text does not parse, for example
/// because another release accepted it.
pub(super) fn changes_between(older: &str, newer: &Document) -> Option<Vec<Change>> {
    let older = Document::parse(older).ok()?;
    Some(older.diff(newer))
}

pub(super) fn render_changes(changes: Option<&[Change]>) -> String {
    match changes {
        None => "values cannot be compared: no readable older text".to_owned(),
        Some([]) => "no values differ".to_owned(),
        Some(changes) => {
            let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
            lines.join("\n")
        }
    }
}

fn line_diff(older: &str, newer: &str) -> String {
    TextDiff::from_lines(older, newer)
        .unified_diff()
        .context_radius(CONTEXT_LINES)
        .to_string()
}
