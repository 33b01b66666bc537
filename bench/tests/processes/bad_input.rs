//! Requests that cannot be served: a typed error at once, and nothing runs.

use awc::http::Method;
use fescueshore::outcome::{OUTCOME_HEADER, RefusalCode};
use fescueshore::wire::caller::ErrorResponse;

use crate::env::Env;

const KEY: &str = "demo-key-lac-bistro";
const STOCK: &str = "/v1/services/ledger-api/stock-counts";
const CHAT: &str = "/v1/chat/completions";
const GOOD_CHAT: &str = r#"{"model":"menu-mind-24b","messages":[{"role":"user","content":"x"}]}"#;

struct Case {
    name: &'static str,
    method: Method,
    path: &'static str,
    key: Option<&'static str>,
    header: Option<(&'static str, &'static str)>,
    body: String,
    status: u16,
    code: RefusalCode,
}

/// A chat that would be served but for what a case changes.
fn chat(name: &'static str, status: u16, code: RefusalCode) -> Case {
    Case {
        name,
        method: Method::POST,
        path: CHAT,
        key: Some(KEY),
        header: None,
        body: GOOD_CHAT.to_owned(),
        status,
        code,
    }
}

/// A stock count that would be served but for what a case changes.
fn count(name: &'static str, status: u16, code: RefusalCode) -> Case {
    Case {
        path: STOCK,
        header: Some(("idempotency-key", "0193a5e0-0000-7000-8000-000000000000")),
        body: "{}".to_owned(),
        ..chat(name, status, code)
    }
}

fn with_body(case: Case, body: &str) -> Case {
    Case {
        body: body.to_owned(),
        ..case
    }
}

fn cases() -> Vec<Case> {
    vec![
        Case {
            key: None,
            ..chat("no key", 401, RefusalCode::Unauthenticated)
        },
        Case {
            key: Some("demo-key-nobody"),
            ..chat("wrong key", 401, RefusalCode::Unauthenticated)
        },
        Case {
            key: Some("demo-key-nobody"),
            ..count("wrong key of a write", 401, RefusalCode::Unauthenticated)
        },
        Case {
            path: "/v1/services/no-such-api/stock-counts",
            ..count("unknown service", 404, RefusalCode::UnknownService)
        },
        with_body(
            chat("unknown model", 404, RefusalCode::UnknownModel),
            r#"{"model":"no-such-model","messages":[{"role":"user","content":"x"}]}"#,
        ),
        with_body(
            chat("unknown adapter", 404, RefusalCode::UnknownModel),
            r#"{"model":"menu-mind-24b:none","messages":[{"role":"user","content":"x"}]}"#,
        ),
        with_body(
            chat("broken JSON", 400, RefusalCode::MalformedBody),
            r#"{"model":"menu-mind-24b","#,
        ),
        with_body(
            chat("no messages", 400, RefusalCode::MalformedBody),
            r#"{"model":"menu-mind-24b","messages":[]}"#,
        ),
        with_body(
            chat("body over the limit", 413, RefusalCode::BodyTooLarge),
            &"x".repeat(2 << 20),
        ),
        Case {
            header: None,
            ..count("no idempotency key", 400, RefusalCode::MissingHeader)
        },
        Case {
            header: Some(("x-fescue-deadline-ms", "soon")),
            ..chat("a deadline that is no number", 400, RefusalCode::BadHeader)
        },
    ]
}

#[actix_rt::test]
async fn each_bad_input_is_refused_with_its_code_and_runs_nowhere() {
    let mut env = Env::start().await;
    let http = awc::Client::default();
    for case in cases() {
        let url = format!("http://{}{}", env.entry(0), case.path);
        let mut call = http
            .request(case.method, url)
            .content_type("application/json");
        if let Some(key) = case.key {
            call = call.bearer_auth(key);
        }
        if let Some(header) = case.header {
            call = call.insert_header(header);
        }
        let mut response = call.send_body(case.body).await.expect(case.name);
        assert_eq!(response.status().as_u16(), case.status, "{}", case.name);
        let outcome = response.headers().get(OUTCOME_HEADER).expect(case.name);
        assert_eq!(outcome, "not-run", "{}", case.name);
        assert!(
            response.headers().contains_key("x-request-id"),
            "{}",
            case.name
        );
        let answer: ErrorResponse = response.json().await.expect(case.name);
        assert_eq!(answer.error.code, case.code, "{}", case.name);
    }
    assert_eq!(env.findings().await.tokens, 0);
    assert_eq!(env.calls().await, 0);
}
