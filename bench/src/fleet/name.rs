//! Names of a fleet's processes.

use std::fmt;

use fescueshore::ids::{EndpointId, InstanceId};

/// A process of a fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ProcessName {
    /// Stand-in of the table service.
    Table,
    /// Stand-in of the object store.
    Objects,
    /// Stand-in of the instance list.
    Instances,
    /// Stand-in of the weight store.
    Weights,
    /// Stand-ins of every engine without a process of its own.
    Engines,
    /// Stand-in of one engine.
    Engine(EndpointId),
    /// Stand-in of one replica of an application service.
    Application(EndpointId),
    /// Control process of an instance.
    Control(InstanceId),
    /// Entry process of an instance.
    Entry(InstanceId),
}

impl fmt::Display for ProcessName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Table => f.write_str("table"),
            Self::Objects => f.write_str("objects"),
            Self::Instances => f.write_str("instances"),
            Self::Weights => f.write_str("weights"),
            Self::Engines => f.write_str("engines"),
            Self::Engine(name) => write!(f, "engine-{name}"),
            Self::Application(name) => write!(f, "application-{name}"),
            Self::Control(name) => write!(f, "control-{name}"),
            Self::Entry(name) => write!(f, "entry-{name}"),
        }
    }
}
