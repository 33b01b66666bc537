//! `fescuectl trace`: what instances logged about one request, and about the endpoints that
//! it met shortly before.

use std::path::PathBuf;

use indexmap::IndexSet;
use serde_json::Value;

use crate::ctl::fault::CtlError;
use crate::ctl::log_lines::{LogLine, read_logs};
use crate::ctl::report::{Report, render, table};

/// Lines on the endpoints of a request that are shown before its own: as many as tell a loss, its
/// discovery by each instance of a small deployment, and the orders that followed.
const LINES_BEFORE: usize = 20;
/// Values that name endpoints.
const ENDPOINT_KEYS: [&str; 4] = ["endpoint", "at_fault", "first", "unsound"];
/// Values that are lists of `ENDPOINT=...` with commas between them.
const LIST_KEYS: [&str; 2] = ["chain", "known_at_send"];

pub(super) fn run(request: &str, files: &[PathBuf]) -> Result<Report, CtlError> {
    let lines = read_logs(files)?;
    let shown = relevant(request, &lines);
    let text = match shown.is_empty() {
        true => format!("no line names the request {request}; name the logs of all instances"),
        false => render_lines(&shown),
    };
    Report::success(text, &shown)
}

/// The lines of the request, and before them the last ones on the endpoints that these name.
fn relevant<'a>(request: &str, lines: &'a [LogLine]) -> Vec<&'a LogLine> {
    let is_own = |line: &LogLine| line.text("request") == Some(request);
    let Some(last) = lines.iter().rposition(is_own) else {
        return Vec::new();
    };
    let own: Vec<&LogLine> = lines.iter().filter(|line| is_own(line)).collect();
    let met: IndexSet<&str> = own.iter().flat_map(|line| endpoints(line)).collect();
    let mut before: Vec<&LogLine> = lines[..last]
        .iter()
        .rev()
        .filter(|line| line.text("request").is_none())
        .filter(|line| endpoints(line).any(|it| met.contains(it)))
        .take(LINES_BEFORE)
        .collect();
    before.extend(own);
    before.sort_by(|a, b| a.at.cmp(&b.at));
    before
}

/// Endpoints that a line names, those of a chain and those sent to included.
fn endpoints(line: &LogLine) -> impl Iterator<Item = &str> {
    let named = ENDPOINT_KEYS.iter().filter_map(|key| line.text(key));
    let lists = LIST_KEYS.iter().filter_map(|key| line.text(key));
    let parts = lists.flat_map(|list| list.split(','));
    named.chain(parts.filter_map(|part| part.split_once('=').map(|(id, _)| id)))
}

fn render_lines(lines: &[&LogLine]) -> String {
    let mut table = table(["AT", "LOG", "WHAT"]);
    for line in lines {
        let values = line.values.iter().filter(|(key, _)| *key != "request");
        let pairs: Vec<String> = values.map(|(key, value)| pair(key, value)).collect();
        let log = line.file.file_name().unwrap_or_default().to_string_lossy();
        table.add_row([
            line.at.clone(),
            log.into_owned(),
            format!("{} {}", line.message, pairs.join(" ")),
        ]);
    }
    render(&table)
}

fn pair(key: &str, value: &Value) -> String {
    match value {
        Value::String(text) => format!("{key}={text}"),
        other => format!("{key}={other}"),
    }
}
