//! Repeats that the instances of a zone lend one another, carried by their heartbeats.
//!
//! One that lacks repeats says so to its zone; the next heartbeat of each that can spare some brings
//! its part. So a loan is there two heartbeats after the need, half a second at most.

use std::net::SocketAddr;

use indexmap::IndexMap;

use super::adapter::Adapter;
use super::node::Node;
use super::peer_book::PeerBook;
use crate::clock::boot_ms;
use crate::ids::ServiceName;
use crate::relay::{RepeatAmount, RepeatPurpose, part_of_need};

/// What a peer wants of this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Want {
    /// Where the peer takes heartbeats.
    pub(super) address: SocketAddr,
    pub(super) amount: RepeatAmount,
}

/// What peers want of this instance: of each need that was heard since the last heartbeat, an even
/// part among those of the zone that do not lack the same. Each need is answered once.
pub(super) fn wants(peers: &mut PeerBook, now_ms: u64) -> Vec<Want> {
    let mut askers: IndexMap<(ServiceName, RepeatPurpose), usize> = IndexMap::new();
    let mut heard = 0;
    for peer in peers.near_heard(now_ms) {
        heard += 1;
        for need in &peer.repeat_needs {
            let key = (need.service.clone(), need.purpose);
            *askers.entry(key).or_default() += 1;
        }
    }
    let mut wants = Vec::new();
    for peer in peers.near_heard(now_ms) {
        for need in std::mem::take(&mut peer.repeat_needs) {
            let same = askers[&(need.service.clone(), need.purpose)];
            let lenders = 1 + heard - same;
            wants.push(Want {
                address: peer.address,
                amount: RepeatAmount {
                    milli_repeats: part_of_need(need.milli_repeats, lenders),
                    ..need
                },
            });
        }
    }
    wants
}

impl<A> Node<A>
where
    A: Adapter,
{
    /// Repeats that this instance lacks.
    pub(super) fn repeat_needs(&self, now_ms: u64) -> Vec<RepeatAmount> {
        let share = self.budget_share();
        let mut budget = self.budget.borrow_mut();
        let spare_milli = budget.spare_milli(share, now_ms);
        self.counters
            .gauge("relay.repeats.spare_milli", spare_milli);
        budget.needs(share, now_ms)
    }

    /// Lends peers what this instance can spare, by the address of the recipient.
    pub(super) fn lend_repeats(&self, wants: Vec<Want>) -> IndexMap<SocketAddr, Vec<RepeatAmount>> {
        let mut lent: IndexMap<SocketAddr, Vec<RepeatAmount>> = IndexMap::new();
        if wants.is_empty() {
            return lent;
        }
        let (addresses, amounts): (Vec<_>, Vec<_>) =
            wants.into_iter().map(|it| (it.address, it.amount)).unzip();
        let share = self.budget_share();
        let granted = self.budget.borrow_mut().lend(&amounts, share, boot_ms());
        self.count_milli("relay.repeats.lent_milli", &granted);
        for (address, amount) in addresses.into_iter().zip(granted) {
            if amount.milli_repeats > 0 {
                lent.entry(address).or_default().push(amount);
            }
        }
        lent
    }

    /// Takes in what a peer lends for needs that this instance told at `asked_ms`.
    pub(super) fn borrow_repeats(&self, lent: &[RepeatAmount], asked_ms: u64, now_ms: u64) {
        if lent.is_empty() {
            return;
        }
        let share = self.budget_share();
        let mut budget = self.budget.borrow_mut();
        budget.borrow(lent, share, asked_ms, now_ms);
        self.count_milli("relay.repeats.borrowed_milli", lent);
    }

    fn count_milli(&self, name: &str, amounts: &[RepeatAmount]) {
        let sum = amounts.iter().map(|it| u64::from(it.milli_repeats)).sum();
        self.counters.add(name, sum);
    }
}
