//! A fleet that runs until it is interrupted, for trying things by hand.

use crate::deployment::Deployment;
use crate::fleet::{Fleet, FleetError};

/// How to run a fleet by hand.
#[derive(Clone, Copy, Debug)]
pub struct UpOptions {
    /// Whether no document is accepted at the start.
    pub bare: bool,
}

/// Starts a fleet, prints where it listens, and ends it at an interrupt.
///
/// # Errors
/// Fails if a process does not come up or the interrupt cannot be awaited.
pub async fn run(deployment: Deployment, options: UpOptions) -> Result<(), FleetError> {
    let mut fleet = Fleet::prepare(deployment)?;
    if options.bare {
        fleet.start_bare().await?;
    } else {
        fleet.start().await?;
    }
    for entry in &fleet.topology().entries {
        println!(
            "{}: entry http://{}, control {}",
            entry.name, entry.address, entry.control_address
        );
    }
    println!("interrupt to end it");
    actix_rt::signal::ctrl_c()
        .await
        .map_err(|source| FleetError::Interrupt { source })
}
