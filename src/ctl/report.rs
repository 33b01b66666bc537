//! Results of commands and their output.

use std::io::{self, Write};

use comfy_table::{Table, presets};
use serde::Serialize;
use serde_json::{Value, json};

use super::fault::CtlError;
use crate::exit_codes::Exit;

/// Result of a command.
#[derive(Debug, PartialEq)]
pub struct Report {
    /// Human-readable output.
    pub text: String,
    /// Machine-readable output.
    pub json: Value,
    /// Exit code of the process.
    pub exit: Exit,
}

impl Report {
    /// Creates the result of a successful command.
    pub(super) fn success<T>(text: String, json: &T) -> Result<Self, CtlError>
    where
        T: Serialize,
    {
        Ok(Self {
            text,
            json: serde_json::to_value(json)?,
            exit: Exit::Success,
        })
    }

    /// Prints the result to standard output.
    pub(super) fn print(&self, json: bool) -> Exit {
        let text = match json {
            true => self.json.to_string(),
            false => self.text.trim_end().to_owned(),
        };
        // Write errors are ignored: the reader may close the pipe early, as `head` does.
        let _ = writeln!(io::stdout(), "{text}");
        self.exit
    }
}

/// Prints the error of a command to standard error.
pub(super) fn print_error(error: &CtlError, json: bool) -> Exit {
    let exit = error.exit();
    let text = match json {
        true => json!({"exit": exit.name(), "error": error.to_string()}).to_string(),
        false => prefix_lines(&error.to_string()),
    };
    let _ = writeln!(io::stderr(), "{text}");
    exit
}

/// Prints help to standard output, or a usage error to standard error.
pub(super) fn print_usage(error: &clap::Error) -> Exit {
    let _ = error.print();
    match error.use_stderr() {
        true => Exit::Usage,
        false => Exit::Success,
    }
}

fn prefix_lines(text: &str) -> String {
    let lines: Vec<String> = text
        .lines()
        .map(|line| format!("fescuectl: {line}"))
        .collect();
    lines.join("\n")
}

/// Creates a table with a header and no borders.
pub(super) fn table<const N: usize>(header: [&str; N]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(header);
    table
}

/// Renders a table without leading and trailing white space on its lines.
pub(super) fn render(table: &Table) -> String {
    let lines: Vec<String> = table.lines().map(|line| line.trim().to_owned()).collect();
    lines.join("\n")
}

/// Formats a time as RFC 3339 in UTC.
pub(super) fn format_time(at_unix_ms: u64) -> String {
    let at_ms = i64::try_from(at_unix_ms).unwrap_or(i64::MAX);
    match jiff::Timestamp::from_millisecond(at_ms) {
        Ok(time) => format!("{time:.3}"),
        Err(_) => format!("{at_unix_ms} ms"),
    }
}
