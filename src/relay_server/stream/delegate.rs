//! Runs of a stream that another instance serves.

use std::time::Duration;

use actix_http::ResponseHead;

use super::{ChunkFailure, RunOutcome, StreamRelay};
use crate::clock::boot_ms;
use crate::event_loop::timeout;
use crate::ids::EndpointId;
use crate::relay::{AttemptOutcome, StallAction};
use crate::relay_server::adapter::Adapter;
use crate::relay_server::delegates::Delegate;
use crate::relay_server::delegation::{DelegatedRun, DelegationReason, failed};
use crate::relay_server::headers;
use crate::relay_server::stream_response::InitialResponse;
use crate::relay_server::traffic::TrafficKind;
use crate::relay_server::upstream::{ResponseBody, UpstreamFailure};

/// Silence of a run after which it is left for another instance if this one reaches no endpoint. A pause of a
/// healthy engine is mostly shorter, and callers leave after two seconds.
const MAX_SILENCE_MS: u64 = 300;
/// Maximum wait for the response head of a resumed run that another instance serves, if another run may follow:
/// callers leave after two seconds without an event.
const RESUME_HEAD_TIMEOUT_MS: u64 = 1_000;
/// Interval between checks of a run that another instance serves.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

impl<A> StreamRelay<A>
where
    A: Adapter,
{
    /// The instance that serves the next run, if there is `reason` for another one to.
    pub(super) fn choose_delegate(&self, reason: DelegationReason) -> Option<Delegate> {
        self.node
            .choose_delegate(reason, &self.request, &self.attempts, &self.lost_delegates)
    }

    /// Whether to leave a silent run for one that another instance serves: this one cannot find out whether
    /// the engines are alive.
    pub(super) fn should_delegate_silent_run(&self, now_ms: u64) -> bool {
        let node = &self.node;
        let service = &self.request.service;
        let is_cut_off = node.fleet.borrow().reach.is_cut_off(service, now_ms);
        if !is_cut_off || self.stall.silence_ms(now_ms) < MAX_SILENCE_MS {
            return false;
        }
        let Some(trial) = self.attempts.after_abandoning() else {
            return false;
        };
        let (reason, lost) = (DelegationReason::CutOff, &self.lost_delegates);
        let delegate = node.choose_delegate(reason, &self.request, &trial, lost);
        delegate.is_some() && node.has_retry(service, self.retry_class())
    }

    /// Has another instance serve a run, and forwards its events.
    pub(super) async fn run_by_delegate(&mut self, delegate: &Delegate) -> RunOutcome {
        let is_repeat = self.attempts.sends() > 0;
        let reused_endpoints = self.attempts.endpoints_to_reuse();
        let reused_endpoints: Vec<EndpointId> =
            reused_endpoints.into_iter().flatten().cloned().collect();
        let max_endpoints = self.attempts.delegation_started(&delegate.instance);
        self.chain = None;
        self.stall.run_started(boot_ms());
        let run = DelegatedRun {
            request: &self.request,
            delegate,
            max_endpoints,
            reused_endpoints: &reused_endpoints,
            is_repeat,
            resume_after: self.splitter.last_id(),
        };
        let may_follow = self.attempts.has_started() && self.may_follow_delegated_run();
        let limit_ms = if may_follow {
            RESUME_HEAD_TIMEOUT_MS
        } else {
            self.request.remaining_ms(boot_ms())
        };
        let response = timeout(
            Duration::from_millis(limit_ms),
            self.node.delegate_request(run),
        );
        let outcome = match response.await.unwrap_or(Err(AttemptOutcome::Lost)) {
            Ok((head, body)) => self.forward_delegated(delegate, &head, body).await,
            Err(outcome) => RunOutcome::DelegateFailed(outcome),
        };
        if let RunOutcome::DelegateFailed(AttemptOutcome::Lost) = outcome {
            self.lost_delegates.insert(delegate.instance.clone());
        }
        outcome
    }

    async fn forward_delegated(
        &mut self,
        delegate: &Delegate,
        head: &ResponseHead,
        body: ResponseBody,
    ) -> RunOutcome {
        let facts = self.node.adapter.parse_response_metadata(head);
        if !head.status.is_success() || !facts.is_sealed {
            self.failure = self.read_failure(head, body).await;
            return RunOutcome::DelegateFailed(AttemptOutcome::Failed);
        }
        if facts.id.as_deref() != Some(self.request.ask.id.as_str()) {
            return RunOutcome::DelegateFailed(AttemptOutcome::Lost);
        }
        self.head_arrived();
        self.attempts.response_started();
        let initial = InitialResponse {
            status: head.status,
            headers: headers::end_to_end_headers(&head.headers),
            body: None,
        };
        if self.start_response(initial).is_err() {
            return RunOutcome::CallerLeft;
        }
        let keep_alive_ms = headers::keep_alive_ms(head);
        self.forward_delegated_events(delegate, body, keep_alive_ms)
            .await
    }

    async fn forward_delegated_events(
        &mut self,
        delegate: &Delegate,
        mut body: ResponseBody,
        keep_alive_ms: Option<u64>,
    ) -> RunOutcome {
        let scope = self.node.scope_of_instance(&delegate.instance);
        loop {
            let next = match timeout(CHECK_INTERVAL, body.next()).await {
                Ok(next) => next,
                Err(_) if self.is_delegate_lost(delegate) => {
                    return RunOutcome::DelegateFailed(AttemptOutcome::Lost);
                }
                Err(_) => continue,
            };
            let forwarded = match next {
                Ok(Some(bytes)) => {
                    let kind = TrafficKind::DelegatedResponses;
                    self.node.count_traffic(kind, scope, bytes.len());
                    self.forward_chunk(&bytes).await
                }
                Ok(None) if self.splitter.has_partial_event() => {
                    return RunOutcome::DelegateFailed(failed(UpstreamFailure::Broken));
                }
                Ok(None) => {
                    self.node.delegates.release(body, keep_alive_ms, boot_ms());
                    return RunOutcome::Complete;
                }
                Err(failure) => return RunOutcome::DelegateFailed(failed(failure)),
            };
            match forwarded {
                Ok(_) => {}
                Err(ChunkFailure::CallerLeft) => return RunOutcome::CallerLeft,
                Err(ChunkFailure::Invalid) => {
                    return RunOutcome::DelegateFailed(AttemptOutcome::Lost);
                }
            }
        }
    }

    /// Whether another run may follow if the run of another instance is given up.
    fn may_follow_delegated_run(&self) -> bool {
        let Some(trial) = self.attempts.after_abandoning() else {
            return false;
        };
        let may_resume = || !self.reaches_none() && self.plan_with(&trial, None).is_some();
        trial.endpoints_left() > 0 || may_resume()
    }

    /// Whether the instance that serves the run has probably ended, or its connection delivers nothing more. A run
    /// that no other may follow is not given up, since it may go on.
    fn is_delegate_lost(&mut self, delegate: &Delegate) -> bool {
        if !self.may_follow_delegated_run() {
            return false;
        }
        let now_ms = boot_ms();
        let is_heard = self.node.peers.borrow().hears(&delegate.instance, now_ms);
        !is_heard || self.stall.next_action(now_ms) == StallAction::GiveUp
    }
}
