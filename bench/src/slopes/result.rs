//! A measured figure.

use std::fmt;

/// A figure with its name and unit.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    /// Name; letters, digits and underscores.
    pub name: String,
    /// Value.
    pub value: f64,
    /// Unit.
    pub unit: &'static str,
}

impl Figure {
    /// A figure.
    pub fn new<N>(name: N, value: f64, unit: &'static str) -> Self
    where
        N: Into<String>,
    {
        Self {
            name: name.into(),
            value,
            unit,
        }
    }
}

impl fmt::Display for Figure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {:.4} {}", self.name, self.value, self.unit)
    }
}
