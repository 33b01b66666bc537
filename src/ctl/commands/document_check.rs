//! `fescuectl document check`

use std::path::Path;

use serde_json::json;

use super::read_document;
use crate::ctl::fault::CtlError;
use crate::ctl::report::Report;
use crate::document::digest;

pub(super) fn run(file: &Path) -> Result<Report, CtlError> {
    let (text, document) = read_document(file)?;
    let summary = format!(
        "{}: no faults; service {}, {} accounts, {} operators",
        file.display(),
        document.service,
        document.accounts.len(),
        document.operators.len(),
    );
    let json = json!({
        "service": document.service,
        "accounts": document.accounts.len(),
        "operators": document.operators.len(),
        "digest": digest(&text).to_string(),
    });
    Report::success(summary, &json)
}
