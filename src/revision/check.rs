//! Checks of a proposed document that need more than its own text.

use crate::document::{Document, DocumentFaults, ServiceKind};
use crate::wire::operator::{AcceptRequest, DocumentFaultLine};

use super::held::Documents;

/// Parses a proposed document and holds it against the documents in force.
pub(crate) fn check_text(
    request: &AcceptRequest,
    documents: &Documents,
) -> Result<Document, Vec<DocumentFaultLine>> {
    let document = Document::parse(&request.text).map_err(fault_lines)?;
    let mut faults = Vec::new();
    if document.service != request.service {
        faults.push(without_line(format!(
            "the document is for service `{}`, the request for `{}`; use one name",
            document.service, request.service
        )));
    }
    faults.extend(taken_model_names(&document, documents));
    if faults.is_empty() {
        Ok(document)
    } else {
        Err(faults)
    }
}

fn taken_model_names(document: &Document, documents: &Documents) -> Vec<DocumentFaultLine> {
    let ServiceKind::Model(models) = &document.kind else {
        return Vec::new();
    };
    let others = documents
        .iter()
        .filter(|(service, _)| **service != document.service);
    let mut faults = Vec::new();
    for (service, held) in others {
        let ServiceKind::Model(taken) = &held.document.kind else {
            continue;
        };
        for name in models.keys().filter(|name| taken.contains_key(*name)) {
            faults.push(without_line(format!(
                "model `{name}` is offered by service `{service}`; choose another name"
            )));
        }
    }
    faults
}

fn without_line(message: String) -> DocumentFaultLine {
    DocumentFaultLine {
        line: None,
        message,
    }
}

fn fault_lines(faults: DocumentFaults) -> Vec<DocumentFaultLine> {
    faults
        .faults
        .iter()
        .map(|fault| DocumentFaultLine {
            line: u32::try_from(fault.line).ok(),
            message: fault.to_string(),
        })
        .collect()
}
