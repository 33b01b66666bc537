//! What the control processes take: processor time, memory and bytes.

use std::time::Instant;

use fescueshore::ids::InstanceId;
use indexmap::IndexMap;

use super::MeasureError;
use super::figures::{Figure, Figures};
use crate::fleet::{Fleet, ProcessName, operator_key};
use crate::slopes::{Usage, both_ways, read_page, read_usage};

/// A look at every control process.
pub struct ControlWatch {
    at: Instant,
    looks: IndexMap<InstanceId, Look>,
}

#[derive(Clone, Copy, Debug)]
struct Look {
    usage: Usage,
    /// Sent to other instances and the platform, and received.
    bytes: u64,
}

/// What the control process of each instance took between two looks.
#[derive(Clone, Debug, Default)]
pub struct ControlSpent {
    /// Part of a core, out of 100.
    pub core_percent: Vec<f64>,
    /// Resident memory at the end.
    pub rss_mb: Vec<f64>,
    /// Bytes a second, both ways.
    pub bytes_per_s: Vec<f64>,
}

impl ControlWatch {
    /// The first look.
    ///
    /// # Errors
    /// Fails if a control process cannot be read.
    pub async fn begin(fleet: &mut Fleet) -> Result<Self, MeasureError> {
        let at = Instant::now();
        let looks = look_at_all(fleet).await?;
        Ok(Self { at, looks })
    }

    /// The second look.
    ///
    /// # Errors
    /// Fails if a control process cannot be read.
    pub async fn end(self, fleet: &mut Fleet) -> Result<ControlSpent, MeasureError> {
        let took_s = self.at.elapsed().as_secs_f64();
        let now = look_at_all(fleet).await?;
        let mut spent = ControlSpent::default();
        for (instance, before) in &self.looks {
            let Some(after) = now.get(instance) else {
                continue;
            };
            let core_percent = after.usage.core_percent_since(before.usage, took_s);
            spent.core_percent.push(core_percent);
            spent.rss_mb.push(after.usage.rss_mb);
            let bytes = after.bytes.saturating_sub(before.bytes);
            spent.bytes_per_s.push(bytes as f64 / took_s);
        }
        Ok(spent)
    }
}

impl ControlSpent {
    /// Adds the instance that took most as one repeat.
    pub fn note(&self, figures: &mut Figures) {
        let parts = [
            (Figure::ControlCorePercent, &self.core_percent),
            (Figure::ControlRssMb, &self.rss_mb),
            (Figure::ControlBytesPerS, &self.bytes_per_s),
        ];
        for (figure, values) in parts {
            if let Some(most) = values.iter().copied().max_by(f64::total_cmp) {
                figures.push(figure, most);
            }
        }
    }
}

async fn look_at_all(fleet: &mut Fleet) -> Result<IndexMap<InstanceId, Look>, MeasureError> {
    let entries = fleet.topology().entries.clone();
    let key = operator_key(&fleet.deployment().operator);
    let mut looks = IndexMap::new();
    for entry in &entries {
        let name = ProcessName::Control(entry.name.clone());
        let usage = read_usage(fleet.process(&name)?.id())?;
        let page = read_page(entry.control_address, &key).await?;
        let bytes = both_ways(&page, "peer") + both_ways(&page, "platform");
        looks.insert(entry.name.clone(), Look { usage, bytes });
    }
    Ok(looks)
}
