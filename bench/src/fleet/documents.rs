//! Accepts documents the way an operator's tool does.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use fescueshore::ids::ServiceName;
use fescueshore::rpc::OperatorApiClient;
use fescueshore::wire::operator::{AcceptReply, AcceptRequest};
use jsonrpsee::core::client::Error as RpcError;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use uuid::Uuid;

use super::FleetError;
use super::wait::wait_until;

/// How long one call to a control may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// How long an instance may take to be able to accept its first document.
const ACCEPT_LIMIT: Duration = Duration::from_secs(15);

/// Key of a demo operator.
pub fn operator_key(operator: &str) -> String {
    format!("demo-operator-{operator}")
}

/// Connects to a control process.
///
/// # Errors
/// Fails if it does not answer.
pub async fn connect_control(control: SocketAddr) -> Result<WsClient, RpcError> {
    WsClientBuilder::default()
        .connection_timeout(CALL_TIMEOUT)
        .request_timeout(CALL_TIMEOUT)
        .build(format!("ws://{control}"))
        .await
}

/// Asks a control process to accept a document.
///
/// # Errors
/// Fails if the call does, which says nothing of whether the document was accepted.
pub async fn accept_text(
    control: SocketAddr,
    operator: &str,
    service: &ServiceName,
    base_revision: u64,
    text: &str,
) -> Result<AcceptReply, RpcError> {
    let request = AcceptRequest {
        service: service.clone(),
        base_revision,
        text: text.to_owned(),
        change_id: Uuid::now_v7(),
        note: None,
    };
    accept_request(control, operator, request).await
}

/// Sends one request to accept a document; a repeat under the same change id has the same result.
///
/// # Errors
/// Fails if the call does, which says nothing of whether the document was accepted.
pub async fn accept_request(
    control: SocketAddr,
    operator: &str,
    request: AcceptRequest,
) -> Result<AcceptReply, RpcError> {
    let client = connect_control(control).await?;
    client.accept(operator_key(operator), request).await
}

/// Accepts a service's first document from a file of the repository.
///
/// # Errors
/// Fails unless it is accepted.
pub(super) async fn accept_file(
    control: SocketAddr,
    operator: &str,
    service: &ServiceName,
    path: &Path,
) -> Result<(), FleetError> {
    let path = repository_root().join(path);
    let text = std::fs::read_to_string(&path).map_err(|source| FleetError::File {
        path: path.clone(),
        source,
    })?;
    let request = AcceptRequest {
        service: service.clone(),
        base_revision: 0,
        text,
        change_id: Uuid::now_v7(),
        note: None,
    };
    let mut cause = String::new();
    // An instance that has not reached the store yet refuses; the change id makes repeats safe.
    let accepted = wait_until(ACCEPT_LIMIT, async || {
        match accept_request(control, operator, request.clone()).await {
            Ok(AcceptReply::Accepted { .. }) => true,
            Ok(other) => {
                cause = format!("{other:?}");
                false
            }
            Err(error) => {
                cause = error.to_string();
                false
            }
        }
    })
    .await;
    if accepted {
        Ok(())
    } else {
        Err(FleetError::NotAccepted { path, cause })
    }
}

/// The repository that this tool was built from.
pub fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}
