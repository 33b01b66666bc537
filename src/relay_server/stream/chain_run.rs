//! Runs of a stream on a chain of engines.

use std::rc::Rc;

use actix_http::{ResponseHead, StatusCode};
use tokio::time::{Instant, sleep_until};

use super::{ChunkFailure, RunOutcome, StreamRelay, stage_at};
use crate::clock::boot_ms;
use crate::fleet::{Chain, EndpointFailure};
use crate::ids::EndpointId;
use crate::relay::AttemptOutcome;
use crate::relay_server::adapter::Adapter;
use crate::relay_server::checks::check_in_background;
use crate::relay_server::exits::engine_may_have_exited;
use crate::relay_server::headers;
use crate::relay_server::held_tokens::HeldTokens;
use crate::relay_server::request::instant_at;
use crate::relay_server::send_context::SendContext;
use crate::relay_server::stream_response::InitialResponse;
use crate::relay_server::traffic::TrafficKind;
use crate::relay_server::upstream::{Exchange, OutgoingRequest, ResponseBody, UpstreamFailure};

impl<A> StreamRelay<A>
where
    A: Adapter,
{
    /// Runs the request on a chain and forwards the events.
    pub(super) async fn run_on_chain(&mut self, chain: Chain) -> RunOutcome {
        if self.attempts.sends() > 0 {
            self.log_repeat(&chain);
        }
        self.attempts.send_started(&chain.first().endpoint);
        let stages = chain.stages().iter().map(|stage| &stage.endpoint);
        self.send_context = SendContext::new(&self.node, stages);
        self.chain = Some(chain.clone());
        self.chain_engines = chain.engines();
        if let Some(retry) = &self.retry {
            retry.set_engines(self.chain_engines);
        }
        self.next_reroute_ms = 0;
        self.run_once(chain).await
    }

    /// Logs on how many engines a request that has been sent before runs again.
    fn log_repeat(&self, chain: &Chain) {
        log::info!(
            request = self.request.ask.id.as_str(),
            first = chain.first().endpoint.as_str(),
            stages = chain.stages().len(),
            sends = self.attempts.sends(),
            last_event = self.splitter.last_id(),
            left_ms = self.request.remaining_ms(boot_ms());
            "stream is sent again"
        );
    }

    async fn run_once(&mut self, chain: Chain) -> RunOutcome {
        let tokens = self.request.held_tokens();
        let prompt_tokens = self.request.ask.prompt_tokens.unwrap_or(0);
        let mut held = HeldTokens::start(&self.node, chain, tokens, prompt_tokens);
        self.stall.run_started(boot_ms());
        let exchange = match self.send(held.chain()).await {
            Ok(exchange) => exchange,
            Err(failure) => return self.connection_failed(failure, held.chain()),
        };
        let (head, body) = match self.receive_head(exchange, &mut held).await {
            Ok(answer) => answer,
            Err(outcome) => return outcome,
        };
        let facts = self.node.adapter.parse_response_metadata(&head);
        let first = &held.chain().first().endpoint;
        self.node.apply_pacing(first, facts.pacing);
        if facts.not_run || head.status == StatusCode::MISDIRECTED_REQUEST {
            let at_fault = facts
                .at_fault
                .and_then(|address| stage_at(held.chain(), address));
            let at_fault = at_fault.unwrap_or_else(|| held.chain().first().clone());
            self.mark_full(&at_fault.endpoint);
            // With this status the engine says that it lacks the layers, not the capacity.
            if head.status != StatusCode::MISDIRECTED_REQUEST {
                self.node.record_rejected(&self.request, boot_ms());
            }
            // The engine may be full, leaving or dead; the response does not say which.
            check_in_background(&self.node, &at_fault);
            return RunOutcome::Failed(
                AttemptOutcome::TurnedAway,
                EndpointFailure::Full,
                at_fault.endpoint,
            );
        }
        if !head.status.is_success() || !facts.is_sealed {
            let first = held.chain().first().endpoint.clone();
            self.failure = self.read_failure(&head, body).await;
            return RunOutcome::Failed(AttemptOutcome::Failed, EndpointFailure::Failed, first);
        }
        self.head_arrived();
        self.node.record_accepted(held.chain());
        self.attempts.response_started();
        let initial = InitialResponse {
            status: head.status,
            headers: headers::end_to_end_headers(&head.headers),
            body: None,
        };
        if self.start_response(initial).is_err() {
            return RunOutcome::CallerLeft;
        }
        let keep_alive_ms = headers::keep_alive_ms(&head);
        self.forward_events(body, keep_alive_ms, &mut held).await
    }

    async fn send(&self, chain: &Chain) -> Result<Exchange, UpstreamFailure> {
        let first = chain.first();
        let resume_after = self.splitter.last_id();
        let left_ms = self.request.remaining_ms(boot_ms());
        let head = self.request.head_for(
            &self.node,
            &first.endpoint,
            left_ms,
            Some(chain),
            resume_after,
        );
        let outgoing = OutgoingRequest {
            id: &self.request.ask.id,
            head,
            body: self.request.body.clone(),
        };
        let node = &self.node;
        let may_send = || {
            let mut stages = chain.stages().iter();
            self.request.may_send(node)
                && (self.attempts.has_started() || self.request.may_start(node))
                && stages.all(|stage| node.accepts_requests(&stage.endpoint))
        };
        node.send_with_permit(&first.endpoint, first.address, outgoing, may_send)
            .await
    }

    /// Waits for the response head and checks the run while it is silent.
    async fn receive_head(
        &mut self,
        exchange: Exchange,
        held: &mut HeldTokens<A>,
    ) -> Result<(ResponseHead, ResponseBody), RunOutcome> {
        let mut signal = self.node.chain_check_signal.subscribe();
        let node = Rc::clone(&self.node);
        let id_of = |head: &ResponseHead| node.adapter.parse_response_metadata(head).id;
        let mut head = std::pin::pin!(exchange.own_head(id_of));
        loop {
            let due = self.next_check_at(boot_ms());
            tokio::select! {
                // Data that has arrived takes precedence over updates from others and over a
                // silence that it ends.
                biased;
                answer = &mut head => {
                    return answer.map_err(|failure| self.connection_failed(failure, held.chain()));
                }
                () = sleep_until(due) => self.check_stall(held).await?,
                _ = signal.changed() => self.handle_fleet_change(held).await?,
            }
        }
    }

    /// Forwards events until the stream is complete.
    async fn forward_events(
        &mut self,
        mut body: ResponseBody,
        keep_alive_ms: Option<u64>,
        held: &mut HeldTokens<A>,
    ) -> RunOutcome {
        let mut signal = self.node.chain_check_signal.subscribe();
        let scope = self.node.scope_of_endpoint(&held.chain().first().endpoint);
        loop {
            let due = self.next_check_at(boot_ms());
            let step = tokio::select! {
                // Events that arrived while this stream was busy take precedence over updates from
                // others and over a silence that they end.
                biased;
                chunk = body.next() => match chunk {
                    Ok(Some(bytes)) => {
                        let kind = TrafficKind::EndpointResponses;
                        self.node.count_traffic(kind, scope, bytes.len());
                        self.forward_event_bytes(&bytes, held).await
                    }
                    Ok(None) if self.is_cut_off(&body, held.chain()).await => {
                        Err(self.connection_failed(UpstreamFailure::Broken, held.chain()))
                    }
                    Ok(None) => {
                        self.node.upstreams.release(body, keep_alive_ms, boot_ms());
                        return RunOutcome::Complete;
                    }
                    Err(failure) => Err(self.connection_failed(failure, held.chain())),
                },
                () = sleep_until(due) => self.check_stall(held).await,
                _ = signal.changed() => self.handle_fleet_change(held).await,
            };
            if let Err(outcome) = step {
                return outcome;
            }
        }
    }

    async fn forward_event_bytes(
        &mut self,
        bytes: &[u8],
        held: &mut HeldTokens<A>,
    ) -> Result<(), RunOutcome> {
        match self.forward_chunk(bytes).await {
            Ok(has_events) => {
                if has_events {
                    held.record_event(boot_ms());
                }
                Ok(())
            }
            Err(ChunkFailure::CallerLeft) => Err(RunOutcome::CallerLeft),
            Err(ChunkFailure::Invalid) => {
                Err(self.connection_failed(UpstreamFailure::Garbled, held.chain()))
            }
        }
    }

    /// Whether a body that has ended is only the beginning of the response.
    async fn is_cut_off(&self, body: &ResponseBody, chain: &Chain) -> bool {
        if self.splitter.has_partial_event() {
            return true;
        }
        if !body.ends_with_connection() {
            return false;
        }
        let is_empty = self.splitter.last_id().is_none() && self.run_events == 0;
        is_empty || engine_may_have_exited(&self.node, &self.request, chain.first()).await
    }

    /// When to check the run if no data arrives until then.
    fn next_check_at(&self, now_ms: u64) -> Instant {
        let probe_ms = self.stall.probe_due_ms();
        instant_at(probe_ms.unwrap_or(self.stall.next_check_ms()), now_ms)
    }

    fn connection_failed(&self, failure: UpstreamFailure, chain: &Chain) -> RunOutcome {
        let first = chain.first().endpoint.clone();
        match failure {
            UpstreamFailure::NoListener => {
                self.node.record_failure(&first, EndpointFailure::Refused);
            }
            UpstreamFailure::NoConnection | UpstreamFailure::Broken => {
                check_in_background(&self.node, chain.first());
            }
            UpstreamFailure::Garbled | UpstreamFailure::Withdrawn => {}
        }
        let (outcome, endpoint_failure) = failure.classify();
        RunOutcome::Failed(outcome, endpoint_failure, first)
    }

    /// Logs a failed run, and records what it means for the request and the engine at fault.
    pub(super) fn record_failed_run(
        &mut self,
        outcome: AttemptOutcome,
        failure: EndpointFailure,
        at_fault: &EndpointId,
    ) {
        let now_ms = boot_ms();
        let first = self.chain.as_ref().map(Chain::first);
        log::info!(
            request = self.request.ask.id.as_str(),
            digest = self.request.digest_label().as_str(),
            prompt_parts = self.request.prompt_parts_label().as_str(),
            first = first.map(|first| first.endpoint.as_str()),
            at_fault = at_fault.as_str(),
            stages = self.chain.as_ref().map(|chain| chain.stages().len()),
            end:? = outcome,
            cause = failure.name(),
            known_at_send = self.send_context.endpoints.as_str(),
            list_at_send = self.send_context.list.as_str(),
            last_event = self.splitter.last_id(),
            head_ago_ms = self.head_ago_ms(now_ms),
            run_events = self.run_events,
            silent_ms = self.stall.silence_ms(now_ms);
            "run failed"
        );
        self.record_reach_of_refusal(at_fault, outcome);
        self.attempts.exclude_after(at_fault, outcome, now_ms);
        if failure == EndpointFailure::Garbled {
            self.attempts.record_invalid(at_fault);
        }
        self.record_interrupted_run(at_fault, outcome);
    }

    /// Charges the retry of a run that an engine refused for the engines up to that one only.
    fn record_reach_of_refusal(&self, refusing: &EndpointId, outcome: AttemptOutcome) {
        if outcome != AttemptOutcome::TurnedAway {
            return;
        }
        let reached = self
            .chain
            .as_ref()
            .and_then(|it| it.engines_until(refusing));
        if let (Some(retry), Some(engines)) = (&self.retry, reached) {
            retry.set_engines(engines);
        }
    }

    fn mark_full(&self, endpoint: &EndpointId) {
        self.node.record_full(endpoint);
    }
}
