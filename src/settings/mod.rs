//! Settings of an instance: one TOML file, read by both of its processes and checked whole.

mod model;
mod parse;
mod read;
#[cfg(test)]
mod tests;

pub use model::{
    ControlSettings, EntrySettings, InstanceSettings, LogFormat, LogSettings, PeerSettings,
    PlatformSettings, Settings, StopSettings,
};
pub use parse::parse;
pub use read::{SettingsError, read};

pub use crate::keys::Secret;
