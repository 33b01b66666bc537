//! `fescuectl status`

use indexmap::IndexMap;

use crate::ctl::call::ControlClient;
use crate::ctl::cli::StatusArgs;
use crate::ctl::fault::CtlError;
use crate::ctl::report::{Report, render, table};
use crate::ids::ServiceName;
use crate::rpc::OperatorApiClient;
use crate::wire::local::EndpointRecord;
use crate::wire::operator::{InstanceState, InstanceStatus, LeaseStatus, StatusReply};
use crate::wire::platform::InstancePhase;

pub(super) async fn run(control: &ControlClient, args: &StatusArgs) -> Result<Report, CtlError> {
    let status = control
        .call(async |client, key| client.status(key).await)
        .await?;
    Report::success(render_status(&status, args.endpoints), &status)
}

pub(in crate::ctl) fn render_status(status: &StatusReply, list_endpoints: bool) -> String {
    let endpoints = match list_endpoints {
        true => endpoint_table(&status.endpoints),
        false => endpoint_counts(&status.endpoints),
    };
    let parts = [
        render_head(status),
        instance_table(&status.instances),
        endpoints,
        lease_table(&status.leases),
    ];
    let parts: Vec<String> = parts.into_iter().filter(|part| !part.is_empty()).collect();
    parts.join("\n\n")
}

fn render_head(status: &StatusReply) -> String {
    let list_age = match status.instance_list_age_ms {
        Some(age_ms) => format!("{age_ms} ms old"),
        None => "not read yet".to_owned(),
    };
    format!(
        "as seen by {}: documents {}, table service {}, instance list {list_age}",
        status.instance,
        if status.ready {
            "in force"
        } else {
            "not available yet"
        },
        if status.table_reachable {
            "reachable"
        } else {
            "unreachable"
        },
    )
}

fn instance_table(instances: &[InstanceStatus]) -> String {
    let mut table = table([
        "INSTANCE",
        "ZONE",
        "ADDRESS",
        "CONTROL",
        "STATE",
        "SILENT",
        "REVISIONS",
    ]);
    for instance in instances {
        table.add_row([
            instance.instance.to_string(),
            instance.zone.to_string(),
            instance.address.to_string(),
            instance.control_address.to_string(),
            state_name(instance.state).to_owned(),
            format_silence(instance.silent_ms),
            format_revisions(&instance.revisions),
        ]);
    }
    render(&table)
}

fn endpoint_counts(endpoints: &[EndpointRecord]) -> String {
    let mut counts: IndexMap<&ServiceName, [usize; 2]> = IndexMap::new();
    for endpoint in endpoints {
        let [live, leaving] = counts.entry(&endpoint.service).or_default();
        match endpoint.phase {
            InstancePhase::Live => *live += 1,
            InstancePhase::Leaving => *leaving += 1,
        }
    }
    if counts.is_empty() {
        return String::new();
    }
    let mut table = table(["SERVICE", "LIVE ENDPOINTS", "LEAVING"]);
    for (service, [live, leaving]) in counts {
        table.add_row([service.to_string(), live.to_string(), leaving.to_string()]);
    }
    render(&table)
}

fn endpoint_table(endpoints: &[EndpointRecord]) -> String {
    let mut table = table(["ENDPOINT", "SERVICE", "ZONE", "ADDRESS", "PHASE"]);
    for endpoint in endpoints {
        table.add_row([
            endpoint.endpoint.to_string(),
            endpoint.service.to_string(),
            endpoint.zone.to_string(),
            endpoint.address.to_string(),
            phase_name(endpoint.phase).to_owned(),
        ]);
    }
    render(&table)
}

fn lease_table(leases: &[LeaseStatus]) -> String {
    if leases.is_empty() {
        return String::new();
    }
    let mut table = table(["ORDERS FOR", "LEASE HELD BY", "FENCE"]);
    for lease in leases {
        table.add_row([
            lease.service.to_string(),
            lease.holder.to_string(),
            lease.fence.to_string(),
        ]);
    }
    render(&table)
}

fn format_silence(silent_ms: Option<u64>) -> String {
    match silent_ms {
        Some(silent_ms) => format!("{silent_ms} ms"),
        None => "never heard from".to_owned(),
    }
}

fn format_revisions(revisions: &IndexMap<ServiceName, u64>) -> String {
    let revisions = revisions.iter();
    let revisions: Vec<String> = revisions
        .map(|(service, revision)| format!("{service}={revision}"))
        .collect();
    revisions.join(" ")
}

pub(super) fn state_name(state: InstanceState) -> &'static str {
    match state {
        InstanceState::Serving => "serving",
        InstanceState::NotReady => "not ready",
        InstanceState::Stopping => "stopping",
        InstanceState::Suspected => "suspected",
    }
}

fn phase_name(phase: InstancePhase) -> &'static str {
    match phase {
        InstancePhase::Live => "live",
        InstancePhase::Leaving => "leaving",
    }
}
