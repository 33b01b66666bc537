//! Responses that an endpoint sends once more, where the response to a later request of the connection is due.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

use actix_http::{Method, RequestHead, ResponseHead, StatusCode};
use bytes::Bytes;

use super::memory_budget::MemoryBudget;
use super::upstream::{OutgoingRequest, UpstreamFailure, UpstreamPool};

/// A refusal of request `1`, framed in each way that tells its end.
const REFUSALS: [&str; 3] = [
    "HTTP/1.1 503 Service Unavailable\r\nX-Id: 1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 503 Service Unavailable\r\nX-Id: 1\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull",
    "HTTP/1.1 503 Service Unavailable\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
];
const SECOND: &str = "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 6\r\n\r\nsecond";
const THIRD: &str = "HTTP/1.1 200 OK\r\nX-Id: 3\r\nContent-Length: 5\r\n\r\nthird";

/// A response as its caller sees it, and whether its connection was new.
type Received = Result<(StatusCode, Vec<u8>, bool), UpstreamFailure>;

/// Starts an endpoint that answers each request of its first connection with the next of these texts, and so on for
/// further connections.
fn endpoint(connections: Vec<Vec<String>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        for responses in connections {
            let (stream, _) = listener.accept().expect("the router connects");
            thread::spawn(move || answer_in_turn(stream, &responses));
        }
    });
    address
}

/// Answers each request of a connection with the next text, and reads on until the router closes it.
fn answer_in_turn(mut stream: TcpStream, responses: &[String]) {
    let mut responses = responses.iter();
    let mut request = [0; 4_096];
    while stream.read(&mut request).is_ok_and(|length| length > 0) {
        let response = responses.next().map_or("", String::as_str);
        // The router may have closed the connection.
        let _ = stream.write_all(response.as_bytes());
    }
}

fn id_of(head: &ResponseHead) -> Option<String> {
    let id = head.headers.get("x-id")?;
    id.to_str().ok().map(str::to_owned)
}

fn request(id: &str, method: Method) -> OutgoingRequest<'_> {
    let mut head = RequestHead::default();
    head.method = method;
    let body = Bytes::new();
    OutgoingRequest { id, head, body }
}

/// Sends a request and reads its response to the end.
async fn exchange(
    upstreams: &UpstreamPool,
    address: SocketAddr,
    request: OutgoingRequest<'_>,
) -> Received {
    let exchange = upstreams.send(address, request, 0, || true).await?;
    let is_new = exchange.is_new;
    let (head, mut body) = exchange.own_head(id_of).await?;
    let content = body.read_to_end(1_000).await?;
    upstreams.release(body, None, 0);
    Ok((head.status, content.to_vec(), is_new))
}

/// Sends request `1`, which is refused with the first text, and request `2` on the same connection, for which the
/// endpoint sends the second text. Returns what the second is answered.
async fn second_response(refused: Method, refusal: &str, second: &str) -> Received {
    let address = endpoint(vec![vec![refusal.to_owned(), second.to_owned()]]);
    let upstreams = UpstreamPool::new(MemoryBudget::for_instance(0));
    let first = exchange(&upstreams, address, request("1", refused)).await;
    first.expect("the refusal is a response");
    exchange(&upstreams, address, request("2", Method::GET)).await
}

/// Guards against requests that fail, or run once more, because of a response to an earlier request.
#[actix_rt::test]
async fn a_late_copy_of_a_refusal_does_not_cost_the_next_request_its_response() {
    for copy in REFUSALS {
        for copies in [1, 3] {
            let late = copy.repeat(copies);
            let responses = [copy.to_owned(), format!("{late}{SECOND}"), THIRD.to_owned()];
            let address = endpoint(vec![responses.to_vec()]);
            let upstreams = UpstreamPool::new(MemoryBudget::for_instance(0));
            let mut received = Vec::new();
            for id in ["1", "2", "3"] {
                let response = exchange(&upstreams, address, request(id, Method::GET)).await;
                received.push(response.expect("a response"));
            }
            let unavailable = StatusCode::SERVICE_UNAVAILABLE;
            assert_eq!((received[0].0, received[0].2), (unavailable, true));
            assert_eq!(received[1], (StatusCode::OK, b"second".to_vec(), false));
            assert_eq!(received[2], (StatusCode::OK, b"third".to_vec(), false));
        }
    }
}

/// Guards against requests that are sent elsewhere, or refused, while they run.
#[actix_rt::test]
async fn a_late_copy_of_a_refusal_is_not_taken_for_the_response_to_the_same_id_sent_again() {
    let refusal = REFUSALS[0];
    let answer = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\ndone";
    let first_connection = vec![refusal.to_owned(), format!("{refusal}{answer}")];
    let second_connection = vec![answer.to_owned()];
    let address = endpoint(vec![first_connection, second_connection]);
    let upstreams = UpstreamPool::new(MemoryBudget::for_instance(0));
    let refused = exchange(&upstreams, address, request("1", Method::POST)).await;
    let again = exchange(&upstreams, address, request("1", Method::POST)).await;
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    assert_eq!(refused.map(|it| it.0), Ok(unavailable));
    assert_eq!(again, Ok((StatusCode::OK, b"done".to_vec(), true)));
}

/// Guards against bytes that belong to no request, or whose end is unknown, passing for a response to an earlier one.
#[actix_rt::test]
async fn a_response_under_an_id_that_its_connection_has_not_carried_is_garbled() {
    let refusal = REFUSALS[0];
    let unknown = refusal.replace("X-Id: 1", "X-Id: 9");
    let without_id = refusal.replace("X-Id: 1\r\n", "");
    let without_length = refusal.replace("Content-Length: 0\r\n", "");
    let too_many = refusal.repeat(100);
    let too_large = REFUSALS[1].replace("Content-Length: 4", "Content-Length: 400000");
    // The rest of its body is missing: less than the next response has, or more.
    let cut = REFUSALS[1].replace("Content-Length: 4", "Content-Length: 40");
    let cut_early = REFUSALS[1].replace("Content-Length: 4", "Content-Length: 4000");
    for late in [
        unknown,
        without_id,
        without_length,
        too_many,
        too_large,
        cut,
        cut_early,
    ] {
        let second = format!("{late}{SECOND}");
        let response = second_response(Method::GET, refusal, &second).await;
        assert_eq!(response, Err(UpstreamFailure::Garbled), "{late:.200}");
    }
}

/// Guards against a body that a response to a HEAD request announces, and which is the beginning of the next response.
#[actix_rt::test]
async fn a_late_copy_of_a_response_to_a_head_request_is_garbled() {
    let head_only = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 6\r\n\r\n";
    let second = format!("{head_only}{SECOND}");
    let response = second_response(Method::HEAD, head_only, &second).await;
    assert_eq!(response, Err(UpstreamFailure::Garbled));
}

/// Guards against a body that is not read while the response to a HEAD request is due, and taken for that response.
#[actix_rt::test]
async fn a_late_copy_before_the_response_to_a_head_request_is_garbled() {
    let body = "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 0\r\n\r\n";
    let length = body.len();
    let first = format!("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: {length}\r\n\r\n{body}");
    let address = endpoint(vec![vec![first.clone(), first]]);
    let upstreams = UpstreamPool::new(MemoryBudget::for_instance(0));
    let received = exchange(&upstreams, address, request("1", Method::GET)).await;
    received.expect("a response");
    let received = exchange(&upstreams, address, request("2", Method::HEAD)).await;
    assert_eq!(received, Err(UpstreamFailure::Garbled));
}
