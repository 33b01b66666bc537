//! `fescuectl document accept`

use std::time::{Duration, Instant};

use serde_json::json;
use uuid::Uuid;

use super::document_diff::{change_lines, changes_between, render_changes};
use super::document_history::history_table;
use super::read_document;
use crate::ctl::call::{Controls, Patient};
use crate::ctl::cli::AcceptArgs;
use crate::ctl::fault::CtlError;
use crate::ctl::in_force::InForce;
use crate::ctl::report::{Report, render, table};
use crate::document::{Change, Document};
use crate::exit_codes::Exit;
use crate::ids::ServiceName;
use crate::rpc::OperatorApiClient;
use crate::wire::local::DocumentInForce;
use crate::wire::operator::{
    AcceptReply, AcceptRequest, DocumentReply, HistoryEntry, OperatorFault,
};

/// Pause between two looks at the instances.
const POLL_PAUSE: Duration = Duration::from_millis(100);

pub(super) async fn run(controls: &Controls, args: &AcceptArgs) -> Result<Report, CtlError> {
    let (text, document) = read_document(&args.file)?;
    let base = read_base(controls, &document.service, args.base).await?;
    let base_text = base.as_ref().map(|reply| reply.text.as_str());
    if args.base.is_none() && base_text == Some(text.as_str()) {
        let revision = base.map_or(0, |reply| reply.entry.revision);
        return unchanged(&document.service, revision);
    }
    let changes = base_text.and_then(|older| changes_between(older, &document));
    let request = AcceptRequest {
        service: document.service.clone(),
        base_revision: args
            .base
            .or_else(|| base.as_ref().map(|reply| reply.entry.revision))
            .unwrap_or(0),
        text,
        change_id: args.change_id.unwrap_or_else(Uuid::now_v7),
        note: args.note.clone(),
    };
    match send(controls, &request).await? {
        AcceptReply::Accepted { revision, repeated } => {
            let accepted = Accepted {
                request: &request,
                changes: changes.as_deref(),
                revision,
                repeated,
            };
            let in_force = match args.no_wait {
                true => None,
                false => Some(wait_in_force(controls, &request.service, revision).await),
            };
            accepted.report(in_force.as_ref())
        }
        AcceptReply::Conflict { current, changes } => {
            conflict(&request, base_text, &current, &changes)
        }
        AcceptReply::Faulty { faults } => Err(CtlError::RefusedDocument {
            path: args.file.clone(),
            faults,
        }),
    }
}

/// The document that the file was made from; `None` if there is none, or none to be seen.
async fn read_base(
    controls: &Controls,
    service: &ServiceName,
    revision: Option<u64>,
) -> Result<Option<DocumentReply>, CtlError> {
    if revision == Some(0) {
        return Ok(None);
    }
    let result = controls
        .call(async |client, key| client.document(key, service.clone(), revision).await)
        .await;
    match result {
        Ok(reply) => Ok(Some(reply)),
        // The first document of a service brings its own operators: whether the key may accept it
        // is decided when it is sent.
        Err(CtlError::Refused { fault, .. }) if may_be_first(&fault) => Ok(None),
        // With the base given, the text is only needed to show the changes.
        Err(CtlError::Unavailable { .. }) if revision.is_some() => Ok(None),
        Err(error) => Err(error),
    }
}

fn may_be_first(fault: &OperatorFault) -> bool {
    matches!(
        fault,
        OperatorFault::NotFound | OperatorFault::Unauthenticated | OperatorFault::NotAllowed
    )
}

/// Sends the change until its result is known. The change id makes a repeat safe.
async fn send(controls: &Controls, request: &AcceptRequest) -> Result<AcceptReply, CtlError> {
    let result = controls
        .call_patiently(async |client, key| client.accept(key, request.clone()).await)
        .await?;
    match result {
        Patient::Answered(reply) => Ok(reply),
        Patient::GaveUp {
            attempts,
            may_have_applied: true,
        } => Err(CtlError::Unsettled {
            change_id: request.change_id,
            base_revision: request.base_revision,
            attempts,
        }),
        Patient::GaveUp { attempts, .. } => Err(CtlError::Unavailable { attempts }),
    }
}

async fn wait_in_force(controls: &Controls, service: &ServiceName, revision: u64) -> InForce {
    let mut in_force = InForce::new(service.clone(), revision);
    let start = Instant::now();
    while start.elapsed() < controls.patience {
        let status = controls
            .call(async |client, key| client.status(key).await)
            .await;
        if let Ok(status) = status {
            let after_ms = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
            in_force.observe(&status, after_ms);
        }
        if in_force.everywhere() {
            break;
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
    in_force
}

struct Accepted<'a> {
    request: &'a AcceptRequest,
    /// `None` where the base could not be seen.
    changes: Option<&'a [Change]>,
    revision: u64,
    repeated: bool,
}

impl Accepted<'_> {
    fn report(&self, in_force: Option<&InForce>) -> Result<Report, CtlError> {
        let mut text = match self.request.base_revision {
            0 => format!("the first document of {}", self.request.service),
            _ => render_changes(self.changes),
        };
        let before = if self.repeated {
            ", as it was before"
        } else {
            ""
        };
        let Self {
            request, revision, ..
        } = self;
        text.push_str(&format!(
            "\naccepted {} revision {revision}, made from {}{before}",
            request.service, request.base_revision
        ));
        let mut json = json!({
            "result": "accepted",
            "service": request.service,
            "revision": revision,
            "base_revision": request.base_revision,
            "change_id": request.change_id,
            "repeated": self.repeated,
            "changes": self.changes.map(change_lines),
        });
        let mut exit = Exit::Success;
        if let Some(in_force) = in_force {
            text.push_str(&format!("\n{}", render_in_force(in_force)));
            json["in_force_after_ms"] = json!(in_force.after_ms);
            json["lagging"] = json!(in_force.lagging);
            json["suspected"] = json!(in_force.suspected);
            if !in_force.everywhere() {
                exit = Exit::NotInForce;
            }
        }
        Ok(Report { text, json, exit })
    }
}

fn render_in_force(in_force: &InForce) -> String {
    let mut table = table(["INSTANCE", "IN FORCE"]);
    for (instance, after_ms) in &in_force.after_ms {
        table.add_row([instance.to_string(), format!("within {after_ms} ms")]);
    }
    for instance in &in_force.lagging {
        table.add_row([instance.to_string(), "not yet".to_owned()]);
    }
    for instance in &in_force.suspected {
        let text = "not heard of lately; takes it when it comes back";
        table.add_row([instance.to_string(), text.to_owned()]);
    }
    render(&table)
}

fn unchanged(service: &ServiceName, revision: u64) -> Result<Report, CtlError> {
    let text = format!("{service} revision {revision} is this very text; nothing to accept");
    let json = json!({"result": "unchanged", "service": service, "revision": revision});
    Report::success(text, &json)
}

fn conflict(
    request: &AcceptRequest,
    base_text: Option<&str>,
    current: &DocumentInForce,
    changes: &[HistoryEntry],
) -> Result<Report, CtlError> {
    let since = meanwhile(base_text, &current.text);
    let text = format!(
        "conflict: {} is at revision {} now, not at {}; nothing was changed\n{}\n{}\n\
         take these changes into the file, then accept it with --base {}",
        request.service,
        current.revision,
        request.base_revision,
        history_table(changes),
        render_changes(since.as_deref()),
        current.revision,
    );
    let json = json!({
        "result": "conflict",
        "service": request.service,
        "base_revision": request.base_revision,
        "revision": current.revision,
        "accepted_meanwhile": changes,
        "changes_meanwhile": since.as_deref().map(change_lines),
    });
    Ok(Report {
        text,
        json,
        exit: Exit::Conflict,
    })
}

fn meanwhile(base_text: Option<&str>, current: &str) -> Option<Vec<Change>> {
    let current = Document::parse(current).ok()?;
    changes_between(base_text?, &current)
}
