//! `fescuectl demand`: shows the demand for streams as a relaying instance knows it.

use std::net::SocketAddr;

use crate::clients::{HttpCall, HttpPeer};
use crate::ctl::demand_rows::{DemandRow, demand_rows};
use crate::ctl::fault::{CtlError, MetricsFailure};
use crate::ctl::report::{Report, render, table};
use crate::demand::parse_gauges;

const METRICS_PATH: &str = "/metrics";
/// Maximum size of a metrics page. Pages have some hundred lines.
const MAX_PAGE_BYTES: usize = 16 << 20;

pub(super) async fn run(address: SocketAddr, timeout_s: u64) -> Result<Report, CtlError> {
    let page = read_page(address, timeout_s).await;
    let page = page.map_err(|cause| CtlError::NoMetrics { address, cause })?;
    let rows = demand_rows(&parse_gauges(&page));
    let text = match rows.is_empty() {
        true => "demand is unknown: no streams were seen lately".to_owned(),
        false => render_rows(&rows),
    };
    Report::success(text, &rows)
}

async fn read_page(address: SocketAddr, timeout_s: u64) -> Result<String, MetricsFailure> {
    let instance = HttpPeer::new(&format!("http://{address}"));
    let timeout_ms = timeout_s.saturating_mul(1_000);
    let call = HttpCall::get(METRICS_PATH);
    let reply = instance.call(call, timeout_ms, MAX_PAGE_BYTES).await?;
    match reply.status {
        200 => Ok(String::from_utf8_lossy(&reply.body).into_owned()),
        status => Err(MetricsFailure::Status(status)),
    }
}

fn render_rows(rows: &[DemandRow]) -> String {
    let mut table = table([
        "SERVICE",
        "ZONE",
        "PRIORITY",
        "STREAMS /s",
        "UNSERVED /s",
        "PROMPT TOKENS /s",
        "PEAK /s",
        "AGE ms",
        "INSTANCES",
    ]);
    for row in rows {
        let priority = row.priority.map(|it| it.to_string());
        table.add_row([
            row.service.to_string(),
            row.zone.to_string(),
            priority.unwrap_or_else(|| "all".to_owned()),
            format!("{:.1}", row.streams_per_s),
            format!("{:.1}", row.unserved_per_s),
            format!("{:.0}", row.prompt_tokens_per_s),
            row.peak_streams_per_s
                .map_or_else(String::new, |it| format!("{it:.1}")),
            row.age_ms.map_or_else(String::new, |it| it.to_string()),
            row.instances.map_or_else(String::new, |it| it.to_string()),
        ]);
    }
    render(&table)
}
