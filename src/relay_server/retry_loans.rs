//! Lending of retries among the instances of a zone, by heartbeat.
//!
//! An instance that lacks retries announces so to its zone, and the next heartbeat of each peer that can spare
//! some carries a share. A loan thus arrives two heartbeats after the need, within 500 ms. Retries
//! that remain unused are returned with the next heartbeat; if that heartbeat is lost, the lender counts
//! them as used until no budget window can contain their use.

use std::net::SocketAddr;

use indexmap::IndexMap;

use super::adapter::Adapter;
use super::heartbeat::{Heartbeat, PeerPart};
use super::node::Node;
use super::peer_book::PeerBook;
use crate::ids::ServiceName;
use crate::relay::{Lender, RetryAmount, RetryLoan, RetryPurpose, share_of_need};

/// Retries that a peer asks this instance for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LoanRequest {
    /// Address of the peer.
    pub(super) address: SocketAddr,
    pub(super) amount: RetryAmount,
}

/// Collects what peers ask this instance for. Each need announced since the last heartbeat is split evenly
/// among the instances of the zone without the same need, and is answered once.
pub(super) fn loan_requests(peers: &mut PeerBook, now_ms: u64) -> Vec<LoanRequest> {
    let mut borrowers: IndexMap<(ServiceName, RetryPurpose), usize> = IndexMap::new();
    let mut heard: usize = 0;
    for peer in peers.heard_in_own_zone(now_ms) {
        heard += 1;
        for need in &peer.retry_needs {
            let key = (need.service.clone(), need.purpose);
            *borrowers.entry(key).or_default() += 1;
        }
    }
    let mut requests = Vec::new();
    for peer in peers.heard_in_own_zone(now_ms) {
        for need in std::mem::take(&mut peer.retry_needs) {
            let same = borrowers[&(need.service.clone(), need.purpose)];
            // Saturates because a peer may list the same need twice.
            let lenders = (1 + heard).saturating_sub(same);
            requests.push(LoanRequest {
                address: peer.address,
                amount: RetryAmount {
                    milli_retries: share_of_need(need.milli_retries, lenders),
                    ..need
                },
            });
        }
    }
    requests
}

impl<A> Node<A>
where
    A: Adapter,
{
    /// Retries that this instance lacks.
    pub(super) fn retry_needs(&self, now_ms: u64) -> Vec<RetryAmount> {
        let share = self.budget_share();
        self.report_retry_share(share, now_ms);
        let mut budget = self.budget.borrow_mut();
        let spare_milli = budget.spare_milli(share, now_ms);
        self.counters
            .gauge("relay.repeats.spare_milli", spare_milli);
        budget.needs(share, now_ms)
    }

    /// Lends peers what this instance can spare and returns unused loans. The result is keyed by the
    /// recipient's address.
    pub(super) fn answer_loan_requests(
        &self,
        requests: Vec<LoanRequest>,
        now_ms: u64,
    ) -> IndexMap<SocketAddr, PeerPart> {
        let mut answers: IndexMap<SocketAddr, PeerPart> = IndexMap::new();
        let (addresses, amounts): (Vec<_>, Vec<_>) = requests
            .into_iter()
            .map(|it| (it.address, it.amount))
            .unzip();
        let share = self.budget_share();
        let mut budget = self.budget.borrow_mut();
        let loans = budget.lend(&amounts, share, now_ms);
        self.count_milli("relay.repeats.lent_milli", &loans);
        for (address, loan) in addresses.into_iter().zip(loans) {
            if loan.amount.milli_retries > 0 {
                answers.entry(address).or_default().lent.push(loan);
            }
        }
        let peers = self.peers.borrow();
        for (lender, unused) in budget.take_expired(now_ms) {
            if let Some(address) = peers.address_of(&lender) {
                answers.entry(address).or_default().returned.push(unused);
            }
        }
        answers
    }

    /// Records what a peer lends for the needs that this instance announced at `asked_ms`, and what it
    /// returns.
    pub(super) fn apply_loans(
        &self,
        heartbeat: &Heartbeat,
        peer_part: &PeerPart,
        asked_ms: u64,
        now_ms: u64,
    ) {
        if peer_part.lent.is_empty() && peer_part.returned.is_empty() {
            return;
        }
        let lender = Lender {
            instance: heartbeat.instance.clone(),
            incarnation: heartbeat.incarnation,
        };
        let share = self.budget_share();
        let mut budget = self.budget.borrow_mut();
        budget.borrow(&peer_part.lent, &lender, share, asked_ms, now_ms);
        budget.reclaim(&peer_part.returned);
        self.count_milli("relay.repeats.borrowed_milli", &peer_part.lent);
        self.count_milli("relay.repeats.taken_back_milli", &peer_part.returned);
    }

    fn count_milli(&self, name: &str, loans: &[RetryLoan]) {
        if loans.is_empty() {
            return;
        }
        let milli = |it: &RetryLoan| u64::from(it.amount.milli_retries);
        self.counters.add(name, loans.iter().map(milli).sum());
    }
}
