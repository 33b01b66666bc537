use uuid::Uuid;

use super::stub::instance_status;
use crate::ctl::commands::{render_entries, render_explanation, render_status};
use crate::ids::{EndpointId, InstanceId, ServiceName, ZoneName};
use crate::wire::local::EndpointRecord;
use crate::wire::operator::{
    AuditActor, AuditEntry, AuditEvent, ExplainLine, ExplainReply, InstanceState, LeaseStatus,
    LeavingSource, StatusReply,
};
use crate::wire::platform::{InstancePhase, InstanceRole};

const AT_UNIX_MS: u64 = 1_796_233_800_250;

fn endpoint(name: &str, phase: InstancePhase) -> EndpointRecord {
    EndpointRecord {
        endpoint: EndpointId::from(name),
        role: InstanceRole::Engine,
        service: ServiceName::from("menu-mind"),
        zone: ZoneName::from("Marsa"),
        address: "127.0.0.1:7301".parse().unwrap(),
        phase,
    }
}

fn status() -> StatusReply {
    StatusReply {
        instance: InstanceId::from("entry-lac-1"),
        incarnation: serde_json::from_value(Uuid::nil().to_string().into()).unwrap(),
        ready: true,
        table_reachable: false,
        instance_list_age_ms: Some(900),
        instances: vec![
            instance_status("entry-lac-1", InstanceState::Serving, "menu-mind", 4),
            instance_status("entry-lac-2", InstanceState::Suspected, "menu-mind", 4),
        ],
        endpoints: vec![
            endpoint("engine-1", InstancePhase::Live),
            endpoint("engine-2", InstancePhase::Leaving),
        ],
        leases: vec![LeaseStatus {
            service: ServiceName::from("menu-mind"),
            holder: InstanceId::from("entry-lac-2"),
            fence: 17,
        }],
    }
}

#[test]
fn status_fits_one_screen() {
    insta::assert_snapshot!(render_status(&status(), false));
}

#[test]
fn status_lists_endpoints_if_asked() {
    insta::assert_snapshot!(render_status(&status(), true));
}

#[test]
fn audit_entries_are_sentences() {
    let entry = |actor, event| AuditEntry {
        at_unix_ms: AT_UNIX_MS,
        instance: InstanceId::from("entry-lac-1"),
        actor,
        event,
    };
    let entries = [
        entry(
            AuditActor::System,
            AuditEvent::EndpointLeaving {
                endpoint: EndpointId::from("engine-2"),
                source: LeavingSource::InstanceList,
            },
        ),
        entry(
            AuditActor::System,
            AuditEvent::Refusals {
                counts: [("overloaded".to_owned(), 12)].into_iter().collect(),
            },
        ),
        entry(
            AuditActor::Operator {
                name: "amira".to_owned(),
            },
            AuditEvent::Other,
        ),
    ];
    insta::assert_snapshot!(render_entries(&entries));
}

#[test]
fn an_explanation_names_unreachable_instances() {
    let reply = ExplainReply {
        lines: vec![ExplainLine {
            at_unix_ms: AT_UNIX_MS,
            instance: InstanceId::from("entry-lac-1"),
            text: "sent to engine-1, engine-4".to_owned(),
            decision: None,
        }],
        unreachable: vec![InstanceId::from("entry-lac-2")],
    };
    insta::assert_snapshot!(render_explanation(&reply));
}
