//! `fescuectl document list`

use super::document_history::history_table;
use crate::ctl::call::ControlClient;
use crate::ctl::fault::CtlError;
use crate::ctl::report::Report;
use crate::rpc::OperatorApiClient;

pub(super) async fn run(control: &ControlClient) -> Result<Report, CtlError> {
    let entries = control
        .call(async |client, key| client.documents(key).await)
        .await?;
    Report::success(history_table(&entries), &entries)
}
