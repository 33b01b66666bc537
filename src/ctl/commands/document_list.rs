//! `fescuectl document list`

use super::document_history::history_table;
use crate::ctl::call::Controls;
use crate::ctl::fault::CtlError;
use crate::ctl::report::Report;
use crate::rpc::OperatorApiClient;

pub(super) async fn run(controls: &Controls) -> Result<Report, CtlError> {
    let entries = controls
        .call(async |client, key| client.documents(key).await)
        .await?;
    Report::success(history_table(&entries), &entries)
}
