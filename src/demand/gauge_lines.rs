//! Reads gauges of demand from a page in the Prometheus text format.

use indexmap::IndexMap;

use super::gauges::{DemandGauge, NAME_PREFIX};
use crate::ids::{ServiceName, ZoneName};

/// The gauges of demand on a metrics page. Lines about anything else are skipped.
pub(crate) fn parse_gauges(page: &str) -> Vec<DemandGauge> {
    page.lines().filter_map(parse_gauge).collect()
}

fn parse_gauge(line: &str) -> Option<DemandGauge> {
    let (name, rest) = line.strip_prefix(NAME_PREFIX)?.split_once('{')?;
    let (labels, value) = parse_labels(rest)?;
    let priority = match labels.get("priority") {
        Some(priority) => Some(priority.parse().ok()?),
        None => None,
    };
    Some(DemandGauge {
        name: name.to_owned(),
        service: ServiceName::from(labels.get("service")?.as_str()),
        zone: ZoneName::from(labels.get("zone")?.as_str()),
        priority,
        value: value.trim().parse().ok()?,
    })
}

/// Parses labels up to the closing brace. Returns them with the rest of the line.
fn parse_labels(text: &str) -> Option<(IndexMap<&str, String>, &str)> {
    let mut labels = IndexMap::new();
    let mut rest = text;
    loop {
        rest = rest.strip_prefix(',').unwrap_or(rest);
        if let Some(value) = rest.strip_prefix('}') {
            return Some((labels, value));
        }
        let (name, quoted) = rest.split_once("=\"")?;
        let (value, after) = parse_quoted(quoted)?;
        labels.insert(name, value);
        rest = after;
    }
}

/// Parses the value of a label up to its closing quote.
fn parse_quoted(text: &str) -> Option<(String, &str)> {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => return Some((value, &text[at + 1..])),
            '\\' => match chars.next()?.1 {
                'n' => value.push('\n'),
                escaped => value.push(escaped),
            },
            _ => value.push(c),
        }
    }
    None
}
