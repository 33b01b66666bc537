//! Repeats that instances of one availability zone pass on to one another.

use serde::{Deserialize, Serialize};

use crate::ids::ServiceName;

/// Repeats for a service: asked for, or granted by another instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RepeatAmount {
    /// The service whose requests are repeated.
    pub service: ServiceName,
    /// Thousandths of a repeat: an even share of a small budget is less than one.
    pub milli_repeats: u32,
}
