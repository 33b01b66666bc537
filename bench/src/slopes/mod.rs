//! Slopes of cost over size, for the capacity page: runs small fleets of growing size, reads what
//! their processes spent, and fits a line through the points.
//!
//! Processor time and memory come from the kernel's view of each process, bytes and table calls
//! from the processes' own counters. Each result is one line, `name value unit`.

mod cell;
mod entry;
mod fit;
mod grow;
mod result;
mod usage;

#[cfg(test)]
mod tests;

pub(crate) use cell::{both_ways, read_page};
pub use result::Figure;
pub(crate) use usage::{Usage, read_usage};

use std::time::Duration;

use crate::deployment::Deployment;
use crate::fleet::FleetError;

/// How long each point is observed.
#[derive(Clone, Copy, Debug)]
pub struct SlopeOptions {
    /// Time that a fleet is left alone before it is observed.
    pub settle: Duration,
    /// Time over which it is observed.
    pub observe: Duration,
}

/// Measures every slope; `emit` gets each figure as soon as it is known.
///
/// # Errors
/// Fails if a fleet cannot be started or a process cannot be read.
pub async fn run<F>(
    deployment: &Deployment,
    options: SlopeOptions,
    mut emit: F,
) -> Result<(), FleetError>
where
    F: FnMut(&Figure),
{
    for axis in cell::Axis::ALL {
        for figure in cell::measure(deployment, axis, options).await? {
            emit(&figure);
        }
    }
    for figure in entry::measure(deployment, options).await? {
        emit(&figure);
    }
    Ok(())
}
