//! Log lines on standard error: one a line, structured, for changes of state only.

use std::io::{self, Write};

use env_logger::Builder;
use env_logger::fmt::Formatter;
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde_json::{Map, json};
use thiserror::Error;

use crate::settings::{LogFormat, LogSettings};

/// Why log lines cannot be written.
#[derive(Debug, Error)]
pub enum TelemetryError {
    /// A logger was set before.
    #[error("the log was started twice in one process")]
    StartedTwice(#[from] log::SetLoggerError),
}

/// Starts the process's log. Lines of libraries below `warn` are left out.
pub fn init_log(settings: &LogSettings) -> Result<(), TelemetryError> {
    line_logger(settings).try_init()?;
    Ok(())
}

pub(super) fn line_logger(settings: &LogSettings) -> Builder {
    let libraries = settings.level.min(LevelFilter::Warn);
    let mut builder = Builder::new();
    builder
        .filter_level(libraries)
        .filter_module("fescue", settings.level)
        // An answer that is broken off on purpose is an error to the server library; the relay has
        // its own line for it.
        .filter_module("actix_http::h1::dispatcher", LevelFilter::Off)
        .format(match settings.format {
            LogFormat::Text => write_text,
            LogFormat::Json => write_json,
        });
    builder
}

fn write_text(f: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
    let at = f.timestamp_millis();
    let level = record.level();
    let mut line = format!("{at} {level} {} {}", record.target(), record.args());
    let _ = record.key_values().visit(&mut TextPairs(&mut line));
    writeln!(f, "{line}")
}

fn write_json(f: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
    let mut pairs = JsonPairs(Map::new());
    let _ = record.key_values().visit(&mut pairs);
    let line = json!({
        "at": f.timestamp_millis().to_string(),
        "level": record.level().as_str(),
        "target": record.target(),
        "message": record.args().to_string(),
        "values": pairs.0,
    });
    writeln!(f, "{line}")
}

struct TextPairs<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for TextPairs<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = value.to_string();
        let plain = !value.is_empty() && !value.contains(char_to_quote);
        let shown = if plain { value } else { format!("{value:?}") };
        self.0.push_str(&format!(" {key}={shown}"));
        Ok(())
    }
}

fn char_to_quote(c: char) -> bool {
    c.is_whitespace() || c.is_control() || c == '"' || c == '='
}

struct JsonPairs(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for JsonPairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => json!(number),
            (None, Some(flag)) => json!(flag),
            (None, None) => match value.to_string() {
                text if text == "None" => serde_json::Value::Null,
                text => json!(text),
            },
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
