//! Encoding of engine loads in heartbeats. Ids of engines make up most of a load's bytes, and ids of engines
//! that started together differ in a few characters. Each is therefore encoded as its difference from the one
//! before it in the same heartbeat, so that no datagram depends on another, which may be lost.

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use thiserror::Error;

use crate::fleet::EngineLoad;
use crate::ids::EndpointId;

type Load = (EndpointId, EngineLoad);

/// Separates an engine's name from the start time of its process in the id.
const START_SEPARATOR: char = '@';

/// A load whose id is encoded as the difference from the previous one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct WireLoad {
    /// Bytes at the beginning of the name that are the same as in the previous one. One byte bounds what a
    /// datagram grows to when it is decoded.
    shared_bytes: u8,
    /// The rest of the name.
    rest: String,
    /// The number after the separator, as difference from the previous one; `None` if there is none, and the name is
    /// the whole id.
    start_difference: Option<i64>,
    load: EngineLoad,
}

/// Why loads could not be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
enum LoadError {
    #[error("engine id shares more with the previous one than that has")]
    SharedPart,
    #[error("start time of an engine is out of range")]
    Start,
}

/// The id that the next one is compared with.
#[derive(Clone, Debug, Default)]
struct Previous {
    name: String,
    start: u64,
}

/// Splits an id into its name and start, if putting them together again gives the same id.
fn split(id: &str) -> (&str, Option<u64>) {
    let parts = id.rsplit_once(START_SEPARATOR);
    let parts = parts.and_then(|(name, start)| Some((name, start, start.parse::<u64>().ok()?)));
    match parts {
        // A start of this size has no overflow in its difference from another.
        Some((name, text, start)) if start.to_string() == text && i64::try_from(start).is_ok() => {
            (name, Some(start))
        }
        _ => (id, None),
    }
}

/// Length of the common beginning of two texts, which ends between characters.
fn shared_bytes(previous: &str, next: &str) -> usize {
    let pairs = previous.char_indices().zip(next.chars());
    let mut different = pairs.filter(|((_, a), b)| a != b);
    let shorter = previous.len().min(next.len());
    different.next().map_or(shorter, |((index, _), _)| index)
}

fn encode(loads: &[Load]) -> Vec<WireLoad> {
    let mut previous = Previous::default();
    let encoded = loads.iter().map(|(id, load)| {
        let (name, start) = split(id.as_str());
        let shared = u8::try_from(shared_bytes(&previous.name, name)).unwrap_or(0);
        let difference = start.map(|it| it.wrapping_sub(previous.start).cast_signed());
        let wire = WireLoad {
            shared_bytes: shared,
            rest: name
                .get(usize::from(shared)..)
                .unwrap_or_default()
                .to_owned(),
            start_difference: difference,
            load: *load,
        };
        previous.name = name.to_owned();
        previous.start = start.unwrap_or(previous.start);
        wire
    });
    encoded.collect()
}

fn decode(wire: Vec<WireLoad>) -> Result<Vec<Load>, LoadError> {
    let mut previous = Previous::default();
    let decoded = wire.into_iter().map(|wire| {
        let shared = previous.name.get(..usize::from(wire.shared_bytes));
        let shared = shared.ok_or(LoadError::SharedPart)?;
        previous.name = format!("{shared}{}", wire.rest);
        let id = match wire.start_difference {
            Some(difference) => {
                let start = previous.start.checked_add_signed(difference);
                previous.start = start.ok_or(LoadError::Start)?;
                format!("{}{START_SEPARATOR}{}", previous.name, previous.start)
            }
            None => previous.name.clone(),
        };
        Ok((EndpointId::from(id), wire.load))
    });
    decoded.collect()
}

/// Encodes loads compactly, unless for people to read.
pub(super) fn serialize<S>(loads: &[Load], serializer: S) -> Result<S::Ok, S::Error>
where
    S: Serializer,
{
    if serializer.is_human_readable() {
        return loads.serialize(serializer);
    }
    encode(loads).serialize(serializer)
}

/// Decodes loads; fails for a difference that applies to no id.
pub(super) fn deserialize<'de, D>(deserializer: D) -> Result<Vec<Load>, D::Error>
where
    D: Deserializer<'de>,
{
    if deserializer.is_human_readable() {
        return Vec::deserialize(deserializer);
    }
    decode(Vec::deserialize(deserializer)?).map_err(D::Error::custom)
}
