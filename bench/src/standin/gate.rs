//! What every call to a stand-in passes: the faults that all kinds have.

use std::future::pending;
use std::time::Duration;

use actix_web::body::MessageBody;
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::middleware::Next;
use actix_web::{Error, error, web};
use tokio::sync::watch;

use super::faults::Fault;

/// Start of the paths that tests use; they pass every fault.
const CONTROL_PATHS: &str = "/standin/";

/// The faults that all kinds have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct GateState {
    frozen: bool,
    silent: bool,
    outage: bool,
    extra_ms: u64,
}

/// Holds calls back, or refuses them, while a fault is on.
#[derive(Debug)]
pub(crate) struct Gate {
    state: watch::Sender<GateState>,
}

impl Gate {
    /// A gate without faults.
    pub(crate) fn new() -> Self {
        Self {
            state: watch::Sender::new(GateState::default()),
        }
    }

    /// Applies a fault; leaves faults of other kinds alone.
    pub(crate) fn apply(&self, fault: &Fault) {
        self.state.send_modify(|state| match fault {
            Fault::Clear => *state = GateState::default(),
            Fault::Freeze { .. } => state.frozen = true,
            Fault::Silent => state.silent = true,
            Fault::Slow { extra_ms } => state.extra_ms = *extra_ms,
            Fault::Outage => state.outage = true,
            _ => {}
        });
    }

    /// Ends a freeze.
    pub(crate) fn thaw(&self) {
        self.state.send_modify(|state| state.frozen = false);
    }

    /// Whether the stand-in is frozen.
    pub(crate) fn is_frozen(&self) -> bool {
        self.state.borrow().frozen
    }

    /// Waits while frozen, and for ever if silent.
    pub(crate) async fn pass(&self) {
        let mut changes = self.state.subscribe();
        loop {
            let state = *changes.borrow_and_update();
            if state.silent {
                pending::<()>().await;
            }
            if !state.frozen {
                return;
            }
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Waits while frozen; silence does not matter.
    pub(crate) async fn wait_thawed(&self) {
        let mut changes = self.state.subscribe();
        while changes.borrow_and_update().frozen {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn state(&self) -> GateState {
        *self.state.borrow()
    }
}

/// Middleware: calls outside `/standin/` pass the gate before they run and before they answer.
pub(crate) async fn pass_gate<B>(
    request: ServiceRequest,
    next: Next<B>,
) -> Result<ServiceResponse<B>, Error>
where
    B: MessageBody + 'static,
{
    let gate = request.app_data::<web::Data<Gate>>().cloned();
    let Some(gate) = gate.filter(|_| !request.path().starts_with(CONTROL_PATHS)) else {
        return next.call(request).await;
    };
    gate.pass().await;
    let state = gate.state();
    if state.outage {
        return Err(error::ErrorServiceUnavailable("outage"));
    }
    if state.extra_ms > 0 {
        actix_rt::time::sleep(Duration::from_millis(state.extra_ms)).await;
    }
    let response = next.call(request).await;
    gate.pass().await;
    response
}

/// Ends a freeze after its time.
pub(crate) fn thaw_later(gate: web::Data<Gate>, fault: &Fault) {
    if let Fault::Freeze {
        for_ms: Some(for_ms),
    } = *fault
    {
        actix_rt::spawn(async move {
            actix_rt::time::sleep(Duration::from_millis(for_ms)).await;
            gate.thaw();
        });
    }
}
