//! The planned stop of an instance: which requests are still sent, and when all others get their final responses.
//!
//! Callers keep the address of an instance that stops and go on sending to it. A request is sent to an endpoint only if
//! its response can be complete before the process exits. This is decided when it is sent: its body, capacity or a
//! sign of life may have come long after its head.

use std::future::Future;
use std::pin::pin;

use thiserror::Error;

use super::adapter::Adapter;
use super::node::Node;
use super::request::RelayedRequest;
use crate::clock::boot_ms;

/// Part of a stop's time limit, in percent, in which all requests are sent: a stream usually lasts 3 s and at most 7 s,
/// and callers that have this instance's address keep using it for some seconds. Requests with a deadline before the
/// end are sent for longer.
const OPEN_PERCENT: u64 = 30;
/// Time between the latest deadline of a request that is sent and the time limit.
const DEADLINE_MARGIN_MS: u64 = 800;
/// Time between the final responses and the time limit.
const FINAL_RESPONSES_MARGIN_MS: u64 = 500;
/// Time for final responses to reach their callers before the process exits.
pub(super) const FLUSH_MS: u64 = 200;

/// A planned stop that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PlannedStop {
    /// When the signal arrived.
    pub(super) since_ms: u64,
    /// Time from the signal until the process is ended from outside.
    pub(super) limit_ms: u64,
}

/// The instance has stopped serving requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the instance has stopped serving requests")]
pub(crate) struct ServingEnded;

impl PlannedStop {
    /// Whether a request with this deadline is sent. How long a stream lasts is not known from its deadline.
    pub(super) fn may_send(self, is_stream: bool, deadline_ms: u64, now_ms: u64) -> bool {
        let is_open = now_ms <= self.since_ms + self.limit_ms * OPEN_PERCENT / 100;
        let ends_in_time = deadline_ms + DEADLINE_MARGIN_MS <= self.since_ms + self.limit_ms;
        is_open || (ends_in_time && !is_stream)
    }

    /// When requests without a response get a final one.
    pub(super) fn final_responses_ms(self) -> u64 {
        self.since_ms + self.limit_ms.saturating_sub(FINAL_RESPONSES_MARGIN_MS)
    }
}

impl<A> Node<A>
where
    A: Adapter,
{
    /// Whether a planned stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stop.get().is_some()
    }

    /// Whether a planned stop leaves time to send a request with this deadline.
    pub(super) fn stop_allows(&self, is_stream: bool, deadline_ms: u64, now_ms: u64) -> bool {
        let stop = self.stop.get();
        stop.is_none_or(|it| it.may_send(is_stream, deadline_ms, now_ms))
    }

    /// Waits for a future until the instance stops serving requests.
    pub(super) async fn while_serving<F>(&self, future: F) -> Result<F::Output, ServingEnded>
    where
        F: Future,
    {
        let mut ended = self.serving_ended.subscribe();
        let mut future = pin!(future);
        tokio::select! {
            // A response that has arrived takes precedence.
            biased;
            output = &mut future => Ok(output),
            _ = ended.wait_for(|has_ended| *has_ended) => Err(ServingEnded),
        }
    }
}

impl RelayedRequest {
    /// Whether a planned stop leaves time to send the request for the first time, or again from the beginning.
    pub(super) fn may_start<A>(&self, node: &Node<A>) -> bool
    where
        A: Adapter,
    {
        let is_stream = self.route.retry_policy.is_stream();
        let may_start = node.stop_allows(is_stream, self.deadline_ms, boot_ms());
        if !may_start {
            log::info!(
                request = self.ask.id.as_str(),
                route = self.route.name.as_str(),
                since_arrival_ms = boot_ms().saturating_sub(self.arrived_ms),
                left_ms = self.remaining_ms(boot_ms());
                "request is not sent: the instance stops too soon"
            );
        }
        may_start
    }
}
