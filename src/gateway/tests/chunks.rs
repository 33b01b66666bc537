use bytes::BytesMut;

use crate::gateway::chunk::{AnswerHead, ChunkRenderer, full_answer, put_error};
use crate::gateway::request::{AnswerForm, AnswerShape};
use crate::ids::RequestId;
use crate::outcome::{Refusal, RefusalCode};
use crate::wire::caller::{ChatCompletion, TextCompletion};
use crate::wire::sse::SseReader;

const UNIX_MS: u64 = 1_790_000_000_123;

fn form(shape: AnswerShape) -> AnswerForm {
    AnswerForm {
        shape,
        model: "menu-\"mind\"".to_owned(),
        streamed: true,
        include_usage: true,
        prompt_tokens: 4,
    }
}

fn head(form: &AnswerForm) -> AnswerHead {
    AnswerHead::new(form, &RequestId::from("r-1"), UNIX_MS)
}

fn render(shape: AnswerShape, tokens: &[&str]) -> String {
    let form = form(shape);
    let head = head(&form);
    let mut renderer = ChunkRenderer::new(form, head);
    let mut out = BytesMut::new();
    for token in tokens {
        renderer.put_token(&mut out, token);
    }
    renderer.put_end(&mut out, false);
    String::from_utf8(out.to_vec()).unwrap()
}

fn data_of(stream: &str) -> Vec<String> {
    let mut data = Vec::new();
    SseReader::new(10_000)
        .push(stream.as_bytes(), |_, bytes| {
            data.push(String::from_utf8(bytes.to_vec()).unwrap());
        })
        .unwrap();
    data
}

#[test]
fn a_chat_streams_chunks_usage_and_an_end() {
    insta::assert_snapshot!(render(AnswerShape::Chat, &["two", "to\"ma\\toes"]));
}

#[test]
fn a_text_streams_chunks_usage_and_an_end() {
    insta::assert_snapshot!(render(AnswerShape::Text, &["two", "tomatoes"]));
}

#[test]
fn joined_chunks_give_the_full_text() {
    let tokens = ["a", "\"b\"", "c\\d", "\u{1f96c}\t", "e"];
    for shape in [AnswerShape::Chat, AnswerShape::Text] {
        let data = data_of(&render(shape, &tokens));
        let (done, chunks) = data.split_last().unwrap();
        assert_eq!(done, "[DONE]");
        let text: String = chunks.iter().map(|chunk| text_of(shape, chunk)).collect();
        assert_eq!(text, tokens.join(" "));
    }
}

fn text_of(shape: AnswerShape, chunk: &str) -> String {
    match shape {
        AnswerShape::Chat => {
            let answer: ChatCompletion = serde_json::from_str(chunk).unwrap();
            let choice = answer.choices.into_iter().next();
            let delta = choice.and_then(|choice| choice.delta);
            delta.and_then(|delta| delta.content).unwrap_or_default()
        }
        AnswerShape::Text => {
            let answer: TextCompletion = serde_json::from_str(chunk).unwrap();
            let choice = answer.choices.into_iter().next();
            choice.map(|choice| choice.text).unwrap_or_default()
        }
    }
}

#[test]
fn a_stream_that_cannot_be_completed_ends_with_the_error() {
    let mut out = BytesMut::new();
    let refusal = Refusal::unknown(RefusalCode::EndpointFailed, Some(500));
    put_error(&mut out, &refusal);
    insta::assert_snapshot!(String::from_utf8(out.to_vec()).unwrap());
}

#[test]
fn a_full_answer_has_message_reason_and_usage() {
    let form = form(AnswerShape::Chat);
    let body = full_answer(&form, &head(&form), "two tomatoes".to_owned(), 2, true);
    insta::assert_snapshot!(String::from_utf8(body).unwrap());
}
