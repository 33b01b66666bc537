//! `fescuectl trace`: what instances logged about one request, and about the endpoints that
//! it met shortly before.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::ctl::fault::CtlError;
use crate::ctl::report::{Report, render, table};

/// Lines on the endpoints of a request that are shown before its own: as many as tell a loss, its
/// discovery by each instance of a small deployment, and the orders that followed.
const LINES_BEFORE: usize = 20;
/// Values that name endpoints.
const ENDPOINT_KEYS: [&str; 4] = ["endpoint", "at_fault", "first", "unsound"];

/// One line of a log.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct LogLine {
    at: String,
    message: String,
    #[serde(default)]
    values: Map<String, Value>,
    /// The file it was read from.
    #[serde(default)]
    file: PathBuf,
}

pub(super) fn run(request: &str, files: &[PathBuf]) -> Result<Report, CtlError> {
    let mut lines = Vec::new();
    for file in files {
        read_lines(file, &mut lines)?;
    }
    // Times are written so that they sort as text.
    lines.sort_by(|a, b| a.at.cmp(&b.at));
    let shown = relevant(request, &lines);
    let text = match shown.is_empty() {
        true => format!("no line names the request {request}; name the logs of all instances"),
        false => render_lines(&shown),
    };
    Report::success(text, &shown)
}

fn read_lines(path: &Path, lines: &mut Vec<LogLine>) -> Result<(), CtlError> {
    let unreadable = |cause| CtlError::Unreadable {
        path: path.to_owned(),
        cause,
    };
    let file = File::open(path).map_err(unreadable)?;
    for line in BufReader::new(file).lines() {
        let line = line.map_err(unreadable)?;
        // Other programs may write into the same file; their lines are passed over.
        if let Ok(mut line) = serde_json::from_str::<LogLine>(&line) {
            line.file = path.to_owned();
            lines.push(line);
        }
    }
    Ok(())
}

/// The lines of the request, and before them the last ones on the endpoints that these name.
fn relevant<'a>(request: &str, lines: &'a [LogLine]) -> Vec<&'a LogLine> {
    let is_own = |line: &LogLine| line.value("request") == Some(request);
    let Some(last) = lines.iter().rposition(is_own) else {
        return Vec::new();
    };
    let own: Vec<&LogLine> = lines.iter().filter(|line| is_own(line)).collect();
    let endpoints: IndexSet<&str> = own.iter().flat_map(|line| line.endpoints()).collect();
    let mut before: Vec<&LogLine> = lines[..last]
        .iter()
        .rev()
        .filter(|line| line.value("request").is_none())
        .filter(|line| line.endpoints().any(|it| endpoints.contains(it)))
        .take(LINES_BEFORE)
        .collect();
    before.extend(own);
    before.sort_by(|a, b| a.at.cmp(&b.at));
    before
}

impl LogLine {
    fn value(&self, key: &str) -> Option<&str> {
        self.values.get(key)?.as_str()
    }

    /// Endpoints that the line names, those of a chain included.
    fn endpoints(&self) -> impl Iterator<Item = &str> {
        let named = ENDPOINT_KEYS.iter().filter_map(|key| self.value(key));
        let chain = self.value("chain").unwrap_or("").split(',');
        let stages = chain.filter_map(|stage| stage.split_once('=').map(|(id, _)| id));
        named.chain(stages)
    }
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
