//! `fescuectl key new`

use serde_json::json;

use crate::ctl::fault::CtlError;
use crate::ctl::report::Report;
use crate::keys;

pub(super) fn run() -> Result<Report, CtlError> {
    let key = keys::new_key(&mut rand::rng());
    let digest = keys::digest(key.expose());
    let digest = format!("sha256:{}", hex::encode(digest.0));
    let text = format!("key     {}\ndigest  {digest}", key.expose());
    Report::success(text, &json!({"key": key.expose(), "digest": digest}))
}
