//! `fescuectl audit`

use serde_json::json;

use super::status::state_name;
use crate::ctl::call::ControlClient;
use crate::ctl::cli::AuditArgs;
use crate::ctl::fault::CtlError;
use crate::ctl::report::{Report, format_time, render, table};
use crate::rpc::OperatorApiClient;
use crate::wire::operator::{AuditActor, AuditEntry, AuditEvent, AuditPage, LeavingSource};

/// Page size for finding the newest entries.
const PAGE_ENTRIES: u32 = 500;

pub(super) async fn run(control: &ControlClient, args: &AuditArgs) -> Result<Report, CtlError> {
    let page = match &args.after {
        Some(cursor) => read_page(control, Some(cursor.clone()), args.limit).await?,
        None => read_newest(control, args.last).await?,
    };
    let mut text = render_entries(&page.entries);
    if let Some(next) = &page.next {
        text.push_str(&format!("\nfor more entries, use --after {next}"));
    }
    Report::success(text, &json!({"entries": page.entries, "next": page.next}))
}

async fn read_newest(control: &ControlClient, wanted: usize) -> Result<AuditPage, CtlError> {
    let mut newest: Vec<AuditEntry> = Vec::new();
    let mut cursor = None;
    loop {
        let page = read_page(control, cursor, PAGE_ENTRIES).await?;
        newest.extend(page.entries);
        let surplus = newest.len().saturating_sub(wanted);
        newest.drain(..surplus);
        cursor = page.next;
        if cursor.is_none() {
            return Ok(AuditPage {
                entries: newest,
                next: None,
            });
        }
    }
}

async fn read_page(
    control: &ControlClient,
    after: Option<String>,
    limit: u32,
) -> Result<AuditPage, CtlError> {
    control
        .call(async |client, key| client.audit(key, after.clone(), limit).await)
        .await
}

pub(in crate::ctl) fn render_entries(entries: &[AuditEntry]) -> String {
    let mut table = table(["AT", "INSTANCE", "BY", "WHAT"]);
    for entry in entries {
        table.add_row([
            format_time(entry.at_unix_ms),
            entry.instance.to_string(),
            actor_name(&entry.actor).to_owned(),
            describe(&entry.event),
        ]);
    }
    render(&table)
}

fn actor_name(actor: &AuditActor) -> &str {
    match actor {
        AuditActor::Operator { name } => name,
        AuditActor::System => "system",
    }
}

fn describe(event: &AuditEvent) -> String {
    match event {
        AuditEvent::DocumentAccepted { change } => format!(
            "document {} revision {} accepted, based on revision {}",
            change.service, change.revision, change.base_revision
        ),
        AuditEvent::InstanceJoined { instance } => format!("instance {instance} joined"),
        AuditEvent::InstanceLost { instance, state } => {
            format!("instance {instance} {}", state_name(*state))
        }
        AuditEvent::EndpointLeaving { endpoint, source } => {
            format!(
                "endpoint {endpoint} is leaving, reported by {}",
                source_name(*source)
            )
        }
        AuditEvent::LeaseTaken { service, fence } => {
            format!("lease for orders to {service} acquired, fence {fence}")
        }
        AuditEvent::OrderSent {
            endpoint,
            fence,
            version,
            adapters,
            ..
        } => format!(
            "engine {endpoint} ordered to load version {version}, adapters [{}], fence {fence}",
            adapters.join(", ")
        ),
        AuditEvent::OrderRefused {
            endpoint, fence, ..
        } => format!("engine {endpoint} refused an order, fence {fence}"),
        AuditEvent::Refusals { counts } => format!("refused: {}", pairs(counts.iter())),
        AuditEvent::SharesChanged {
            service,
            tokens_per_s,
        } => {
            let shares = tokens_per_s
                .iter()
                .map(|(account, share)| (account, format!("{share:.1}")));
            format!(
                "shares of {service} in tokens per second: {}",
                pairs(shares)
            )
        }
        AuditEvent::Gap {
            dropped,
            from_unix_ms,
            to_unix_ms,
        } => format!(
            "{dropped} audit entries lost between {} and {}",
            format_time(*from_unix_ms),
            format_time(*to_unix_ms)
        ),
        AuditEvent::Other => "event from a later release".to_owned(),
    }
}

fn pairs<I, K, V>(entries: I) -> String
where
    I: Iterator<Item = (K, V)>,
    K: std::fmt::Display,
    V: std::fmt::Display,
{
    let pairs: Vec<String> = entries
        .map(|(key, value)| format!("{key}={value}"))
        .collect();
    pairs.join(" ")
}

fn source_name(source: LeavingSource) -> &'static str {
    match source {
        LeavingSource::InstanceList => "the instance list",
        LeavingSource::Document => "the document",
        LeavingSource::Endpoint => "the endpoint",
        LeavingSource::Peer => "another instance",
    }
}
