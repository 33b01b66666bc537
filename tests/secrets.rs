//! What holds a secret does not show it.

use fescueshore::ids::RequestId;
use fescueshore::instance::{CallerRequest, PresentedKey, RequestBody};
use fescueshore::settings;

const KEY: &str = "very-private-key-1";

#[test]
fn a_callers_request_hides_its_key() {
    let request = CallerRequest {
        key: Some(PresentedKey::from(KEY.to_owned())),
        request: RequestId::from("r1"),
        idempotency_key: None,
        deadline: None,
        digest: [0; 32],
        body: RequestBody::Completion {
            model: "menu-mind-24b".to_owned(),
            prompt: "soup".to_owned(),
            max_tokens: 1,
        },
    };
    assert!(!format!("{request:?}").contains(KEY));
}

#[test]
fn settings_hide_the_peers_key() {
    let text = include_str!("../examples/settings.toml");
    let text = text.replace("demo-peers-key-not-for-use", KEY);
    let settings = settings::parse(&text).unwrap();
    assert_eq!(settings.peers.key.expose(), KEY);
    assert!(!format!("{settings:?}").contains(KEY));
}
