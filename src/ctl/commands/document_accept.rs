//! `fescuectl document accept`

use std::time::{Duration, Instant};

use serde_json::json;
use uuid::Uuid;

use super::document_diff::{change_lines, changes_between, render_changes};
use super::document_history::history_table;
use super::read_document;
use crate::ctl::call::{ControlClient, RetryOutcome};
use crate::ctl::cli::AcceptArgs;
use crate::ctl::fault::CtlError;
use crate::ctl::report::{Report, render, table};
use crate::ctl::rollout::RolloutStatus;
use crate::document::{Change, Document};
use crate::exit_codes::Exit;
use crate::ids::ServiceName;
use crate::rpc::OperatorApiClient;
use crate::wire::local::DocumentInForce;
use crate::wire::operator::{
    AcceptReply, AcceptRequest, DocumentReply, HistoryEntry, OperatorFault,
};

/// Interval between status calls while waiting for the revision to be in force.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

pub(super) async fn run(control: &ControlClient, args: &AcceptArgs) -> Result<Report, CtlError> {
    let (text, document) = read_document(&args.file)?;
    let base = read_base(control, &document.service, args.base).await?;
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
    match send(control, &request).await? {
        AcceptReply::Accepted { revision, repeated } => {
            let accepted = Accepted {
                request: &request,
                changes: changes.as_deref(),
                revision,
                repeated,
            };
            let rollout = match args.no_wait {
                true => None,
                false => Some(wait_for_rollout(control, &request.service, revision).await),
            };
            accepted.report(rollout.as_ref())
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

/// Reads the document that the file is based on. Returns `None` if there is none or it cannot be
/// read with this key.
async fn read_base(
    control: &ControlClient,
    service: &ServiceName,
    revision: Option<u64>,
) -> Result<Option<DocumentReply>, CtlError> {
    if revision == Some(0) {
        return Ok(None);
    }
    let result = control
        .call(async |client, key| client.document(key, service.clone(), revision).await)
        .await;
    match result {
        Ok(reply) => Ok(Some(reply)),
        // The first document of a service defines the service's operators, so the key is only
        // checked when the document is sent.
        Err(CtlError::Refused { fault, .. }) if may_be_first(&fault) => Ok(None),
        // If the base revision was given, its text is only needed to display the changes.
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

/// Sends the change, retrying until its result is known. The change ID makes retries safe.
async fn send(control: &ControlClient, request: &AcceptRequest) -> Result<AcceptReply, CtlError> {
    let result = control
        .call_with_retry(async |client, key| client.accept(key, request.clone()).await)
        .await?;
    match result {
        RetryOutcome::Replied(reply) => Ok(reply),
        RetryOutcome::TimedOut {
            attempts,
            may_have_applied: true,
        } => Err(CtlError::Unsettled {
            change_id: request.change_id,
            base_revision: request.base_revision,
            attempts,
        }),
        RetryOutcome::TimedOut { attempts, .. } => Err(CtlError::Unavailable { attempts }),
    }
}

async fn wait_for_rollout(
    control: &ControlClient,
    service: &ServiceName,
    revision: u64,
) -> RolloutStatus {
    let mut rollout = RolloutStatus::new(service.clone(), revision);
    let start = Instant::now();
    while start.elapsed() < control.retry_timeout {
        let status = control
            .call(async |client, key| client.status(key).await)
            .await;
        if let Ok(status) = status {
            let after_ms = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
            rollout.observe(&status, after_ms);
        }
        if rollout.is_complete() {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    rollout
}

struct Accepted<'a> {
    request: &'a AcceptRequest,
    /// `None` if the base document could not be read.
    changes: Option<&'a [Change]>,
    revision: u64,
    repeated: bool,
}

impl Accepted<'_> {
    fn report(&self, rollout: Option<&RolloutStatus>) -> Result<Report, CtlError> {
        let mut text = match self.request.base_revision {
            0 => format!("first document of {}", self.request.service),
            _ => render_changes(self.changes),
        };
        let suffix = if self.repeated {
            " (already accepted by an earlier attempt)"
        } else {
            ""
        };
        let Self {
            request, revision, ..
        } = self;
        text.push_str(&format!(
            "\naccepted {} revision {revision}, based on revision {}{suffix}",
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
        if let Some(rollout) = rollout {
            text.push_str(&format!("\n{}", render_rollout(rollout)));
            json["in_force_after_ms"] = json!(rollout.after_ms);
            json["lagging"] = json!(rollout.lagging);
            json["suspected"] = json!(rollout.suspected);
            if !rollout.is_complete() {
                exit = Exit::NotInForce;
            }
        }
        Ok(Report { text, json, exit })
    }
}

fn render_rollout(rollout: &RolloutStatus) -> String {
    let mut table = table(["INSTANCE", "IN FORCE"]);
    for (instance, after_ms) in &rollout.after_ms {
        table.add_row([instance.to_string(), format!("within {after_ms} ms")]);
    }
    for instance in &rollout.lagging {
        table.add_row([instance.to_string(), "not yet".to_owned()]);
    }
    for instance in &rollout.suspected {
        let text = "not heard from recently; will apply it when it is back";
        table.add_row([instance.to_string(), text.to_owned()]);
    }
    render(&table)
}

fn unchanged(service: &ServiceName, revision: u64) -> Result<Report, CtlError> {
    let text = format!("{service} revision {revision} already has this text; nothing to accept");
    let json = json!({"result": "unchanged", "service": service, "revision": revision});
    Report::success(text, &json)
}

fn conflict(
    request: &AcceptRequest,
    base_text: Option<&str>,
    current: &DocumentInForce,
    changes: &[HistoryEntry],
) -> Result<Report, CtlError> {
    let since = changes_since_base(base_text, &current.text);
    let text = format!(
        "conflict: {} is at revision {}, not {}; nothing was changed\n{}\n{}\n\
         merge these changes into the file, then accept it with --base {}",
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

fn changes_since_base(base_text: Option<&str>, current: &str) -> Option<Vec<Change>> {
    let current = Document::parse(current).ok()?;
    changes_between(base_text?, &current)
}
