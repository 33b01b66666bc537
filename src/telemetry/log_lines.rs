//! Structured logging to standard error, one record per line, for state changes only.

use std::io::{self, Write};

use env_logger::Builder;
use env_logger::fmt::Formatter;
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde_json::{Map, json};
use thiserror::Error;

use crate::settings::{LogFormat, LogSettings};

/// Error while initialising the logger.
#[derive(Debug, Error)]
pub enum TelemetryError {
    /// A logger is already installed.
    #[error("the logger is already initialised in this process")]
    StartedTwice(#[from] log::SetLoggerError),
}

/// Initialises the logger of the process. Library records below `warn` are filtered out.
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
        // The server library logs deliberately aborted responses as errors; the relay logs these
        // itself.
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
    let _ = record.key_values().visit(&mut TextVisitor(&mut line));
    writeln!(f, "{line}")
}

fn write_json(f: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
    let mut pairs = JsonVisitor(Map::new());
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

struct TextVisitor<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for TextVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = value.to_string();
        let plain = !value.is_empty() && !value.contains(needs_quoting);
        let shown = if plain { value } else { format!("{value:?}") };
        self.0.push_str(&format!(" {key}={shown}"));
        Ok(())
    }
}

fn needs_quoting(c: char) -> bool {
    c.is_whitespace() || c.is_control() || c == '"' || c == '='
}

struct JsonVisitor(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for JsonVisitor {
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
