//! Fair shares of this entry, worked out from the demand at every entry of the cell.

use indexmap::IndexMap;

use super::Control;
use crate::document::Document;
use crate::fairness::{EntryDemand, EntryShare, assign_entry_pieces, divide_capacity};
use crate::ids::{AccountId, InstanceId, ServiceName};
use crate::wire::local::{AccountShare, EntryReport, EntrySlotRange};
use crate::wire::peer::{PeerDemand, ServiceDemand};

/// Pause between two splits.
const PERIOD_MS: u64 = 1_000;
/// Pause between two announcements of the own demand for each instance of the cell, unless an
/// account is new in it: what an instance hears of demand in a second does not grow with the cell.
const TELL_PERIOD_MS_PER_INSTANCE: u64 = 300;
/// Time over which demand is averaged.
const AVERAGE_MS: f64 = 1_000.0;
/// Change of a demand, relative to what was told before, that is told again.
const CHANGE_TOLD: f64 = 0.10;
/// Change of a demand, relative to the capacity, below which it is not told again: small demands
/// are mostly noise.
const LEAST_CHANGE_TOLD: f64 = 0.005;
/// Change of a share, relative to what was handed out before, that is handed out.
const CHANGE_HANDED_OUT: f64 = 0.02;
/// Averaged demand below this is taken for none; low, so that an account that asks now and then
/// does not come and go in what peers are told.
const LEAST_TOKENS_PER_S: f64 = 0.05;

/// Demand of the own entry and the shares in force.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    wanted: IndexMap<(ServiceName, AccountId), f64>,
    capacities: IndexMap<ServiceName, f64>,
    reported_ms: Option<u64>,
    next_ms: u64,
    next_tell_ms: u64,
    current: Vec<AccountShare>,
    parts: Vec<EntrySlotRange>,
}

impl Shares {
    /// Takes the demand of a report into the average.
    pub(super) fn reported(&mut self, report: &EntryReport, now_ms: u64) {
        let since_ms = self
            .reported_ms
            .map_or(AVERAGE_MS, |at_ms| now_ms.saturating_sub(at_ms) as f64);
        self.reported_ms = Some(now_ms);
        let kept = (-since_ms / AVERAGE_MS).exp();
        for wanted in self.wanted.values_mut() {
            *wanted *= kept;
        }
        for demand in &report.demands {
            let key = (demand.service.clone(), demand.account.clone());
            let wanted = self.wanted.entry(key).or_insert(0.0);
            *wanted += (1.0 - kept) * demand.wanted_tokens_per_s.max(0.0);
        }
        self.wanted
            .retain(|_, wanted| *wanted >= LEAST_TOKENS_PER_S);
        for capacity in &report.capacities {
            self.capacities
                .insert(capacity.service.clone(), capacity.tokens_per_s);
        }
    }

    /// The shares in force.
    pub(super) fn current(&self) -> &[AccountShare] {
        &self.current
    }

    /// The own entry's parts in force.
    pub(super) fn parts(&self) -> &[EntrySlotRange] {
        &self.parts
    }

    /// The demand as peers are told of it.
    fn demand(&self) -> IndexMap<ServiceName, ServiceDemand> {
        let mut services: IndexMap<ServiceName, ServiceDemand> = IndexMap::new();
        for (service, capacity) in &self.capacities {
            let demand = services.entry(service.clone()).or_default();
            demand.capacity_tokens_per_s = rounded(*capacity);
        }
        for ((service, account), wanted) in &self.wanted {
            let demand = services.entry(service.clone()).or_default();
            let wanted = rounded(*wanted).max(1);
            demand.wanted_tokens_per_s.insert(account.clone(), wanted);
        }
        services
    }
}

impl Control {
    /// Tells peers of the own demand and works out the shares again, once a period.
    pub(super) fn settle_shares(&mut self, now_ms: u64) {
        if now_ms < self.shares.next_ms {
            return;
        }
        self.shares.next_ms = now_ms + PERIOD_MS;
        self.tell_demand(now_ms);
        let all = self.split_all(now_ms);
        self.shares.parts = self.own_parts(&all, now_ms);
        let shares = self.own_shares(all);
        if shares_differ(&shares, &self.shares.current) {
            self.shares.current = shares;
        }
    }

    fn tell_demand(&mut self, now_ms: u64) {
        let demand = self.shares.demand();
        let told = &self.gossip.own_demand().services;
        let due = now_ms >= self.shares.next_tell_ms && differs(&demand, told);
        if due || names_more(&demand, told) {
            let instances = self.gossip.live(now_ms).count() as u64;
            self.shares.next_tell_ms = now_ms + instances * TELL_PERIOD_MS_PER_INSTANCE;
            self.gossip.set_demand(demand);
        }
    }

    /// Shares of each service over all entries.
    pub(super) fn share_totals(
        &self,
        now_ms: u64,
    ) -> IndexMap<ServiceName, IndexMap<AccountId, f64>> {
        let mut totals: IndexMap<ServiceName, IndexMap<AccountId, f64>> = IndexMap::new();
        for (service, share) in self.split_all(now_ms) {
            let total = totals.entry(service).or_default();
            *total.entry(share.account).or_insert(0.0) += share.tokens_per_s;
        }
        totals
    }

    fn own_shares(&self, all: Vec<(ServiceName, EntryShare)>) -> Vec<AccountShare> {
        let own = &self.config.instance;
        all.into_iter()
            .filter(|(_, share)| share.entry == *own)
            .map(|(service, share)| AccountShare {
                service,
                account: share.account,
                tokens_per_s: share.tokens_per_s,
                entitled_tokens_per_s: share.entitled_tokens_per_s,
            })
            .collect()
    }

    /// The own entry's part of each service that has shares.
    fn own_parts(&self, all: &[(ServiceName, EntryShare)], now_ms: u64) -> Vec<EntrySlotRange> {
        let told = self.told_demands(now_ms);
        let entries: Vec<InstanceId> = told.iter().map(|told| told.instance.clone()).collect();
        let mut services: IndexMap<&ServiceName, Vec<EntryShare>> = IndexMap::new();
        for (service, share) in all {
            services.entry(service).or_default().push(share.clone());
        }
        let parts = services.into_iter().filter_map(|(service, shares)| {
            let pieces = *assign_entry_pieces(&shares, &entries).get(&self.config.instance)?;
            Some(EntrySlotRange {
                service: service.clone(),
                first_piece: pieces.first,
                end_piece: pieces.end,
            })
        });
        parts.collect()
    }

    /// The demands of the own entry and of all live peers.
    fn told_demands(&self, now_ms: u64) -> Vec<&PeerDemand> {
        let members = self.gossip.members().values();
        let live = members.filter(|member| member.is_live(now_ms));
        let peers = live.filter_map(|member| member.demand.as_ref());
        std::iter::once(self.gossip.own_demand())
            .chain(peers)
            .collect()
    }

    fn split_all(&self, now_ms: u64) -> Vec<(ServiceName, EntryShare)> {
        let all = self.told_demands(now_ms);
        let mut shares = Vec::new();
        for (service, held) in self.documents.iter() {
            let split = split_service(service, &held.document, &all);
            shares.extend(split.into_iter().map(|share| (service.clone(), share)));
        }
        shares
    }
}

fn split_service(
    service: &ServiceName,
    document: &Document,
    all: &[&PeerDemand],
) -> Vec<EntryShare> {
    let weights: IndexMap<AccountId, f64> = document
        .accounts
        .iter()
        .map(|(account, terms)| (account.clone(), terms.weight))
        .collect();
    let mut demands = Vec::new();
    let mut capacities = Vec::new();
    for told in all {
        let Some(demand) = told.services.get(service) else {
            continue;
        };
        capacities.push(demand.capacity_tokens_per_s);
        let wanted = demand.wanted_tokens_per_s.iter();
        demands.extend(wanted.map(|(account, wanted)| EntryDemand {
            entry: told.instance.clone(),
            account: account.clone(),
            wanted_tokens_per_s: *wanted as f64,
        }));
    }
    divide_capacity(median(&mut capacities) as f64, &weights, &demands)
}

/// The middle of what the entries see; those that see nothing yet do not count.
fn median(capacities: &mut Vec<u64>) -> u64 {
    capacities.retain(|capacity| *capacity > 0);
    capacities.sort_unstable();
    capacities.get(capacities.len() / 2).copied().unwrap_or(0)
}

fn rounded(tokens_per_s: f64) -> u64 {
    if tokens_per_s.is_finite() {
        tokens_per_s.max(0.0).round() as u64
    } else {
        0
    }
}

/// Whether an account or a service is new.
fn names_more(
    now: &IndexMap<ServiceName, ServiceDemand>,
    told: &IndexMap<ServiceName, ServiceDemand>,
) -> bool {
    now.iter().any(|(service, demand)| {
        told.get(service).is_none_or(|told| {
            let mut accounts = demand.wanted_tokens_per_s.keys();
            accounts.any(|account| !told.wanted_tokens_per_s.contains_key(account))
        })
    })
}

fn differs(
    now: &IndexMap<ServiceName, ServiceDemand>,
    told: &IndexMap<ServiceName, ServiceDemand>,
) -> bool {
    now.len() != told.len()
        || now.iter().any(|(service, demand)| {
            let Some(told) = told.get(service) else {
                return true;
            };
            let wanted = &demand.wanted_tokens_per_s;
            let told_wanted = &told.wanted_tokens_per_s;
            let capacity = demand.capacity_tokens_per_s as f64;
            let least = capacity * LEAST_CHANGE_TOLD;
            let is_news = |now: u64, told: u64| {
                let (now, told) = (now as f64, told as f64);
                is_far(now, told, CHANGE_TOLD) && (now - told).abs() > least
            };
            is_news(demand.capacity_tokens_per_s, told.capacity_tokens_per_s)
                || wanted.len() != told_wanted.len()
                || wanted.iter().any(|(account, figure)| {
                    is_news(*figure, told_wanted.get(account).copied().unwrap_or(0))
                })
        })
}

fn shares_differ(now: &[AccountShare], before: &[AccountShare]) -> bool {
    let same_account =
        |a: &AccountShare, b: &AccountShare| a.service == b.service && a.account == b.account;
    now.len() != before.len()
        || now.iter().zip(before).any(|(a, b)| {
            !same_account(a, b)
                || is_far(a.tokens_per_s, b.tokens_per_s, CHANGE_HANDED_OUT)
                || is_far(
                    a.entitled_tokens_per_s,
                    b.entitled_tokens_per_s,
                    CHANGE_HANDED_OUT,
                )
        })
}

fn is_far(now: f64, told: f64, change: f64) -> bool {
    (now - told).abs() > change * told.max(1.0)
}
