//! Checks the text of a settings file.

use std::net::SocketAddr;

use log::LevelFilter;

use super::model::{
    ControlSettings, EntrySettings, InstanceSettings, LogFormat, LogSettings, PeerSettings,
    PlatformSettings, Settings, StopSettings,
};
use crate::checked_toml::{
    FaultKind, Faults, Section, address, base_url, check, name, one_of, secret, whole_number,
};
use crate::ids::{InstanceId, ZoneName};

/// Largest settings file.
const MAX_SETTINGS_BYTES: usize = 64 * 1024;
/// Body limit unless the file says otherwise.
const DEFAULT_MAX_BODY_BYTES: usize = 1024 * 1024;
/// Largest body limit that can be set.
const MAX_BODY_LIMIT_BYTES: u64 = 64 * 1024 * 1024;
/// Longest limit of a planned stop: one day.
const MAX_STOP_LIMIT_S: u64 = 86_400;

const LOG_FORMATS: [(&str, LogFormat); 2] = [("text", LogFormat::Text), ("json", LogFormat::Json)];
const LOG_LEVELS: [(&str, LevelFilter); 6] = [
    ("off", LevelFilter::Off),
    ("error", LevelFilter::Error),
    ("warn", LevelFilter::Warn),
    ("info", LevelFilter::Info),
    ("debug", LevelFilter::Debug),
    ("trace", LevelFilter::Trace),
];

/// Checks the text of a settings file; reports every fault in it.
pub fn parse(text: &str) -> Result<Settings, Faults> {
    check(text, MAX_SETTINGS_BYTES, |_, root| read_root(root))
}

// Every section is read before any absence ends the reading, so that no fault hides another.
fn read_root(root: &mut Section<'_, '_>) -> Option<Settings> {
    let instance = required(root, "instance", read_instance);
    let entry = required(root, "entry", read_entry);
    let control = required(root, "control", read_control);
    let platform = required(root, "platform", read_platform);
    let peers = required(root, "peers", read_peers);
    let log = root.section("log").map(read_log);
    let stop = root.section("stop").map(read_stop);
    Some(Settings {
        instance: instance?,
        entry: entry?,
        control: control?,
        platform: platform?,
        peers: peers?,
        log: log.unwrap_or_default(),
        stop: stop.unwrap_or_default(),
    })
}

fn required<T, F>(root: &mut Section<'_, '_>, key: &'static str, read: F) -> Option<T>
where
    F: FnOnce(&mut Section<'_, '_>) -> Option<T>,
{
    let mut section = root.required_section(key)?;
    let value = read(&mut section);
    section.finish();
    value
}

fn read_instance(section: &mut Section<'_, '_>) -> Option<InstanceSettings> {
    let instance = section.required("name", name);
    let zone = section.required("zone", name);
    Some(InstanceSettings {
        name: InstanceId::from(instance?.value),
        zone: ZoneName::from(zone?.value),
    })
}

fn read_entry(section: &mut Section<'_, '_>) -> Option<EntrySettings> {
    let listen = section.required("listen", address);
    let advertise = section.optional("advertise", address).map(|it| it.value);
    let max_body = section.optional("max_body_bytes", |value| {
        in_range(
            whole_number(value)?,
            1,
            MAX_BODY_LIMIT_BYTES,
            "1 to 67108864",
        )
    });
    let listen = listen?.value;
    let advertise = advertised(section, advertise, listen);
    let max_body_bytes = max_body.and_then(|limit| usize::try_from(limit.value).ok());
    Some(EntrySettings {
        listen,
        advertise,
        max_body_bytes: max_body_bytes.unwrap_or(DEFAULT_MAX_BODY_BYTES),
    })
}

fn read_control(section: &mut Section<'_, '_>) -> Option<ControlSettings> {
    let listen = section.required("listen", address);
    let advertise = section.optional("advertise", address).map(|it| it.value);
    let listen = listen?.value;
    Some(ControlSettings {
        listen,
        advertise: advertised(section, advertise, listen),
    })
}

/// What others are told: the address set for it, else the one listened on. A wildcard is a fault.
fn advertised(
    section: &mut Section<'_, '_>,
    advertise: Option<SocketAddr>,
    listen: SocketAddr,
) -> SocketAddr {
    let advertise = advertise.unwrap_or(listen);
    if advertise.ip().is_unspecified() || (advertise.port() == 0 && listen.port() != 0) {
        section.fault_at("advertise", FaultKind::WildcardAddress);
    }
    advertise
}

fn read_platform(section: &mut Section<'_, '_>) -> Option<PlatformSettings> {
    let table = section.required("table", base_url);
    let objects = section.required("objects", base_url);
    let instances = section.required("instances", base_url);
    Some(PlatformSettings {
        table_url: table?.value,
        objects_url: objects?.value,
        instances_url: instances?.value,
    })
}

fn read_peers(section: &mut Section<'_, '_>) -> Option<PeerSettings> {
    let key = section.required("key", secret)?.value;
    Some(PeerSettings { key })
}

fn read_log(mut section: Section<'_, '_>) -> LogSettings {
    let default = LogSettings::default();
    let format = section.optional("format", |value| one_of(value, &LOG_FORMATS));
    let level = section.optional("level", |value| one_of(value, &LOG_LEVELS));
    section.finish();
    LogSettings {
        format: format.map_or(default.format, |format| format.value),
        level: level.map_or(default.level, |level| level.value),
    }
}

fn read_stop(mut section: Section<'_, '_>) -> StopSettings {
    let limit_s = section.optional("limit_s", |value| {
        in_range(whole_number(value)?, 0, MAX_STOP_LIMIT_S, "0 to 86400")
    });
    section.finish();
    let limit_s = limit_s.map_or(0, |limit_s| limit_s.value);
    StopSettings {
        limit_ms: (limit_s > 0).then_some(limit_s * 1_000),
    }
}

fn in_range(value: u64, min: u64, max: u64, range: &'static str) -> Result<u64, FaultKind> {
    match value {
        value if (min..=max).contains(&value) => Ok(value),
        _ => Err(FaultKind::OutOfRange { range }),
    }
}
