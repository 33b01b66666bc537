//! What control costs an instance, over the size of its cell, while nobody asks.

use std::time::{Duration, Instant};

use fescueshore::rpc::OperatorApiClient;
use serde::Deserialize;

use super::fit::{Line, fit_line};
use super::grow::{add_accounts, extra_service, rename_service, with_engines, with_instances};
use super::usage::{Usage, counter_of, read_usage};
use super::{Figure, SlopeOptions};
use crate::deployment::Deployment;
use crate::fleet::{
    Fleet, FleetError, ProcessName, accept_text, connect_control, operator_key, repository_root,
};

/// Instances of the cells in which something else grows.
const FIXED_INSTANCES: usize = 3;

/// What grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Axis {
    /// Entry instances of the cell.
    Instances,
    /// Engines, as a multiple of the deployment's.
    Engines,
    /// Client accounts of the model's service.
    Accounts,
    /// Services, each with its document.
    Documents,
}

impl Axis {
    /// Every axis.
    pub(super) const ALL: [Self; 4] = [
        Self::Instances,
        Self::Engines,
        Self::Accounts,
        Self::Documents,
    ];

    /// Sizes to measure.
    fn sizes(self) -> &'static [usize] {
        match self {
            Self::Instances => &[3, 7, 11, 16],
            Self::Engines => &[1, 2, 4],
            Self::Accounts => &[0, 125, 250],
            Self::Documents => &[0, 6, 12],
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Instances => "instance",
            Self::Engines => "engine",
            Self::Accounts => "account",
            Self::Documents => "document",
        }
    }
}

/// What one instance's control spent, the mean over the cell, and what the cell asked of the table.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    core_percent: f64,
    rss_mb: f64,
    peer_bytes_per_s: f64,
    platform_bytes_per_s: f64,
    /// Peers and platform together, of the instance with the most.
    most_bytes_per_s: f64,
    table_reads_per_s: f64,
    table_writes_per_s: f64,
}

/// Name of a figure, its unit, and how it is read off a cost.
type Column = (&'static str, &'static str, fn(&Cost) -> f64);

const COLUMNS: [Column; 7] = [
    ("control_core", "percent", |c| c.core_percent),
    ("control_rss", "MB", |c| c.rss_mb),
    ("control_peer", "bytes/s", |c| c.peer_bytes_per_s),
    ("control_platform", "bytes/s", |c| c.platform_bytes_per_s),
    ("control_most_bytes", "bytes/s", |c| c.most_bytes_per_s),
    ("cell_table_reads", "reads/s", |c| c.table_reads_per_s),
    ("cell_table_writes", "writes/s", |c| c.table_writes_per_s),
];

/// The part of the table service's counters that is read here.
#[derive(Clone, Copy, Debug, Deserialize)]
struct TableCounters {
    reads: u64,
    writes: u64,
}

/// Measures one axis: the cost at each size, then base and slope of a line through them.
///
/// # Errors
/// Fails if a fleet cannot be started or a process cannot be read.
pub(super) async fn measure(
    deployment: &Deployment,
    axis: Axis,
    options: SlopeOptions,
) -> Result<Vec<Figure>, FleetError> {
    let mut points = Vec::new();
    for &size in axis.sizes() {
        points.push(measure_point(deployment, axis, size, options).await?);
    }
    Ok(COLUMNS
        .iter()
        .flat_map(|column| describe(axis, column, &points))
        .collect())
}

fn describe(axis: Axis, column: &Column, points: &[(usize, Cost)]) -> Vec<Figure> {
    let (name, unit, read) = *column;
    let axis = axis.name();
    let mut figures: Vec<Figure> = points
        .iter()
        .map(|(size, cost)| Figure::new(format!("{name}_at_{size}_{axis}s"), read(cost), unit))
        .collect();
    let line: Vec<(f64, f64)> = points
        .iter()
        .map(|(size, cost)| (*size as f64, read(cost)))
        .collect();
    let Line { base, slope } = fit_line(&line);
    figures.push(Figure::new(format!("{name}_base_{axis}s"), base, unit));
    figures.push(Figure::new(format!("{name}_per_{axis}"), slope, unit));
    figures
}

/// Runs one fleet; returns its size on the axis, counted, and its cost.
async fn measure_point(
    deployment: &Deployment,
    axis: Axis,
    size: usize,
    options: SlopeOptions,
) -> Result<(usize, Cost), FleetError> {
    let deployment = grow(deployment.clone(), axis, size);
    let fleet = Fleet::launch(deployment).await?;
    let counted = match axis {
        Axis::Instances => size,
        Axis::Engines => fleet.topology().engines.len(),
        Axis::Accounts => accept_accounts(&fleet, size).await?,
        Axis::Documents => accept_services(&fleet, size).await?,
    };
    actix_rt::time::sleep(options.settle).await;
    let cost = observe(&fleet, options.observe).await?;
    Ok((counted, cost))
}

fn grow(deployment: Deployment, axis: Axis, size: usize) -> Deployment {
    match axis {
        Axis::Instances => with_instances(deployment, size),
        Axis::Engines => with_engines(with_instances(deployment, FIXED_INSTANCES), size),
        Axis::Accounts | Axis::Documents => with_instances(deployment, FIXED_INSTANCES),
    }
}

/// Accepts the model's document with more accounts; returns how many it has in all.
async fn accept_accounts(fleet: &Fleet, extra: usize) -> Result<usize, FleetError> {
    let service = &fleet.deployment().model.service;
    let text = document_text(fleet, service)?;
    accept(fleet, service, 1, &add_accounts(&text, extra)).await?;
    Ok(fleet.deployment().load.accounts.len() + extra)
}

/// Accepts more services' documents; returns how many there are in all.
async fn accept_services(fleet: &Fleet, extra: usize) -> Result<usize, FleetError> {
    let like = &fleet.deployment().load.application;
    let text = document_text(fleet, like)?;
    for number in 0..extra {
        let service = extra_service(number);
        let text = rename_service(&text, like, &service);
        accept(fleet, &service, 0, &text).await?;
    }
    Ok(fleet.services().len() + extra)
}

fn document_text(
    fleet: &Fleet,
    service: &fescueshore::ids::ServiceName,
) -> Result<String, FleetError> {
    let path = repository_root().join(&fleet.deployment().documents[service]);
    std::fs::read_to_string(&path).map_err(|source| FleetError::File { path, source })
}

async fn accept(
    fleet: &Fleet,
    service: &fescueshore::ids::ServiceName,
    base_revision: u64,
    text: &str,
) -> Result<(), FleetError> {
    let control = fleet.topology().entries[0].control_address;
    let operator = &fleet.deployment().operator;
    let reply = accept_text(control, operator, service, base_revision, text).await;
    let cause = match reply {
        Ok(fescueshore::wire::operator::AcceptReply::Accepted { .. }) => return Ok(()),
        Ok(other) => format!("{other:?}"),
        Err(error) => error.to_string(),
    };
    Err(FleetError::NotAccepted {
        path: service.as_str().into(),
        cause,
    })
}

/// What one control had spent by then.
#[derive(Clone, Copy, Debug)]
struct ControlReading {
    usage: Usage,
    peer_bytes: u64,
    platform_bytes: u64,
}

/// What was counted at one moment.
struct Reading {
    at: Instant,
    /// One for each instance.
    controls: Vec<ControlReading>,
    table: TableCounters,
}

async fn observe(fleet: &Fleet, time: Duration) -> Result<Cost, FleetError> {
    let before = read(fleet).await?;
    actix_rt::time::sleep(time).await;
    let after = read(fleet).await?;
    let elapsed_s = after.at.duration_since(before.at).as_secs_f64();
    let pairs: Vec<_> = before.controls.iter().zip(&after.controls).collect();
    let rate = |earlier: u64, later: u64| later.saturating_sub(earlier) as f64 / elapsed_s;
    let peer = |a: &ControlReading, b: &ControlReading| rate(a.peer_bytes, b.peer_bytes);
    let platform =
        |a: &ControlReading, b: &ControlReading| rate(a.platform_bytes, b.platform_bytes);
    let both = pairs.iter().map(|(a, b)| peer(a, b) + platform(a, b));
    Ok(Cost {
        core_percent: mean(&pairs, |a, b| {
            b.usage.core_percent_since(a.usage, elapsed_s)
        }),
        rss_mb: mean(&pairs, |_, b| b.usage.rss_mb),
        peer_bytes_per_s: mean(&pairs, peer),
        platform_bytes_per_s: mean(&pairs, platform),
        most_bytes_per_s: both.fold(0.0, f64::max),
        table_reads_per_s: rate(before.table.reads, after.table.reads),
        table_writes_per_s: rate(before.table.writes, after.table.writes),
    })
}

/// Mean of a figure over the instances, each read twice.
fn mean<F>(pairs: &[(&ControlReading, &ControlReading)], figure: F) -> f64
where
    F: Fn(&ControlReading, &ControlReading) -> f64,
{
    pairs.iter().map(|(a, b)| figure(a, b)).sum::<f64>() / pairs.len() as f64
}

async fn read(fleet: &Fleet) -> Result<Reading, FleetError> {
    let mut reading = Reading {
        at: Instant::now(),
        controls: Vec::new(),
        table: fleet
            .standins()
            .get(fleet.topology().platform.table, "/standin/counters")
            .await?,
    };
    let key = operator_key(&fleet.deployment().operator);
    for entry in &fleet.topology().entries {
        let name = ProcessName::Control(entry.name.clone());
        let process = fleet.processes().find(|(found, _)| **found == name);
        let (_, process) = process.ok_or_else(|| FleetError::NoSuchProcess {
            name: name.to_string(),
        })?;
        let usage = read_usage(process.id())?;
        let page = read_page(entry.control_address, &key).await?;
        reading.controls.push(ControlReading {
            usage,
            peer_bytes: both_ways(&page, "peer"),
            platform_bytes: both_ways(&page, "platform"),
        });
    }
    Ok(reading)
}

/// Bytes sent to one side and received from it, from a control's page of counters.
pub(crate) fn both_ways(page: &str, side: &str) -> u64 {
    counter_of(page, &format!("fescue_control_bytes_sent_{side}"))
        + counter_of(page, &format!("fescue_control_bytes_received_{side}"))
}

/// A control's page of counters.
///
/// # Errors
/// Fails if it does not answer.
pub(crate) async fn read_page(
    control: std::net::SocketAddr,
    key: &str,
) -> Result<String, FleetError> {
    let unanswered = |_| FleetError::Standin {
        address: control,
        path: "operator_metrics".to_owned(),
    };
    let client = connect_control(control).await.map_err(unanswered)?;
    client.metrics(key.to_owned()).await.map_err(unanswered)
}
