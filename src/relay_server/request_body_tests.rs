use actix_http::header::{CONTENT_LENGTH, HeaderMap, HeaderValue};
use actix_http::{BoxedPayloadStream, Payload};
use bytes::Bytes;
use futures_util::{StreamExt, stream};

use super::memory_budget::MemoryBudget;
use super::request_body::{BodyError, RequestBody, read_body};

const LIMIT_BYTES: usize = 4 << 20;
/// An instance whose request bodies may take 16 MiB together, 14 of them large ones.
const MEMORY_MB: u32 = 64;

fn payload(bytes: usize) -> Payload<BoxedPayloadStream> {
    let pieces = vec![Bytes::from(vec![b'b'; 1 << 10]); bytes >> 10];
    let payload = stream::iter(pieces).map(Ok);
    Payload::Stream {
        payload: Box::pin(payload),
    }
}

fn headers(announced_bytes: Option<usize>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    if let Some(bytes) = announced_bytes {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(bytes));
    }
    headers
}

#[actix_rt::test]
async fn large_bodies_of_many_callers_leave_memory_to_small_ones() {
    let budget = MemoryBudget::for_instance(MEMORY_MB);
    let read = async |bytes: usize, announced_bytes: Option<usize>| {
        let headers = headers(announced_bytes);
        read_body(&headers, payload(bytes), LIMIT_BYTES, &budget).await
    };
    let mut held: Vec<RequestBody> = Vec::new();
    for announced in [Some(LIMIT_BYTES), None, Some(LIMIT_BYTES)] {
        held.push(read(LIMIT_BYTES, announced).await.expect("there is memory"));
    }
    assert_eq!(budget.used_bytes(), 3 * LIMIT_BYTES);
    for announced in [Some(LIMIT_BYTES), None] {
        let refused = read(LIMIT_BYTES, announced).await;
        assert_eq!(refused.map(|it| it.bytes.len()), Err(BodyError::NoMemory));
    }
    let small = read(1 << 10, Some(1 << 10)).await;
    assert_eq!(small.map(|it| it.bytes.len()), Ok(1 << 10));
    assert_eq!(budget.used_bytes(), 3 * LIMIT_BYTES, "memory is returned");
    held.pop();
    assert!(read(LIMIT_BYTES, Some(LIMIT_BYTES)).await.is_ok());
}

#[actix_rt::test]
async fn a_body_that_is_announced_too_long_takes_no_memory() {
    let budget = MemoryBudget::for_instance(MEMORY_MB);
    let headers = headers(Some(LIMIT_BYTES + 1));
    let refused = read_body(&headers, payload(0), LIMIT_BYTES, &budget).await;
    assert_eq!(refused.map(|it| it.bytes.len()), Err(BodyError::TooLarge));
    assert_eq!(budget.used_bytes(), 0);
}
