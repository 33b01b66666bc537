//! What a process has spent, as the kernel counts it.

use std::path::PathBuf;

use crate::fleet::FleetError;

/// Length of the kernel's clock tick; fixed in its interface to user space.
const TICK_MS: f64 = 10.0;

/// Time and memory of one process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Usage {
    /// Processor time since the process began.
    pub(crate) cpu_ms: f64,
    /// Resident memory now.
    pub(crate) rss_mb: f64,
}

impl Usage {
    /// Share of one core spent since `earlier`.
    pub(crate) fn core_percent_since(self, earlier: Self, elapsed_s: f64) -> f64 {
        (self.cpu_ms - earlier.cpu_ms) / (elapsed_s * 1_000.0) * 100.0
    }
}

/// Reads what a process has spent.
///
/// # Errors
/// Fails if the process is gone.
pub(crate) fn read_usage(process_id: u32) -> Result<Usage, FleetError> {
    let stat = read_page(process_id, "stat")?;
    let status = read_page(process_id, "status")?;
    Ok(Usage {
        cpu_ms: parse_cpu_ticks(&stat).unwrap_or_default() as f64 * TICK_MS,
        rss_mb: parse_rss_kb(&status).unwrap_or_default() as f64 / 1_024.0,
    })
}

fn read_page(process_id: u32, name: &str) -> Result<String, FleetError> {
    let path = PathBuf::from(format!("/proc/{process_id}/{name}"));
    std::fs::read_to_string(&path).map_err(|source| FleetError::File { path, source })
}

/// User and system time from a `stat` page; the process's name may hold anything.
pub(super) fn parse_cpu_ticks(stat: &str) -> Option<u64> {
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(user + system)
}

/// Resident memory from a `status` page.
pub(super) fn parse_rss_kb(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Value of one counter on a metrics page; 0 if it is not there.
pub(crate) fn counter_of(page: &str, name: &str) -> u64 {
    page.lines()
        .filter_map(|line| line.split_once(' '))
        .find(|(found, _)| *found == name)
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or_default()
}
