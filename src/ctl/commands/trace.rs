//! `fescuectl trace`: shows what instances logged about a request, and the preceding log lines
//! about the endpoints it involved.

use std::path::PathBuf;

use indexmap::IndexSet;
use serde_json::Value;

use crate::ctl::fault::CtlError;
use crate::ctl::log_lines::{LogLine, read_logs};
use crate::ctl::report::{Report, render, table};

/// Maximum number of earlier lines about a request's endpoints to show. Enough for the loss of an
/// endpoint, its detection by each instance of a small deployment, and the orders that followed.
const MAX_EARLIER_LINES: usize = 20;
/// Keys whose value is the name of an endpoint.
const ENDPOINT_KEYS: [&str; 4] = ["endpoint", "at_fault", "first", "unsound"];
/// Keys whose value is a comma-separated list of `ENDPOINT=...` items.
const LIST_KEYS: [&str; 2] = ["chain", "known_at_send"];

pub(super) fn run(request: &str, files: &[PathBuf]) -> Result<Report, CtlError> {
    let lines = read_logs(files)?;
    let shown = relevant(request, &lines);
    let text = match shown.is_empty() {
        true => format!("no log line mentions request {request}; pass the logs of all instances"),
        false => render_lines(&shown),
    };
    Report::success(text, &shown)
}

/// Selects the lines of the request, and the last lines about its endpoints that precede the last
/// line of the request.
fn relevant<'a>(request: &str, lines: &'a [LogLine]) -> Vec<&'a LogLine> {
    let is_own = |line: &LogLine| line.text("request") == Some(request);
    let Some(last) = lines.iter().rposition(is_own) else {
        return Vec::new();
    };
    let own: Vec<&LogLine> = lines.iter().filter(|line| is_own(line)).collect();
    let involved: IndexSet<&str> = own.iter().flat_map(|line| endpoints(line)).collect();
    let mut before: Vec<&LogLine> = lines[..last]
        .iter()
        .rev()
        .filter(|line| line.text("request").is_none())
        .filter(|line| endpoints(line).any(|it| involved.contains(it)))
        .take(MAX_EARLIER_LINES)
        .collect();
    before.extend(own);
    before.sort_by(|a, b| a.at.cmp(&b.at));
    before
}

/// Returns all endpoints named by a line, including those of its chain and those it was sent to.
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
