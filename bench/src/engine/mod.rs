//! Stand-in of the model engines.

use crate::standin::{FleetArgs, StandinError};
use crate::topology::Topology;

/// Runs the selected engines until the process is ended.
pub(crate) async fn run(topology: Topology, args: &FleetArgs) -> Result<(), StandinError> {
    let _ = (topology, args);
    Err(StandinError::NothingSelected)
}
