//! `fescuectl document show`

use crate::ctl::call::ControlClient;
use crate::ctl::fault::CtlError;
use crate::ctl::report::Report;
use crate::ids::ServiceName;
use crate::rpc::OperatorApiClient;

pub(super) async fn run(
    control: &ControlClient,
    service: &str,
    revision: Option<u64>,
) -> Result<Report, CtlError> {
    let service = ServiceName::from(service);
    let reply = control
        .call(async |client, key| client.document(key, service.clone(), revision).await)
        .await?;
    Report::success(reply.text.clone(), &reply)
}
