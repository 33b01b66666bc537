//! Whether an answer is whole and the caller's own.

use sha2::{Digest, Sha256};
use thiserror::Error;

use super::attempt::AnswerBody;
use super::request::{Ask, Request};
use crate::application::Echo;

/// What is wrong with an answer that claims to be complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AnswerFault {
    /// It holds something that is not an answer to this request.
    #[error("not an answer to this request")]
    Crossed,
    /// It holds a token twice.
    #[error("a token came twice")]
    Doubled,
    /// It lacks tokens.
    #[error("tokens are missing")]
    Incomplete,
}

/// Compares an answer that claims to be complete with the one the request must have.
///
/// # Errors
/// Names the first difference.
pub fn check_answer(request: &Request, answer: &AnswerBody) -> Result<(), AnswerFault> {
    match (&request.ask, answer) {
        (
            Ask::Completion {
                target,
                prompt,
                max_tokens,
                shape,
                ..
            },
            AnswerBody::Text(text),
        ) => check_text(&target.answer(prompt, *shape).answer(*max_tokens), text),
        (Ask::Call { .. }, AnswerBody::Reply { body, .. }) => check_echo(request, body),
        _ => Err(AnswerFault::Crossed),
    }
}

/// Compares the text of a completion with the tokens it must have.
///
/// # Errors
/// Names the first difference.
pub fn check_text(expected: &[String], text: &str) -> Result<(), AnswerFault> {
    let mut got = text.split_whitespace();
    for (position, token) in expected.iter().enumerate() {
        match got.next() {
            None => return Err(AnswerFault::Incomplete),
            Some(word) if word == token => {}
            Some(word) => return Err(difference(expected, position, word)),
        }
    }
    match got.next() {
        None => Ok(()),
        Some(word) => Err(difference(expected, expected.len(), word)),
    }
}

fn difference(expected: &[String], position: usize, word: &str) -> AnswerFault {
    let before = position.checked_sub(1).and_then(|p| expected.get(p));
    let after = expected.get(position + 1);
    if before.is_some_and(|token| token == word) {
        AnswerFault::Doubled
    } else if after.is_some_and(|token| token == word) {
        AnswerFault::Incomplete
    } else {
        AnswerFault::Crossed
    }
}

/// Compares the echo of an application with the request.
///
/// # Errors
/// Fails if the echo is another request's.
pub fn check_echo(request: &Request, body: &[u8]) -> Result<(), AnswerFault> {
    let echo: Echo = serde_json::from_slice(body).map_err(|_| AnswerFault::Incomplete)?;
    let digest = hex::encode(Sha256::digest(request.body()));
    if echo.request == request.id && echo.body_digest == digest {
        Ok(())
    } else {
        Err(AnswerFault::Crossed)
    }
}
