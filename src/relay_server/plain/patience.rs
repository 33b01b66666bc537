//! How long an endpoint that does not answer is waited for.

use std::pin::pin;
use std::time::Duration;

use super::exchange::{InFlightGuard, exchange};
use super::{AttemptResult, PlainRelay};
use crate::clock::boot_ms;
use crate::event_loop::timeout;
use crate::fleet::EndpointFailure;
use crate::ids::EndpointId;
use crate::relay::{AttemptOutcome, RetryPurpose};
use crate::relay_server::adapter::Adapter;

/// How long an endpoint may take, in objectives, before an idempotent request is tried elsewhere.
/// One response in a hundred takes five times the mean, and the mean is a fifth of the objective.
const ATTEMPT_OBJECTIVES: u64 = 2;
/// Divisor of the remaining time for the timeout of an attempt that can be retried. A stopped endpoint reads the request
/// late, and the timeout starts only then.
const TIMEOUT_PART: u64 = 2;
/// Maximum response time of a probe at a running endpoint. After a longer wait, several endpoints were stopped, and the
/// one with the request has probably resumed too.
const PROMPT_SIGN_MS: u64 = 100;

impl<A> PlainRelay<'_, A>
where
    A: Adapter,
{
    /// Sends the request to an endpoint. If it does not answer in time, it is waited for until another attempt can
    /// help.
    pub(super) async fn exchange_with_patience(&mut self, endpoint: &EndpointId) -> AttemptResult {
        let (node, request) = (self.node, self.request);
        let started_ms = boot_ms();
        let _load = InFlightGuard::begin(node, endpoint);
        let left_ms = request.remaining_ms(started_ms);
        if !self.may_try_another(endpoint) {
            return exchange(node, request, endpoint, left_ms).await;
        }
        let timeout_ms = left_ms / TIMEOUT_PART;
        let mut exchange = pin!(exchange(node, request, endpoint, timeout_ms));
        let objective_ms = request.route.objective_ms;
        let limit_ms = objective_ms * ATTEMPT_OBJECTIVES;
        let mut patience_ms = limit_ms.min(timeout_ms);
        loop {
            let patience = Duration::from_millis(patience_ms);
            if let Ok(result) = timeout(patience, &mut exchange).await {
                return result;
            }
            let Some(trial) = self.attempts.after_losing(endpoint) else {
                return exchange.await;
            };
            if !node.has_retry(&request.service, RetryPurpose::Start) {
                break;
            }
            let silent_ms = boot_ms();
            tokio::select! {
                biased;
                result = &mut exchange => return result,
                target = self.target_of_repeat(&trial, silent_ms) => match target {
                    // No other endpoint is left.
                    None => return exchange.await,
                    Some(target) if boot_ms() <= silent_ms + PROMPT_SIGN_MS => {
                        self.next_target = Some(target);
                        break;
                    }
                    Some(_) => patience_ms = objective_ms,
                },
            }
        }
        AttemptResult::Failed(AttemptOutcome::Abandoned, EndpointFailure::Silent)
    }

    /// Whether another replica may get the request after `endpoint`.
    fn may_try_another(&self, endpoint: &EndpointId) -> bool {
        if !self.attempts.may_try_another() {
            return false;
        }
        let mut tried = self.attempts.excluded().clone();
        tried.insert(endpoint.clone());
        self.pick(&tried).is_some()
    }
}
