//! Explanations from kept decisions, gathered over the cell.

use indexmap::IndexSet;

use super::Control;
use super::calls::Purpose;
use crate::ids::{EndpointId, InstanceId};
use crate::instance::{CallId, ControlEffect, OperatorAnswer, PeerCall};
use crate::wire::local::{Decision, DecisionRecord};
use crate::wire::operator::{ExplainLine, ExplainReply, ExplainSubject};
use crate::wire::platform::InstancePhase;

/// Most lines of one instance in one answer; the newest stay.
const LINES_LIMIT: usize = 200;
/// How long a peer may take.
const PEER_TIMEOUT_MS: u64 = 2_000;

/// An explanation that waits for peers.
#[derive(Clone, Debug, Default)]
pub(super) struct Gathering {
    reply: ExplainReply,
    waiting: IndexSet<InstanceId>,
}

impl Control {
    /// Explains from what is kept here and at every live peer.
    pub(super) fn explain(&mut self, operator: CallId, subject: ExplainSubject, now_ms: u64) {
        let peers = self.live_peers(now_ms);
        let mut gathering = Gathering {
            reply: self.explain_here(&subject, now_ms),
            waiting: peers.iter().map(|(peer, _)| peer.clone()).collect(),
        };
        let silent = self.gossip.members().iter();
        let silent = silent.filter(|(_, member)| !member.is_live(now_ms));
        gathering.reply.unreachable = silent.map(|(peer, _)| peer.clone()).collect();
        for (peer, address) in peers {
            let call = self.calls.start(Purpose::Explain(operator, peer));
            self.emit(ControlEffect::CallPeer {
                call,
                address,
                ask: PeerCall::Explain(subject.clone()),
                timeout_ms: PEER_TIMEOUT_MS,
                fresh_connection: false,
            });
        }
        self.gatherings.insert(operator, gathering);
        self.end_gathering(operator);
    }

    pub(super) fn explained(
        &mut self,
        operator: CallId,
        peer: InstanceId,
        reply: Option<ExplainReply>,
    ) {
        let Some(gathering) = self.gatherings.get_mut(&operator) else {
            return;
        };
        gathering.waiting.swap_remove(&peer);
        match reply {
            Some(reply) => gathering.reply.lines.extend(reply.lines),
            None => gathering.reply.unreachable.push(peer),
        }
        self.end_gathering(operator);
    }

    fn end_gathering(&mut self, operator: CallId) {
        let is_whole = |gathering: &Gathering| gathering.waiting.is_empty();
        if !self.gatherings.get(&operator).is_some_and(is_whole) {
            return;
        }
        if let Some(mut gathering) = self.gatherings.swap_remove(&operator) {
            gathering.reply.lines.sort_by_key(|line| line.at_unix_ms);
            let answer = OperatorAnswer::Explain(gathering.reply);
            self.answer_operator(operator, Ok(answer));
        }
    }

    /// Explains from what is kept here.
    pub(super) fn explain_here(&self, subject: &ExplainSubject, now_ms: u64) -> ExplainReply {
        let mut lines: Vec<ExplainLine> = self
            .kept
            .iter()
            .filter(|record| is_about(record, subject))
            .map(|record| self.line(record))
            .collect();
        let surplus = lines.len().saturating_sub(LINES_LIMIT);
        lines.drain(..surplus);
        lines.extend(self.present_state(subject, now_ms));
        ExplainReply {
            lines,
            unreachable: Vec::new(),
        }
    }

    fn line(&self, record: &DecisionRecord) -> ExplainLine {
        ExplainLine {
            at_unix_ms: record.at_unix_ms,
            instance: self.config.instance.clone(),
            text: sentence(record),
            decision: Some(record.clone()),
        }
    }

    /// What holds now for the subject, as this instance sees it.
    fn present_state(&self, subject: &ExplainSubject, now_ms: u64) -> Vec<ExplainLine> {
        let texts = match subject {
            ExplainSubject::Request { .. } => Vec::new(),
            ExplainSubject::Endpoint { endpoint } => {
                let order = self.order_sentence(endpoint);
                let state = self.endpoint_sentence(endpoint);
                order.into_iter().chain([state]).collect()
            }
            ExplainSubject::Account { account } => self
                .shares
                .current()
                .iter()
                .filter(|share| share.account == *account)
                .map(|share| {
                    format!(
                        "account {account} may spend {:.0} tokens a second of service {} here",
                        share.tokens_per_s, share.service
                    )
                })
                .collect(),
        };
        let line = |text| ExplainLine {
            at_unix_ms: self.config.unix_ms(now_ms),
            instance: self.config.instance.clone(),
            text,
            decision: None,
        };
        texts.into_iter().map(line).collect()
    }

    fn order_sentence(&self, endpoint: &EndpointId) -> Option<String> {
        let (unix_ms, desired) = self.orders.last_order(endpoint)?;
        Some(format!(
            "endpoint {endpoint} was ordered to hold version {} of {} with adapters [{}] at {unix_ms}",
            desired.version,
            desired.model,
            desired.adapters.join(", ")
        ))
    }

    fn endpoint_sentence(&self, endpoint: &EndpointId) -> String {
        let Some(record) = self.listing.endpoint(endpoint) else {
            return format!("endpoint {endpoint} is not in the instance list");
        };
        if record.phase == InstancePhase::Leaving {
            format!("endpoint {endpoint} gets no new work: the instance list says it is leaving")
        } else if self.signs.is_leaving(endpoint) {
            format!(
                "endpoint {endpoint} gets no new work: its document, a peer or the endpoint \
                 itself says that it is leaving"
            )
        } else {
            format!("endpoint {endpoint} is live and gets new work")
        }
    }
}

fn is_about(record: &DecisionRecord, subject: &ExplainSubject) -> bool {
    match subject {
        ExplainSubject::Request { request } => record.request == *request,
        ExplainSubject::Endpoint { endpoint } => record.endpoints.contains(endpoint),
        ExplainSubject::Account { account } => record.account == *account,
    }
}

fn sentence(record: &DecisionRecord) -> String {
    let DecisionRecord {
        request,
        account,
        service,
        endpoints,
        decision,
        ..
    } = record;
    let endpoints: Vec<&str> = endpoints.iter().map(EndpointId::as_str).collect();
    let endpoints = endpoints.join(", ");
    match decision {
        Decision::Routed { epoch: 0 | 1 } => format!(
            "request {request} of account {account} for service {service} was sent to {endpoints}"
        ),
        Decision::Routed { epoch } => format!(
            "request {request} of account {account} for service {service} was sent again, to \
             {endpoints}, under epoch {epoch}: an endpoint had failed, slowed down or left"
        ),
        Decision::Refused { refusal } => format!(
            "request {request} of account {account} for service {service} ended with {} ({}){}",
            refusal.code.name(),
            refusal.outcome.as_str(),
            retry_text(refusal.retry_after_ms),
        ),
        Decision::Completed => format!(
            "request {request} of account {account} for service {service} was answered whole"
        ),
    }
}

fn retry_text(retry_after_ms: Option<u64>) -> String {
    match retry_after_ms {
        Some(ms) => format!("; the caller was told to come back in {ms} ms"),
        None => String::new(),
    }
}
