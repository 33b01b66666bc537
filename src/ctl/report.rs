//! The result of a command, and how it is printed.

use std::io::{self, Write};

use comfy_table::{Table, presets};
use serde::Serialize;
use serde_json::{Value, json};

use super::fault::CtlError;
use crate::exit_codes::Exit;

/// The result of a command, for people and for programs.
#[derive(Debug, PartialEq)]
pub struct Report {
    /// For people.
    pub text: String,
    /// For programs.
    pub json: Value,
    /// How the process ends.
    pub exit: Exit,
}

impl Report {
    /// The result of a command that did what was asked.
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
        // A reader that went away, such as `head`, is no fault of the command.
        let _ = writeln!(io::stdout(), "{text}");
        self.exit
    }
}

/// Prints why a command failed to standard error.
pub(super) fn print_error(error: &CtlError, json: bool) -> Exit {
    let exit = error.exit();
    let text = match json {
        true => json!({"exit": exit.name(), "error": error.to_string()}).to_string(),
        false => prefixed(&error.to_string()),
    };
    let _ = writeln!(io::stderr(), "{text}");
    exit
}

/// Prints help to standard output, and a fault of the command line to standard error.
pub(super) fn print_usage(error: &clap::Error) -> Exit {
    let _ = error.print();
    match error.use_stderr() {
        true => Exit::Usage,
        false => Exit::Success,
    }
}

fn prefixed(text: &str) -> String {
    let lines: Vec<String> = text
        .lines()
        .map(|line| format!("fescuectl: {line}"))
        .collect();
    lines.join("\n")
}

/// A table without lines, with a head.
pub(super) fn table<const N: usize>(head: [&str; N]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(head);
    table
}

/// Renders a table without the blanks at the ends of its lines.
pub(super) fn render(table: &Table) -> String {
    let lines: Vec<String> = table.lines().map(|line| line.trim().to_owned()).collect();
    lines.join("\n")
}

/// Shows a time as RFC 3339 in UTC.
pub(super) fn show_time(at_unix_ms: u64) -> String {
    let at_ms = i64::try_from(at_unix_ms).unwrap_or(i64::MAX);
    match jiff::Timestamp::from_millisecond(at_ms) {
        Ok(time) => format!("{time:.3}"),
        Err(_) => format!("{at_unix_ms} ms"),
    }
}
