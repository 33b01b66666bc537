//! Documents for tests.

use uuid::Uuid;

use crate::ids::ServiceName;
use crate::keys;
use crate::wire::operator::AcceptRequest;

/// Key of an operator who may accept documents.
pub(super) const EDITOR: &str = "key-of-the-editor";
/// Key of an operator who may only read.
pub(super) const VIEWER: &str = "key-of-the-viewer";
/// The service of most tests.
pub(super) const SERVICE: &str = "menus";

/// A document of a model service. Texts of two numbers differ.
pub(super) fn document(service: &str, number: u64) -> String {
    document_with(service, number, "v1", "")
}

/// A document with a model version and further top-level lines.
pub(super) fn document_with(service: &str, number: u64, version: &str, lines: &str) -> String {
    let digest = |key: &str| format!("sha256:{}", hex::encode(keys::digest(key).0));
    format!(
        r#"# {number}
service = "{service}"
kind = "model"
{lines}

[engines]
check_fence = true

[models.{model}]
version = "{version}"
layers = 4
activation_bytes = 64

[accounts.a]
weight = 1
key_digests = ["{account}"]

[accounts.b]
weight = 3
key_digests = ["{other}"]

[operators.erin]
role = "editor"
key_digests = ["{editor}"]

[operators.vera]
role = "viewer"
key_digests = ["{viewer}"]
"#,
        model = if service == SERVICE { "m" } else { service },
        account = digest(&format!("account-a-{service}")),
        other = digest(&format!("account-b-{service}")),
        editor = digest(EDITOR),
        viewer = digest(VIEWER),
    )
}

/// A request to accept a text.
pub(super) fn request(base_revision: u64, text: String, change: u128) -> AcceptRequest {
    AcceptRequest {
        service: ServiceName::from(SERVICE),
        base_revision,
        text,
        change_id: Uuid::from_u128(change),
        note: None,
    }
}
