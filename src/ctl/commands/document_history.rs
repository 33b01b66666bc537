//! `fescuectl document history`

use crate::ctl::call::ControlClient;
use crate::ctl::fault::CtlError;
use crate::ctl::report::{Report, format_time, render, table};
use crate::ids::ServiceName;
use crate::rpc::OperatorApiClient;
use crate::wire::operator::HistoryEntry;

/// Number of digest characters shown in tables.
const DIGEST_CHARS: usize = 12;

pub(super) async fn run(
    control: &ControlClient,
    service: &str,
    limit: u32,
) -> Result<Report, CtlError> {
    let service = ServiceName::from(service);
    let entries = control
        .call(async |client, key| client.history(key, service.clone(), limit).await)
        .await?;
    Report::success(history_table(&entries), &entries)
}

pub(super) fn history_table(entries: &[HistoryEntry]) -> String {
    let mut table = table([
        "SERVICE", "REVISION", "BASE", "ACCEPTED", "BY", "DIGEST", "NOTE",
    ]);
    for entry in entries {
        table.add_row([
            entry.service.to_string(),
            entry.revision.to_string(),
            entry.base_revision.to_string(),
            format_time(entry.at_unix_ms),
            entry.operator.clone(),
            entry.digest.chars().take(DIGEST_CHARS).collect(),
            entry.note.clone().unwrap_or_default(),
        ]);
    }
    render(&table)
}
