//! Responses of endpoints that end in the middle of their head.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::memory_budget::MemoryBudget;
use super::tests::outgoing_request;
use super::upstream::{UpstreamFailure, UpstreamPool};

const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
/// A response after which the connection is used again.
const FIRST: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
const HEADS: [&str; 3] = [
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Seal: 7\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Seal: 7\r\n\r\n",
    "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Seal: 7\r\n\r\n",
];

/// Reads one request and answers it with these bytes.
async fn answer(stream: &mut TcpStream, response: &str) {
    let mut request = [0; 4_096];
    let length = stream.read(&mut request).await.unwrap();
    assert!(length > 0);
    stream.write_all(response.as_bytes()).await.unwrap();
}

/// Sends requests on one connection, the responses to which are these. Returns the failure of the last, if it failed.
async fn fetch_in_turn(responses: Vec<String>) -> Result<(), UpstreamFailure> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let count = responses.len();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        for response in &responses {
            answer(&mut stream, response).await;
        }
    });
    let upstreams = UpstreamPool::new(MemoryBudget::for_instance(0));
    let mut last = Ok(());
    for number in 0..count {
        let sent = upstreams
            .send(address, outgoing_request(), 0, || true)
            .await;
        let exchange = sent.expect("the endpoint reads requests");
        assert_eq!(exchange.is_new, number == 0);
        last = match exchange.head().await {
            Ok((_, mut body)) => body
                .read_to_end(100)
                .await
                .map(|_| upstreams.release(body, None, 0)),
            Err(failure) => Err(failure),
        };
    }
    last
}

/// Guards against a success with an empty or short body, framed as whole.
#[actix_rt::test]
async fn a_head_cut_at_any_byte_is_no_response_also_after_an_interim_one_or_on_a_used_connection() {
    for head in HEADS {
        for prefix in ["", INTERIM] {
            let whole = format!("{prefix}{head}");
            for cut in 0..whole.len() {
                for earlier in [vec![], vec![FIRST.to_owned()]] {
                    let responses = [earlier, vec![whole[..cut].to_owned()]].concat();
                    let case = format!("{responses:?}");
                    let failure = fetch_in_turn(responses).await;
                    assert_eq!(failure, Err(UpstreamFailure::Broken), "{case}");
                }
            }
        }
    }
}
