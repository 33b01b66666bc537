//! Demand for streams by service, availability zone and priority: what callers send, whether or not it could
//! be served. Each instance measures its own part, and instances exchange reports in heartbeats.

mod book;
mod gauge_lines;
mod gauges;
#[cfg(test)]
mod gauges_tests;
mod meter;
mod peak;
mod report;
#[cfg(test)]
mod tests;
mod zone_demand;

pub(crate) use book::{DemandBook, ReportSource};
pub(crate) use gauge_lines::parse_gauges;
pub(crate) use gauges::{DemandGauge, render_gauges};
pub(crate) use meter::DemandMeter;
pub(crate) use report::{DemandReport, ZoneSum};
pub(crate) use zone_demand::ZoneDemand;
