//! What the audit trail gets as counts: refusals by cause, and shares where they changed much.

use indexmap::IndexMap;

use super::Control;
use crate::ids::{AccountId, ServiceName};
use crate::membership::highest;
use crate::outcome::RefusalCode;
use crate::wire::local::{Decision, DecisionRecord};
use crate::wire::operator::AuditEvent;

/// Pause between two entries of one kind.
const PERIOD_MS: u64 = 60_000;
/// Change of an account's share, relative to the last entry, that makes another.
const SHARE_CHANGE: f64 = 0.25;

/// Counts since the last entries.
#[derive(Clone, Debug, Default)]
pub(super) struct Tallies {
    refusals: IndexMap<RefusalCode, u64>,
    shares: IndexMap<ServiceName, IndexMap<AccountId, f64>>,
    next_ms: u64,
}

impl Tallies {
    /// Counts the refusals among decisions.
    pub(super) fn reported(&mut self, decisions: &[DecisionRecord]) {
        for record in decisions {
            if let Decision::Refused { refusal } = &record.decision {
                *self.refusals.entry(refusal.code).or_insert(0) += 1;
            }
        }
    }
}

impl Control {
    /// Writes down what has come together, once a period.
    pub(super) fn settle_tallies(&mut self, now_ms: u64) {
        if now_ms < self.tallies.next_ms {
            return;
        }
        self.tallies.next_ms = now_ms + PERIOD_MS;
        let refusals = std::mem::take(&mut self.tallies.refusals);
        if !refusals.is_empty() {
            let counts = refusals.iter();
            let counts = counts.map(|(code, count)| (code.name(), *count)).collect();
            self.record(AuditEvent::Refusals { counts }, now_ms);
        }
        for (service, tokens_per_s) in self.share_totals(now_ms) {
            self.note_shares(service, tokens_per_s, now_ms);
        }
    }

    /// One instance of the cell writes a service's shares down; they are the same everywhere.
    fn note_shares(
        &mut self,
        service: ServiceName,
        tokens_per_s: IndexMap<AccountId, f64>,
        now_ms: u64,
    ) {
        let subject = format!("shares of {service}");
        let writes = highest(&subject, self.gossip.live(now_ms)) == Some(&self.config.instance);
        let noted = self.tallies.shares.get(&service);
        if !writes || !noted.is_none_or(|noted| is_far(&tokens_per_s, noted)) {
            return;
        }
        let known = tokens_per_s.clone();
        self.tallies.shares.insert(service.clone(), known);
        let event = AuditEvent::SharesChanged {
            service,
            tokens_per_s,
        };
        self.record(event, now_ms);
    }
}

fn is_far(now: &IndexMap<AccountId, f64>, noted: &IndexMap<AccountId, f64>) -> bool {
    now.len() != noted.len()
        || now.iter().any(|(account, tokens_per_s)| {
            noted
                .get(account)
                .is_none_or(|noted| (tokens_per_s - noted).abs() > SHARE_CHANGE * noted.max(1.0))
        })
}
