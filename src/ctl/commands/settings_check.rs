//! `fescuectl settings check`

use std::path::Path;

use serde_json::json;

use crate::ctl::fault::CtlError;
use crate::ctl::report::Report;
use crate::settings;

pub(super) fn run(file: &Path) -> Result<Report, CtlError> {
    let settings = settings::read(file)?;
    let instance = &settings.instance;
    let summary = format!(
        "{}: no faults; instance {} in zone {}",
        file.display(),
        instance.name,
        instance.zone,
    );
    let json = json!({"instance": instance.name, "zone": instance.zone});
    Report::success(summary, &json)
}
