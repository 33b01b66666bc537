use actix_web::HttpResponse;
use actix_web::body::to_bytes;

use crate::gateway::reply::{forward_reply, message, refuse, refuse_with_message, status};
use crate::ids::RequestId;
use crate::instance::ApplicationReply;
use crate::outcome::{Refusal, RefusalCode};

const CODES: [RefusalCode; 19] = [
    RefusalCode::Unauthenticated,
    RefusalCode::Forbidden,
    RefusalCode::UnknownService,
    RefusalCode::UnknownModel,
    RefusalCode::BodyTooLarge,
    RefusalCode::MalformedBody,
    RefusalCode::MissingHeader,
    RefusalCode::BadHeader,
    RefusalCode::KeyReused,
    RefusalCode::KeyTooOld,
    RefusalCode::ResultUnknown,
    RefusalCode::AccountOverloaded,
    RefusalCode::Overloaded,
    RefusalCode::DeadlineTooShort,
    RefusalCode::NoEndpoint,
    RefusalCode::StoreUnavailable,
    RefusalCode::EndpointFailed,
    RefusalCode::Stopping,
    RefusalCode::NotReady,
];

async fn render(response: HttpResponse) -> String {
    let mut lines = vec![response.status().to_string()];
    let mut headers: Vec<String> = response
        .headers()
        .iter()
        .map(|(name, value)| format!("{name}: {}", value.to_str().unwrap()))
        .collect();
    headers.sort();
    lines.append(&mut headers);
    let body = to_bytes(response.into_body()).await.unwrap();
    lines.push(String::from_utf8(body.to_vec()).unwrap());
    lines.join("\n")
}

#[actix_web::test]
async fn a_refusal_contains_the_retry_delay() {
    let refusal = Refusal::not_run(RefusalCode::AccountOverloaded, Some(1_001));
    let response = refuse(&refusal, &RequestId::from("r-1"));
    insta::assert_snapshot!(render(response).await);
}

#[actix_web::test]
async fn a_refusal_without_a_retry_delay() {
    let refusal = Refusal::unknown(RefusalCode::ResultUnknown, None);
    let response = refuse_with_message(&refusal, "not known", &RequestId::from("r-2"));
    insta::assert_snapshot!(render(response).await);
}

#[actix_web::test]
async fn an_applications_answer_is_passed_on() {
    let reply = ApplicationReply {
        status: 201,
        content_type: Some("text/plain".to_owned()),
        body: b"saved".to_vec(),
    };
    let response = forward_reply(reply, true, &RequestId::from("r-3"));
    insta::assert_snapshot!(render(response).await);
}

#[test]
fn every_code_has_its_status_and_message() {
    let lines: Vec<String> = CODES
        .iter()
        .map(|code| {
            let name = serde_json::to_string(code).unwrap();
            format!("{name} {} {}", status(*code).as_u16(), message(*code))
        })
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}
