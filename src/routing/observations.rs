//! Learning from streams: engine latencies, the benefit of cache hints, and faults.

use crate::ids::{EndpointId, StreamId};
use crate::wire::engine::Stage;

use super::endpoints::{Endpoint, EndpointFault};
use super::policy::Policy;
use super::router::Router;

impl<P> Router<P>
where
    P: Policy,
{
    /// Records the time between two tokens of a stream, or from dispatch to its first token.
    pub fn observe_token(&mut self, stream: StreamId, gap_ms: u64, now_ms: u64) {
        let Some(held) = self.reservations.streams.get_mut(&stream) else {
            return;
        };
        held.tokens += 1;
        if held.tokens == 1 {
            self.record_first_token(stream, gap_ms, now_ms);
            return;
        }
        let slots = &held.stages;
        let expected_ms: f64 = slots
            .iter()
            .filter_map(|slot| self.table.endpoints.get(&slot.endpoint))
            .zip(slots)
            .map(|(endpoint, slot)| stage_ms(endpoint, slot.layers.len()))
            .sum();
        if expected_ms <= 0.0 {
            return;
        }
        let ratio = gap_ms as f64 / expected_ms;
        let mut has_recovered = false;
        for slot in slots {
            if let Some(endpoint) = self.table.endpoints.get_mut(&slot.endpoint) {
                let prior_ms = prior_layer_ms(endpoint);
                endpoint.gaps.record(ratio, prior_ms);
                has_recovered |= endpoint.health.record_token(now_ms);
            }
        }
        if has_recovered {
            self.changed_at_ms = None;
        }
    }

    fn record_first_token(&mut self, stream: StreamId, gap_ms: u64, now_ms: u64) {
        let Some(held) = self.reservations.streams.get(&stream) else {
            return;
        };
        let Some(block) = held.block else {
            return;
        };
        let ms_per_token = gap_ms as f64 / f64::from(held.prompt_tokens.max(1));
        let first = held
            .stages
            .first()
            .and_then(|slot| self.table.endpoints.get_mut(&slot.endpoint));
        if let Some(endpoint) = first {
            endpoint
                .hint_benefit
                .record(held.hinted, ms_per_token, now_ms);
        }
        for slot in &held.stages {
            self.hints.add(block, slot.number, now_ms);
        }
    }

    /// Records that an endpoint failed. It is avoided for a time that grows with each consecutive
    /// fault.
    pub fn observe_fault(&mut self, endpoint: &EndpointId, fault: EndpointFault, now_ms: u64) {
        let change = self.table.record_fault(endpoint, fault, now_ms);
        self.apply_change(change);
    }

    /// Returns the expected inter-token gap of a chain in milliseconds, based on the history of its
    /// engines.
    pub fn expected_gap_ms(&self, chain: &[Stage]) -> f64 {
        self.stage_ms(chain).iter().sum()
    }

    /// Returns the mean deviation of the inter-token gap of a chain from the expected gap, in
    /// milliseconds.
    pub fn gap_deviation_ms(&self, chain: &[Stage]) -> f64 {
        let deviation = |stage: &Stage| {
            let endpoint = self.table.endpoints.get(&stage.endpoint);
            endpoint.map_or(1.0, |endpoint| endpoint.gaps.deviation())
        };
        let parts = self.stage_ms(chain);
        chain
            .iter()
            .zip(parts)
            .map(|(stage, ms)| deviation(stage) * ms)
            .sum()
    }

    pub(super) fn stage_ms(&self, chain: &[Stage]) -> Vec<f64> {
        let time = |stage: &Stage| {
            let endpoint = self.table.endpoints.get(&stage.endpoint);
            endpoint.map_or(0.0, |endpoint| stage_ms(endpoint, stage.layers.len()))
        };
        chain.iter().map(time).collect()
    }
}

fn stage_ms(endpoint: &Endpoint, layers: u16) -> f64 {
    endpoint.gaps.layer_ms(prior_layer_ms(endpoint)) * f64::from(layers)
}

/// Time for one layer of one token in a full batch, according to the rate reported by the engine.
fn prior_layer_ms(endpoint: &Endpoint) -> f64 {
    let state = endpoint.state.as_ref();
    state.map_or(0.0, |state| {
        f64::from(state.batch_limit) * 1e3 / state.layer_tokens_per_s.max(1.0)
    })
}
