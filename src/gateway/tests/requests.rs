use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue};
use proptest::prelude::*;

use crate::gateway::request::{
    AnswerShape, BadRequest, DEFAULT_MAX_TOKENS, digest_request, read_completion, read_head,
    read_key, split_service_path,
};
use crate::instance::{PresentedKey, RequestBody};
use crate::outcome::RefusalCode;

fn headers(pairs: &[(&'static str, &str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        let value = HeaderValue::from_str(value).unwrap();
        headers.insert(HeaderName::from_static(name), value);
    }
    headers
}

fn chat(body: &str) -> Result<RequestBody, BadRequest> {
    read_completion(AnswerShape::Chat, body.as_bytes()).map(|(body, _)| body)
}

#[test]
fn a_chat_is_joined_line_by_line() {
    let body = r#"{"model":"m:a","max_tokens":7,"temperature":0.3,"messages":[
        {"role":"system","content":"be brief"},
        {"role":"user","content":[{"type":"text","text":"how"},{"type":"text","text":"much"}]}]}"#;
    let expected = RequestBody::Completion {
        model: "m:a".to_owned(),
        prompt: "system: be brief\nuser: how much".to_owned(),
        max_tokens: 7,
    };
    assert_eq!(chat(body), Ok(expected));
}

#[test]
fn a_text_completion_has_a_default_length() {
    let body =
        br#"{"model":"m","prompt":"a b c","stream":true,"stream_options":{"include_usage":true}}"#;
    let (asked, form) = read_completion(AnswerShape::Text, body).unwrap();
    let RequestBody::Completion { max_tokens, .. } = asked else {
        panic!("not a completion");
    };
    assert_eq!(max_tokens, DEFAULT_MAX_TOKENS);
    assert!(form.streamed && form.include_usage);
    assert_eq!(form.prompt_tokens, 3);
}

#[test]
fn what_cannot_be_served_is_refused() {
    let with = |rest: &str| chat(&format!(r#"{{"model":"m","messages":[{rest}"#));
    let message = r#"{"role":"user","content":"x"}]"#;
    assert_eq!(with("]}"), Err(BadRequest::NoMessages));
    let several = with(&format!(r#"{message},"n":2}}"#));
    assert_eq!(several, Err(BadRequest::SeveralAnswers));
    let none = with(&format!(r#"{message},"max_tokens":0}}"#));
    assert_eq!(none, Err(BadRequest::MaxTokensRange));
    let broken = with(message).unwrap_err();
    assert_eq!(broken.refusal().code, RefusalCode::MalformedBody);
}

#[test]
fn headers_are_read() {
    let head = read_head(&headers(&[
        ("authorization", "Bearer  k1 "),
        ("x-request-id", "r-1"),
        ("idempotency-key", "i-1"),
        ("x-fescue-deadline-ms", "250"),
    ]))
    .unwrap();
    assert_eq!(head.key.as_ref().map(PresentedKey::expose), Some("k1"));
    assert_eq!(head.request.as_str(), "r-1");
    assert_eq!(head.idempotency_key.unwrap().as_str(), "i-1");
    assert_eq!(head.deadline_ms, Some(250));
}

#[test]
fn a_request_id_is_drawn_if_there_is_none() {
    let first = read_head(&headers(&[])).unwrap();
    let second = read_head(&headers(&[])).unwrap();
    assert_ne!(first.request, second.request);
}

#[test]
fn bad_headers_are_named() {
    let long = "x".repeat(129);
    let cases: [(&'static str, &str); 5] = [
        ("x-request-id", ""),
        ("x-request-id", "a b"),
        ("idempotency-key", &long),
        ("x-fescue-deadline-ms", "soon"),
        ("x-fescue-deadline-ms", "86400001"),
    ];
    for (name, value) in cases {
        let bad = read_head(&headers(&[(name, value)])).unwrap_err();
        assert!(matches!(bad, BadRequest::BadHeader { name: named, .. } if named == name));
        assert_eq!(bad.refusal().code, RefusalCode::BadHeader);
    }
}

#[test]
fn only_bearer_keys_are_read() {
    for value in ["Basic abc", "Bearer", "Bearer ", "abc"] {
        assert_eq!(read_key(&headers(&[("authorization", value)])), None);
    }
}

#[test]
fn service_paths_are_split() {
    let split = |path| split_service_path(path).map(|(name, rest)| (name.to_string(), rest));
    let expected = Some(("ledger-api".to_owned(), "/prices?of=tomato"));
    assert_eq!(split("/v1/services/ledger-api/prices?of=tomato"), expected);
    assert_eq!(split("/v1/services/ledger-api"), None);
    assert_eq!(split("/v1/services//prices"), None);
}

#[test]
fn the_digest_depends_on_where_its_parts_end() {
    let digest = digest_request("POST", "/a", b"b");
    assert_eq!(digest, digest_request("POST", "/a", b"b"));
    assert_ne!(digest, digest_request("POST", "/ab", b""));
}

proptest! {
    #[test]
    fn arbitrary_bodies_never_panic(body in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = read_completion(AnswerShape::Chat, &body);
        let _ = read_completion(AnswerShape::Text, &body);
    }

    #[test]
    fn arbitrary_headers_never_panic(value in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut headers = HeaderMap::new();
        if let Ok(value) = HeaderValue::from_bytes(&value) {
            for name in ["authorization", "x-request-id", "idempotency-key", "x-fescue-deadline-ms"] {
                headers.insert(HeaderName::from_static(name), value.clone());
            }
        }
        let _ = read_head(&headers);
    }

    #[test]
    fn arbitrary_paths_never_panic(path in ".{0,100}") {
        let _ = split_service_path(&format!("/v1/services/{path}"));
    }
}
