//! Revisions in force, as every instance reports them, and operators who race.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fescueshore::ids::ServiceName;
use fescueshore::rpc::OperatorApiClient;
use fescueshore::wire::operator::{AcceptReply, HistoryEntry};
use futures_util::future::join_all;
use indexmap::IndexMap;

use crate::fleet::{Fleet, accept_text, connect_control, operator_key};

/// Time between two looks at an instance.
const LOOK_EVERY: Duration = Duration::from_millis(400);
/// How long one look may take.
const LOOK_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a racing operator waits.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(8);

/// Revisions seen so far.
#[derive(Debug, Default)]
pub(super) struct Revisions {
    /// Highest by instance and service.
    highest: IndexMap<(usize, ServiceName), u64>,
    reverts: u64,
    double_accepts: u64,
}

pub(super) type SharedRevisions = Rc<RefCell<Revisions>>;

impl Revisions {
    fn note(&mut self, instance: usize, entry: &HistoryEntry) {
        let id = (instance, entry.service.clone());
        let highest = self.highest.entry(id).or_default();
        if entry.revision < *highest {
            self.reverts += 1;
            eprintln!(
                "fescue-load: instance {instance} went from revision {highest} of {} to {}",
                entry.service, entry.revision
            );
        }
        *highest = entry.revision.max(*highest);
    }

    /// Highest revision of a service seen anywhere.
    pub(super) fn newest(&self, service: &ServiceName) -> u64 {
        let of_service = self.highest.iter().filter(|((_, name), _)| name == service);
        of_service.map(|(_, revision)| *revision).max().unwrap_or(0)
    }

    pub(super) fn reverts(&self) -> u64 {
        self.reverts
    }

    pub(super) fn double_accepts(&self) -> u64 {
        self.double_accepts
    }
}

/// Looks at every instance for ever.
pub(super) async fn watch(controls: Vec<SocketAddr>, operator: String, seen: SharedRevisions) {
    let watching = controls.into_iter().enumerate().map(|(index, control)| {
        let (operator, seen) = (operator.clone(), seen.clone());
        async move {
            loop {
                let look = look(control, &operator);
                if let Ok(Some(held)) = actix_rt::time::timeout(LOOK_TIMEOUT, look).await {
                    let mut seen = seen.borrow_mut();
                    held.iter().for_each(|entry| seen.note(index, entry));
                }
                actix_rt::time::sleep(LOOK_EVERY).await;
            }
        }
    });
    let _: Vec<()> = join_all(watching).await;
}

async fn look(control: SocketAddr, operator: &str) -> Option<Vec<HistoryEntry>> {
    let client = connect_control(control).await.ok()?;
    client.documents(operator_key(operator)).await.ok()
}

/// Two operators accept different texts on the same base at two instances.
pub(super) async fn race(
    controls: [SocketAddr; 2],
    operator: String,
    service: ServiceName,
    text: String,
    seen: SharedRevisions,
) {
    let base = seen.borrow().newest(&service);
    let accepting = controls.iter().enumerate().map(|(number, control)| {
        let text = format!("# change {number} on revision {base}\n{text}");
        let (operator, service) = (&operator, &service);
        async move {
            let accepting = accept_text(*control, operator, service, base, &text);
            let reply = actix_rt::time::timeout(ACCEPT_TIMEOUT, accepting).await;
            matches!(reply, Ok(Ok(AcceptReply::Accepted { .. })))
        }
    });
    let accepted = join_all(accepting)
        .await
        .into_iter()
        .filter(|won| *won)
        .count();
    if accepted > 1 {
        seen.borrow_mut().double_accepts += 1;
    }
}

/// A service's document as the deployment's file has it.
pub(super) fn original_text(fleet: &Fleet, service: &ServiceName) -> String {
    let path = fleet.deployment().documents.get(service);
    let path = path.map(|path| crate::fleet::repository_root().join(path));
    let text = path.and_then(|path| std::fs::read_to_string(path).ok());
    text.unwrap_or_default()
}
