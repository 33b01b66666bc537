//! Settings files of the instances.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Serialize;
use tempfile::NamedTempFile;

use super::FleetError;
use crate::topology::{EntryNode, PlatformNodes};

/// Key shared by the fleet's own processes.
const PEERS_KEY: &str = "bench-key-of-the-own-processes";

#[derive(Serialize)]
struct Settings<'a> {
    instance: Instance<'a>,
    entry: Listener,
    control: Control,
    platform: Platform,
    peers: Peers,
    stop: Stop,
}

#[derive(Serialize)]
struct Instance<'a> {
    name: &'a str,
    zone: &'a str,
}

#[derive(Serialize)]
struct Listener {
    listen: SocketAddr,
}

#[derive(Serialize)]
struct Control {
    listen: SocketAddr,
    advertise: SocketAddr,
}

#[derive(Serialize)]
struct Platform {
    table: String,
    objects: String,
    instances: String,
}

#[derive(Serialize)]
struct Stop {
    limit_s: u64,
}

#[derive(Serialize)]
struct Peers {
    key: &'static str,
}

/// What an instance is set to.
pub(super) struct Placed<'a> {
    /// Its names and addresses.
    pub(super) entry: &'a EntryNode,
    /// Where its control listens.
    pub(super) control_listen: SocketAddr,
    /// Where it finds the platform.
    pub(super) platform: &'a PlatformNodes,
    /// Longest planned stop; 0 for no limit.
    pub(super) stop_limit_s: u64,
}

/// Writes the settings file of one instance and returns its path.
///
/// # Errors
/// Fails if the file cannot be written.
pub(super) fn write_settings(placed: &Placed<'_>, dir: &Path) -> Result<PathBuf, FleetError> {
    let (entry, platform) = (placed.entry, placed.platform);
    let settings = Settings {
        instance: Instance {
            name: entry.name.as_str(),
            zone: entry.zone.as_str(),
        },
        entry: Listener {
            listen: entry.address,
        },
        control: Control {
            listen: placed.control_listen,
            advertise: entry.control_address,
        },
        platform: Platform {
            table: format!("http://{}", platform.table),
            objects: format!("http://{}", platform.objects),
            instances: format!("http://{}", platform.instances),
        },
        peers: Peers { key: PEERS_KEY },
        stop: Stop {
            limit_s: placed.stop_limit_s,
        },
    };
    let path = dir.join(format!("{}.toml", entry.name));
    let text = toml::to_string(&settings)?;
    replace_file(dir, &path, &text).map_err(|source| FleetError::File {
        path: path.clone(),
        source,
    })?;
    Ok(path)
}

/// Puts a whole file in place at once: a process that has just started may be reading the old one.
fn replace_file(dir: &Path, path: &Path, text: &str) -> io::Result<()> {
    let mut file = NamedTempFile::new_in(dir)?;
    file.write_all(text.as_bytes())?;
    file.persist(path)?;
    Ok(())
}
