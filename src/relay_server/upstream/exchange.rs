//! A connection on which a request was sent, until the head of its response has arrived.

use std::net::SocketAddr;

use actix_codec::Framed;
use actix_http::ResponseHead;
use actix_http::error::ParseError;
use futures_util::StreamExt;

use super::ResponseBody;
use super::UpstreamFailure;
use crate::relay_server::endpoint_stream::{EndpointStream, is_invalid};
use crate::relay_server::memory_budget::MemoryBudget;
use crate::relay_server::response_codec::ResponseCodec;

/// Maximum number of interim heads before the final one of a response.
const MAX_INTERIM_HEADS: u64 = 16;
/// Maximum number of responses to earlier requests of a connection before the one that is due.
const MAX_SURPLUS_RESPONSES: usize = 8;
/// Maximum size of the body of such a response.
const MAX_SURPLUS_BODY_BYTES: usize = 64 << 10;
/// Characters of an unknown id that are logged.
const MAX_LOGGED_ID_CHARS: usize = 64;

/// A connection on which a request was sent.
pub(crate) struct Exchange {
    pub(super) address: SocketAddr,
    /// Id of the request.
    pub(super) id: String,
    /// Whether the connection was opened for this request.
    pub(in crate::relay_server) is_new: bool,
    pub(super) framed: Framed<EndpointStream, ResponseCodec>,
    pub(super) memory: MemoryBudget,
}

impl Exchange {
    /// Waits for the head of the response that bears the id of the request. `id_of` returns the id of a head. An
    /// endpoint may respond to an earlier request of the connection once more: that response is passed over if
    /// its end is known.
    pub(crate) async fn own_head<F>(
        mut self,
        id_of: F,
    ) -> Result<(ResponseHead, ResponseBody), UpstreamFailure>
    where
        F: Fn(&ResponseHead) -> Option<String>,
    {
        for _ in 0..=MAX_SURPLUS_RESPONSES {
            let head = self.next_head().await?;
            let response_id = id_of(&head);
            if response_id.as_deref() == Some(self.id.as_str()) {
                return Ok(self.into_response(head));
            }
            let carried = &self.framed.io_ref().carried;
            let may_pass_over = response_id
                .as_deref()
                .is_some_and(|id| carried.delimits_response_to(id));
            self.log_foreign_response(&head, response_id.as_deref(), may_pass_over);
            if !may_pass_over {
                return Err(UpstreamFailure::Garbled);
            }
            self = self.pass_over(head).await?;
        }
        Err(UpstreamFailure::Garbled)
    }

    /// Logs a response that does not bear the id of the request.
    fn log_foreign_response(
        &self,
        head: &ResponseHead,
        response_id: Option<&str>,
        is_passed_over: bool,
    ) {
        log::info!(
            request = self.id.as_str(),
            endpoint:% = self.address,
            response_id = response_id.map(shortened),
            status = head.status.as_u16(),
            is_passed_over,
            is_new_connection = self.is_new;
            "response does not bear the id of the request"
        );
    }

    /// Reads the response with this head to its end, which must not be that of the connection.
    async fn pass_over(self, head: ResponseHead) -> Result<Self, UpstreamFailure> {
        let Self {
            address,
            id,
            is_new,
            framed,
            memory,
        } = self;
        let mut body = ResponseBody::new(address, &head, framed, memory.clone());
        if body.ends_with_connection() {
            return Err(UpstreamFailure::Garbled);
        }
        body.discard_to_end(MAX_SURPLUS_BODY_BYTES).await?;
        let framed = body.into_connection().ok_or(UpstreamFailure::Broken)?;
        Ok(Self {
            address,
            id,
            is_new,
            framed: framed.into_map_codec(ResponseCodec::after_body),
            memory,
        })
    }

    /// Waits for the response head.
    pub(crate) async fn head(mut self) -> Result<(ResponseHead, ResponseBody), UpstreamFailure> {
        let head = self.next_head().await?;
        Ok(self.into_response(head))
    }

    /// Reads the next head that is not an interim one.
    async fn next_head(&mut self) -> Result<ResponseHead, UpstreamFailure> {
        let mut interim_heads = 0;
        loop {
            match self.framed.next().await {
                Some(Ok(head)) if !head.status.is_informational() => {
                    self.framed.io_mut().record_decoded();
                    return Ok(head);
                }
                Some(Ok(_)) if interim_heads < MAX_INTERIM_HEADS => {
                    interim_heads += 1;
                    self.framed.io_mut().record_decoded();
                }
                Some(Ok(_)) => {
                    log::warn!(endpoint:% = self.address, interim_heads; "response has too many interim heads");
                    return Err(UpstreamFailure::Garbled);
                }
                Some(Err(ParseError::Io(error))) if !is_invalid(&error) => {
                    return Err(UpstreamFailure::Broken);
                }
                None => return Err(UpstreamFailure::Broken),
                Some(Err(_)) => return Err(UpstreamFailure::Garbled),
            }
        }
    }

    fn into_response(self, head: ResponseHead) -> (ResponseHead, ResponseBody) {
        let body = ResponseBody::new(self.address, &head, self.framed, self.memory);
        (head, body)
    }
}

/// The beginning of an id, which may have any length.
fn shortened(id: &str) -> &str {
    let end = id.char_indices().nth(MAX_LOGGED_ID_CHARS);
    &id[..end.map_or(id.len(), |(at, _)| at)]
}
