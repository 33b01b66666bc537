//! Faults as JSON-RPC error objects.

use jsonrpsee::types::ErrorObjectOwned;

use crate::wire::operator::OperatorFault;

/// Code of every error object that carries an [`OperatorFault`].
const FAULT_CODE: i32 = -32_000;

/// Wraps a fault into an error object.
pub fn into_error_object(fault: &OperatorFault) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(FAULT_CODE, fault.to_string(), Some(fault))
}

/// Reads the fault out of an error object; `None` if it carries none.
pub fn fault_of(error: &ErrorObjectOwned) -> Option<OperatorFault> {
    let data = error.data()?;
    serde_json::from_str(data.get()).ok()
}
