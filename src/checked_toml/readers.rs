//! Readers of single values. Each returns what is wrong in place of a value it cannot take.

use std::net::SocketAddr;

use actix_web::http::Uri;
use toml::de::DeValue;

use super::fault::FaultKind;
use crate::document::KeyDigest;
use crate::keys::Secret;

const MAX_NAME_CHARS: usize = 64;
const SECRET_CHARS: std::ops::RangeInclusive<usize> = 16..=512;
const DIGEST_PREFIX: &str = "sha256:";

/// Reads any string.
pub(crate) fn text(value: &DeValue<'_>) -> Result<String, FaultKind> {
    Ok(str_of(value)?.to_owned())
}

/// Reads `true` or `false`.
pub(crate) fn flag(value: &DeValue<'_>) -> Result<bool, FaultKind> {
    value
        .as_bool()
        .ok_or_else(|| wrong_type("`true` or `false`", value))
}

/// Reads a finite number, whole or not.
pub(crate) fn number(value: &DeValue<'_>) -> Result<f64, FaultKind> {
    let digits = match value {
        DeValue::Integer(integer) if integer.radix() == 10 => integer.as_str(),
        DeValue::Float(float) => float.as_str(),
        _ => return Err(wrong_type("a number", value)),
    };
    let number: Option<f64> = digits.replace('_', "").parse().ok();
    number
        .filter(|number| number.is_finite())
        .ok_or(FaultKind::OutOfRange {
            range: "a finite number",
        })
}

/// Reads a whole number, not below 0.
pub(crate) fn whole_number(value: &DeValue<'_>) -> Result<u64, FaultKind> {
    let integer = value
        .as_integer()
        .ok_or_else(|| wrong_type("a whole number", value))?;
    let digits = integer.as_str().replace('_', "");
    let digits = digits.strip_prefix('+').unwrap_or(&digits);
    u64::from_str_radix(digits, integer.radix()).map_err(|_| FaultKind::OutOfRange {
        range: "a whole number from 0 to 18446744073709551615",
    })
}

/// Reads one of a few words.
pub(crate) fn one_of<T>(value: &DeValue<'_>, words: &[(&'static str, T)]) -> Result<T, FaultKind>
where
    T: Clone,
{
    let found = str_of(value)?;
    let chosen = words.iter().find(|(word, _)| *word == found);
    match chosen {
        Some((_, meaning)) => Ok(meaning.clone()),
        None => Err(FaultKind::NotOneOf {
            found: shortened(found),
            allowed: words.iter().map(|(word, _)| *word).collect(),
        }),
    }
}

/// Reads a name.
pub(crate) fn name(value: &DeValue<'_>) -> Result<String, FaultKind> {
    let found = str_of(value)?;
    check_name(found)?;
    Ok(found.to_owned())
}

/// Checks a name that stands as a key.
pub(super) fn check_name(found: &str) -> Result<(), FaultKind> {
    let first_fits = found.starts_with(|c: char| c.is_ascii_alphanumeric());
    let rest_fits = found
        .chars()
        .all(|c| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-'));
    if first_fits && rest_fits && found.len() <= MAX_NAME_CHARS {
        return Ok(());
    }
    Err(FaultKind::BadName {
        found: shortened(found),
    })
}

/// Reads an IP address with a port.
pub(crate) fn address(value: &DeValue<'_>) -> Result<SocketAddr, FaultKind> {
    str_of(value)?.parse().map_err(|_| FaultKind::BadAddress)
}

/// Reads `http://HOST:PORT` and drops a slash at its end.
pub(crate) fn base_url(value: &DeValue<'_>) -> Result<String, FaultKind> {
    let found = str_of(value)?;
    let uri: Uri = found.parse().map_err(|_| FaultKind::BadUrl)?;
    let is_http = uri.scheme_str() == Some("http");
    let is_bare = uri.path() == "/" && uri.query().is_none();
    let authority = uri.authority().filter(|part| !part.as_str().contains('@'));
    match authority {
        Some(authority) if is_http && is_bare => Ok(format!("http://{authority}")),
        _ => Err(FaultKind::BadUrl),
    }
}

/// Reads a secret. What is wrong with one never shows it.
pub(crate) fn secret(value: &DeValue<'_>) -> Result<Secret, FaultKind> {
    let found = str_of(value)?;
    let is_header_safe = found.chars().all(|c| c.is_ascii_graphic());
    if is_header_safe && SECRET_CHARS.contains(&found.len()) {
        return Ok(Secret::from(found));
    }
    Err(FaultKind::BadSecretLength)
}

/// Reads `sha256:` and 64 hex digits.
pub(crate) fn key_digest(value: &DeValue<'_>) -> Result<KeyDigest, FaultKind> {
    let digits = str_of(value)?
        .strip_prefix(DIGEST_PREFIX)
        .ok_or(FaultKind::BadDigest)?;
    let mut bytes = [0; 32];
    hex::decode_to_slice(digits, &mut bytes).map_err(|_| FaultKind::BadDigest)?;
    Ok(KeyDigest(bytes))
}

fn str_of<'v>(value: &'v DeValue<'_>) -> Result<&'v str, FaultKind> {
    value.as_str().ok_or_else(|| wrong_type("a string", value))
}

pub(super) fn wrong_type(expected: &'static str, value: &DeValue<'_>) -> FaultKind {
    FaultKind::WrongType {
        expected,
        found: value.type_str(),
    }
}

fn shortened(found: &str) -> String {
    found.chars().take(MAX_NAME_CHARS).collect()
}
