//! Checked settings.

use std::net::SocketAddr;

use log::LevelFilter;

use crate::ids::{InstanceId, ZoneName};
use crate::keys::Secret;

/// Settings of one instance, after every check has passed. Both of its processes read the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Who the instance is.
    pub instance: InstanceSettings,
    /// The entry process.
    pub entry: EntrySettings,
    /// The control process.
    pub control: ControlSettings,
    /// The platform's services.
    pub platform: PlatformSettings,
    /// The system's own processes.
    pub peers: PeerSettings,
    /// Log lines.
    pub log: LogSettings,
    /// A planned stop.
    pub stop: StopSettings,
}

/// Who the instance is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceSettings {
    /// Name; the one that the platform's instance list has.
    pub name: InstanceId,
    /// Availability zone.
    pub zone: ZoneName,
}

/// The entry process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// Where it takes requests, and other entries' questions.
    pub listen: SocketAddr,
    /// What `locate` answers. A single address, never a wildcard.
    pub advertise: SocketAddr,
    /// Largest body of a request; greater than 0.
    pub max_body_bytes: usize,
}

/// The control process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// Where its own entry, its peers and operators connect.
    pub listen: SocketAddr,
    /// What peers are told. A single address, never a wildcard.
    pub advertise: SocketAddr,
}

/// The platform's services. Each is `http://HOST:PORT`, without a path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Table service.
    pub table_url: String,
    /// Object store.
    pub objects_url: String,
    /// Instance list.
    pub instances_url: String,
}

/// The system's own processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// What they show one another; the same in the whole fleet.
    pub key: Secret,
}

/// Log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Form of a line.
    pub format: LogFormat,
    /// Least important level written.
    pub level: LevelFilter,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            format: LogFormat::Text,
            level: LevelFilter::Info,
        }
    }
}

/// Form of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum LogFormat {
    /// `time level target message key=value ...`
    Text,
    /// One JSON object.
    Json,
}

/// A planned stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StopSettings {
    /// How long to wait for what is in flight before it is cut off; `None` waits for ever.
    pub limit_ms: Option<u64>,
}
